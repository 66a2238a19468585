#include "servers/admission/group_owner.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/scheduler_fixture.h"
#include "tests/support/sim_membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <vector>

namespace hawthornslip {

namespace {

class FixedConfig : public ConfigSource
{
public:
    FixedConfig()
    {
        SharedConfig config;
        config.profiles = {*test::makeProfile(0), *test::makeProfile(1)};
        Upstream upstream;
        upstream.id = UpstreamId("u0");
        upstream.domain = FailureDomain("d");
        upstream.models = {ModelName("m")};
        upstream.maxConcurrency = 4;
        config.upstreams = {upstream};
        m_config = std::make_shared<SharedConfig>(config);
    }

    std::shared_ptr<const SharedConfig> current() const override { return m_config; }

private:
    std::shared_ptr<const SharedConfig> m_config;
};

} // namespace

class GroupOwnerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GroupOwnerTest);
    CPPUNIT_TEST(unacknowledgedGrantIsRepeatedAndFreed);
    CPPUNIT_TEST(acknowledgedGrantIsKept);
    CPPUNIT_TEST(restartedNodeFreesItsSlots);
    CPPUNIT_TEST(newOwnerStartsWithReducedShare);
    CPPUNIT_TEST(unknownProfileIsRefused);
    CPPUNIT_TEST_SUITE_END();

    const GroupId m_group{ModelName("m"), FailureDomain("d")};
    TimePoint m_now = test::kSchedulerStart;
    FixedConfig m_config;
    test::SimMembership m_membership;
    test::CountingMetrics m_metrics;
    std::vector<peer::Envelope> m_sent;
    std::unique_ptr<AdmissionContext> m_context;
    std::unique_ptr<GroupOwner> m_owner;

    void makeOwner(std::vector<LiveNode> live)
    {
        m_sent.clear();
        m_membership.set(std::move(live));
        m_context = std::make_unique<AdmissionContext>(AdmissionContext{
                NodeId("self"),
                1,
                FailureDomain("d"),
                SchedulingPolicy::Hawthornslip,
                m_membership,
                m_config,
                m_metrics,
                [this](const NodeId &, peer::Envelope it) { m_sent.push_back(std::move(it)); },
                m_config.current(),
                {},
                {}});
        m_context->directory.setConfig(*m_context->config, {});
        m_context->directory.setOwnerCandidates({NodeId("self")});
        m_owner = std::make_unique<GroupOwner>(*m_context);
    }

    void receive(peer::Envelope message, std::uint64_t incarnation = 1)
    {
        message.set_incarnation(incarnation);
        m_owner->onMessage(NodeId("x"), message, m_now);
    }

    void sendRequest(const std::string &id, const std::string &profile = "tier1")
    {
        peer::Envelope message;
        auto &body = *message.mutable_admission_request();
        body.set_request_id(id);
        body.mutable_group()->set_model("m");
        body.mutable_group()->set_domain("d");
        body.set_profile(profile);
        body.set_workspace("w");
        body.set_remaining_deadline(60'000'000);
        receive(std::move(message));
    }

    void advance(Duration span)
    {
        for (const auto end = m_now + span; m_now < end;) {
            m_now += milliseconds(50);
            m_owner->onTick(m_now);
        }
    }

    std::size_t grantsSent() const
    {
        return std::size_t(std::count_if(m_sent.begin(), m_sent.end(),
                                         [](const auto &it) { return it.has_grant(); }));
    }

public:
    void setUp() override
    {
        m_now = test::kSchedulerStart;
        makeOwner({{NodeId("self"), 1, {}, false}});
    }

    // Guards against a slot that stays occupied by a grant whose message was lost.
    void unacknowledgedGrantIsRepeatedAndFreed()
    {
        makeOwner({{NodeId("self"), 1, {}, false}, {NodeId("x"), 1, {}, false}});
        sendRequest("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grantsSent());
        advance(milliseconds(350));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, grantsSent());
        CPPUNIT_ASSERT_EQUAL(1U, m_owner->loadOf(m_group, m_now).inFlight);
        advance(milliseconds(1700));
        CPPUNIT_ASSERT_EQUAL(0U, m_owner->loadOf(m_group, m_now).inFlight);
    }

    // Guards against freeing the slot of an acknowledged grant while it is in use.
    void acknowledgedGrantIsKept()
    {
        makeOwner({{NodeId("self"), 1, {}, false}, {NodeId("x"), 1, {}, false}});
        sendRequest("a");
        peer::Envelope ack;
        ack.mutable_grant_ack()->set_grant_id(m_sent.back().grant().grant_id());
        receive(std::move(ack));
        // A duplicate request gets the same grant again; losing that message frees no slot.
        sendRequest("a");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, grantsSent());
        advance(seconds(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, grantsSent());
        CPPUNIT_ASSERT_EQUAL(1U, m_owner->loadOf(m_group, m_now).inFlight);
    }

    // Guards against slots held by a node's previous incarnation and against its late messages.
    void restartedNodeFreesItsSlots()
    {
        sendRequest("a");
        peer::Envelope report;
        report.mutable_grant_report()->mutable_group()->set_model("m");
        report.mutable_grant_report()->mutable_group()->set_domain("d");
        receive(report, 2);
        CPPUNIT_ASSERT_EQUAL(0U, m_owner->loadOf(m_group, m_now).inFlight);
        sendRequest("late");
        CPPUNIT_ASSERT_EQUAL(0U, m_owner->loadOf(m_group, m_now).inFlight);
    }

    // Guards against a new owner that grants slots still in use under a previous owner.
    void newOwnerStartsWithReducedShare()
    {
        makeOwner({{NodeId("self"), 1, {}, false}, {NodeId("x"), 1, {}, false}});
        sendRequest("a");
        CPPUNIT_ASSERT_EQUAL(2U, m_owner->loadOf(m_group, m_now).limit);
        advance(milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(4U, m_owner->loadOf(m_group, m_now).limit);
    }

    // Guards against an unanswered request while the nodes' configurations differ.
    void unknownProfileIsRefused()
    {
        sendRequest("a", "missing");
        CPPUNIT_ASSERT(m_sent.back().has_refusal());
        CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(Reason::UnknownProfile),
                             m_sent.back().refusal().reason());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GroupOwnerTest);

} // namespace hawthornslip
