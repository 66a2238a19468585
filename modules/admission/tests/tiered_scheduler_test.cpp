#include "modules/admission/tiered_scheduler.h"
#include "tests/support/scheduler_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace hawthornslip {

using test::kSchedulerStart;
using test::makeAsk;
using test::makeRelease;
using test::makeUpstreams;
using test::only;

class TieredSchedulerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TieredSchedulerTest);
    CPPUNIT_TEST(repeatedRequestGetsSameGrant);
    CPPUNIT_TEST(orderTierGoesFirst);
    CPPUNIT_TEST(orderTierPreemptsLeastWork);
    CPPUNIT_TEST(orderTierIsNeverPreempted);
    CPPUNIT_TEST(onlyResumableStreamsArePreempted);
    CPPUNIT_TEST(lateRequestsOfLowerTiersAreRefused);
    CPPUNIT_TEST(orderTierIsRefusedOnlyAtItsDeadline);
    CPPUNIT_TEST(lateOrderTierGoesBehindTimelyOnes);
    CPPUNIT_TEST(lateWorkspaceGoesBehindTimelyOne);
    CPPUNIT_TEST(starvingTierIsServed);
    CPPUNIT_TEST(workspacesShareByWeight);
    CPPUNIT_TEST(drainedUpstreamGetsNoRequests);
    CPPUNIT_TEST(lateOrderTierUsesReturningUpstream);
    CPPUNIT_TEST(slowPeriodDoesNotRefuseForever);
    CPPUNIT_TEST(resumedStreamIsNotRefusedForItsTarget);
    CPPUNIT_TEST(reportRestoresAndFreesGrants);
    CPPUNIT_TEST(lateReportDoesNotRestoreReleasedGrant);
    CPPUNIT_TEST(lostNodeFreesItsSlots);
    CPPUNIT_TEST(reportedLoadOfOthersTakesSlots);
    CPPUNIT_TEST_SUITE_END();

    TimePoint m_now = kSchedulerStart;

    std::unique_ptr<TieredScheduler> make(int upstreams, std::uint32_t slots,
                                          SchedulerOptions options = {})
    {
        options.adaptiveConcurrency = false;
        auto scheduler = std::make_unique<TieredScheduler>(options);
        scheduler->onUpstreams(makeUpstreams(upstreams, slots), m_now);
        return scheduler;
    }

    GrantId granted(TieredScheduler &scheduler, const AdmissionRequestEvent &ask)
    {
        const auto grants = only<GrantAction>(scheduler.onAdmissionRequest(ask, m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        return grants.front().grant;
    }

public:
    void setUp() override { m_now = kSchedulerStart; }

    // Guards against a duplicated message that takes two slots.
    void repeatedRequestGetsSameGrant()
    {
        auto scheduler = make(1, 2);
        const auto first = granted(*scheduler, makeAsk("a", 1));
        CPPUNIT_ASSERT_EQUAL(first, granted(*scheduler, makeAsk("a", 1)));
        CPPUNIT_ASSERT_EQUAL(1U, scheduler->load(m_now).inFlight);
        granted(*scheduler, makeAsk("b", 1));
        scheduler->onAdmissionRequest(makeAsk("c", 1), m_now);
        scheduler->onAdmissionRequest(makeAsk("c", 1), m_now);
        CPPUNIT_ASSERT_EQUAL(1U, scheduler->load(m_now).queued[1]);
    }

    // Guards against a tier-0 request that waits behind lower tiers.
    void orderTierGoesFirst()
    {
        SchedulerOptions options;
        options.preemption = false;
        auto scheduler = make(1, 1, options);
        const auto held = granted(*scheduler, makeAsk("a", 1));
        scheduler->onAdmissionRequest(makeAsk("b", 2), m_now);
        scheduler->onAdmissionRequest(makeAsk("c", 1), m_now);
        scheduler->onAdmissionRequest(makeAsk("d", 0), m_now);
        const auto next = only<GrantAction>(scheduler->onRelease(makeRelease(held), m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT_EQUAL(RequestId("d"), next.front().key.request);
    }

    // Guards against preempting a higher tier, or a stream that is more expensive to resume.
    void orderTierPreemptsLeastWork()
    {
        auto scheduler = make(1, 3);
        granted(*scheduler, makeAsk("middle", 1));
        auto costly = makeAsk("costly", 2);
        costly.promptTokens = 5000;
        granted(*scheduler, costly);
        const auto cheap = granted(*scheduler, makeAsk("cheap", 2));
        const auto victims =
                only<PreemptAction>(scheduler->onAdmissionRequest(makeAsk("order", 0), m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, victims.size());
        CPPUNIT_ASSERT_EQUAL(cheap, victims.front().grant);
        ReleaseEvent stopped = makeRelease(cheap, 20);
        stopped.result = ReleaseResult::Preempted;
        const auto next = only<GrantAction>(scheduler->onRelease(stopped, m_now));
        CPPUNIT_ASSERT_EQUAL(RequestId("order"), next.at(0).key.request);
        // Once the tier-0 request is served, no more streams are preempted.
        CPPUNIT_ASSERT(only<PreemptAction>(scheduler->onTick(m_now)).empty());
    }

    // Guards against preempting a tier-0 stream (invariant I1).
    void orderTierIsNeverPreempted()
    {
        auto scheduler = make(1, 2);
        granted(*scheduler, makeAsk("a", 0));
        granted(*scheduler, makeAsk("b", 0));
        CPPUNIT_ASSERT(scheduler->onAdmissionRequest(makeAsk("c", 0), m_now).empty());
        CPPUNIT_ASSERT(scheduler->onAdmissionRequest(makeAsk("d", 1), m_now).empty());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, scheduler->stats().orderTierViolations);
    }

    // Guards against preempting a stream that cannot be resumed.
    void onlyResumableStreamsArePreempted()
    {
        auto scheduler = make(1, 1);
        auto ask = makeAsk("a", 2);
        Profile profile = *ask.profile;
        profile.resumable = false;
        ask.profile = std::make_shared<Profile>(profile);
        granted(*scheduler, ask);
        CPPUNIT_ASSERT(scheduler->onAdmissionRequest(makeAsk("b", 0), m_now).empty());
    }

    // Guards against starting requests that can no longer meet their target.
    void lateRequestsOfLowerTiersAreRefused()
    {
        auto scheduler = make(1, 1);
        const auto held = granted(*scheduler, makeAsk("a", 1));
        scheduler->onAdmissionRequest(makeAsk("b", 1), m_now);
        m_now += seconds(2);
        const auto refusals = only<RefuseAction>(scheduler->onTick(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals.size());
        CPPUNIT_ASSERT(refusals.front().reason == Reason::DeadlineUnreachable);
        // Once slots are known to be held for seconds, a request is refused on arrival.
        for (int i = 0; i < 3; ++i) {
            m_now += seconds(5);
            scheduler->onRelease(makeRelease(held), m_now);
        }
        granted(*scheduler, makeAsk("c", 1));
        const auto early =
                only<RefuseAction>(scheduler->onAdmissionRequest(makeAsk("d", 1), m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, early.size());
    }

    // Guards against shedding tier 0 because its target has passed.
    void orderTierIsRefusedOnlyAtItsDeadline()
    {
        auto scheduler = make(1, 1);
        granted(*scheduler, makeAsk("a", 0));
        auto ask = makeAsk("b", 0);
        ask.remaining = seconds(10);
        scheduler->onAdmissionRequest(ask, m_now);
        m_now += milliseconds(9900);
        CPPUNIT_ASSERT(scheduler->onTick(m_now).empty());
        m_now += milliseconds(200);
        const auto refusals = only<RefuseAction>(scheduler->onTick(m_now));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals.size());
        CPPUNIT_ASSERT(refusals.front().reason == Reason::DeadlineExceeded);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, scheduler->stats().orderTierViolations);
    }

    // Guards against an overload of tier 0 that makes each of its requests late.
    void lateOrderTierGoesBehindTimelyOnes()
    {
        auto scheduler = make(1, 1);
        auto held = granted(*scheduler, makeAsk("a", 0));
        scheduler->onAdmissionRequest(makeAsk("late", 0, "v"), m_now);
        scheduler->onAdmissionRequest(makeAsk("late2", 0, "v"), m_now);
        m_now += seconds(2);
        scheduler->onAdmissionRequest(makeAsk("timely", 0, "v"), m_now);
        scheduler->onAdmissionRequest(makeAsk("timely2", 0, "w2"), m_now);
        scheduler->onAdmissionRequest(makeAsk("lower", 1), m_now);
        for (const auto *expected : {"timely", "timely2", "late", "late2", "lower"}) {
            const auto next = only<GrantAction>(scheduler->onRelease(makeRelease(held), m_now));
            CPPUNIT_ASSERT_EQUAL(RequestId(expected), next.at(0).key.request);
            held = next.at(0).grant;
        }
    }

    // Guards against a workspace whose late requests make those of another one late as well.
    void lateWorkspaceGoesBehindTimelyOne()
    {
        auto scheduler = make(1, 1);
        const auto held = granted(*scheduler, makeAsk("a", 0));
        scheduler->onAdmissionRequest(makeAsk("late", 0, "v"), m_now);
        m_now += seconds(2);
        scheduler->onAdmissionRequest(makeAsk("timely", 0, "x"), m_now);
        const auto next = only<GrantAction>(scheduler->onRelease(makeRelease(held), m_now));
        CPPUNIT_ASSERT_EQUAL(RequestId("timely"), next.at(0).key.request);
    }

    // Guards against a lowest tier that never runs while tier 0 fills the group (invariant I2).
    void starvingTierIsServed()
    {
        auto scheduler = make(1, 4);
        std::vector<GrantId> running;
        int n = 0;
        bool served = false;
        const auto follow = [&](const SchedulerActions &actions) {
            for (const auto &it : only<GrantAction>(actions)) {
                served = served || it.key.request.value.front() == 'l';
                running.push_back(it.grant);
            }
        };
        // Fills the slots and a tier-0 queue that never drains.
        for (; n < 30; ++n)
            follow(scheduler->onAdmissionRequest(makeAsk("o" + std::to_string(n), 0), m_now));
        for (int step = 0; step < 200 && !served; ++step) {
            m_now += milliseconds(100);
            follow(scheduler->onAdmissionRequest(makeAsk("o" + std::to_string(n++), 0), m_now));
            follow(scheduler->onAdmissionRequest(makeAsk("l" + std::to_string(n++), 2), m_now));
            if (step % 5 == 4) {
                const GrantId done = running.front();
                running.erase(running.begin());
                follow(scheduler->onRelease(makeRelease(done), m_now));
            }
            follow(scheduler->onTick(m_now));
        }
        CPPUNIT_ASSERT(served);
    }

    // Guards against a large workspace that crowds out a small one.
    void workspacesShareByWeight()
    {
        SchedulerOptions options;
        options.earlyRefusal = false;
        auto scheduler = make(1, 1, options);
        auto held = granted(*scheduler, makeAsk("first", 1, "x"));
        for (int i = 0; i < 300; ++i) {
            auto heavy = makeAsk("h" + std::to_string(i), 1, "heavy");
            heavy.workspaceWeight = 2;
            scheduler->onAdmissionRequest(heavy, m_now);
            scheduler->onAdmissionRequest(makeAsk("a" + std::to_string(i), 1, "a"), m_now);
            if (i < 100)
                scheduler->onAdmissionRequest(makeAsk("b" + std::to_string(i), 1, "b"), m_now);
        }
        std::map<char, int> served;
        for (int i = 0; i < 200; ++i) {
            m_now += milliseconds(10);
            const auto next = only<GrantAction>(scheduler->onRelease(makeRelease(held), m_now));
            held = next.at(0).grant;
            ++served[next.at(0).key.request.value.front()];
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, served['h'], 3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, served['a'], 3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50, served['b'], 3);
    }

    // Guards against new requests to a drained upstream (invariant I6).
    void drainedUpstreamGetsNoRequests()
    {
        auto scheduler = make(2, 10);
        auto upstreams = makeUpstreams(2, 10);
        upstreams[0].acceptsWork = false;
        scheduler->onUpstreams(upstreams, m_now);
        for (int i = 0; i < 10; ++i) {
            const auto grants = only<GrantAction>(
                    scheduler->onAdmissionRequest(makeAsk(std::to_string(i), 1), m_now));
            CPPUNIT_ASSERT_EQUAL(UpstreamId("u1"), grants.at(0).upstream);
        }
        CPPUNIT_ASSERT(
                only<GrantAction>(scheduler->onAdmissionRequest(makeAsk("x", 1), m_now)).empty());
        scheduler->onUpstreams({}, m_now);
        const auto refusals =
                only<RefuseAction>(scheduler->onAdmissionRequest(makeAsk("y", 0), m_now));
        CPPUNIT_ASSERT(refusals.at(0).reason == Reason::NoUpstream);
    }

    // Guards against lower tiers that get the slots of a returning upstream while tier 0 is late.
    void lateOrderTierUsesReturningUpstream()
    {
        auto scheduler = make(2, 1);
        for (int i = 0; i < 3; ++i) {
            auto ask = makeAsk("f" + std::to_string(i), 1);
            ask.excluded = {UpstreamId("u1")};
            ReleaseEvent failed{granted(*scheduler, ask)};
            failed.result = ReleaseResult::ConnectFailed;
            scheduler->onRelease(failed, m_now);
        }
        scheduler->onTick(m_now);
        CPPUNIT_ASSERT_EQUAL(1U, scheduler->load(m_now).limit);
        granted(*scheduler, makeAsk("a", 0));
        CPPUNIT_ASSERT(scheduler->onAdmissionRequest(makeAsk("b", 0), m_now).empty());
        scheduler->onAdmissionRequest(makeAsk("c", 1), m_now);
        m_now += milliseconds(5100);
        const auto grants = only<GrantAction>(scheduler->onTick(m_now));
        CPPUNIT_ASSERT_EQUAL(RequestId("b"), grants.at(0).key.request);
        CPPUNIT_ASSERT_EQUAL(UpstreamId("u0"), grants.at(0).upstream);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, scheduler->stats().orderTierViolations);
    }

    // Guards against estimates from a slow period that refuse all later requests of a profile.
    void slowPeriodDoesNotRefuseForever()
    {
        auto scheduler = make(1, 2);
        for (int i = 0; i < 50; ++i) {
            const auto grant = granted(*scheduler, makeAsk(std::to_string(i), 1));
            m_now += seconds(10);
            ReleaseEvent slow = makeRelease(grant);
            slow.firstToken = seconds(4);
            scheduler->onRelease(slow, m_now);
        }
        granted(*scheduler, makeAsk("next", 1));
    }

    // Guards against refusing to resume a stream that was delivered in part.
    void resumedStreamIsNotRefusedForItsTarget()
    {
        auto scheduler = make(1, 1);
        granted(*scheduler, makeAsk("a", 0));
        auto resumed = makeAsk("b", 2);
        resumed.tokensDone = 50;
        resumed.waited = seconds(20);
        CPPUNIT_ASSERT(scheduler->onAdmissionRequest(resumed, m_now).empty());
        m_now += seconds(10);
        CPPUNIT_ASSERT(scheduler->onTick(m_now).empty());
        CPPUNIT_ASSERT_EQUAL(1U, scheduler->load(m_now).queued[2]);
    }

    // Guards against a new owner that overloads upstreams because it does not know the grants of
    // the earlier one, and against slots that leak when a release is lost.
    void reportRestoresAndFreesGrants()
    {
        auto scheduler = make(1, 2);
        GrantReportEvent report{NodeId("n1"), {}};
        report.grants.push_back({GrantId("old1"), RequestId("r1"), UpstreamId("u0"),
                                 WorkspaceId("w"), test::makeProfile(1), seconds(20), 10});
        scheduler->onGrantReport(report, m_now);
        scheduler->onGrantReport(report, m_now);
        CPPUNIT_ASSERT_EQUAL(1U, scheduler->load(m_now).inFlight);
        granted(*scheduler, makeAsk("a", 1));
        CPPUNIT_ASSERT(
                only<GrantAction>(scheduler->onAdmissionRequest(makeAsk("b", 1), m_now)).empty());
        // The unlisted old grant is freed and its slot goes to "b"; the new grant is too recent
        // to have been reported.
        scheduler->onGrantReport({NodeId("n1"), {}}, m_now);
        CPPUNIT_ASSERT_EQUAL(2U, scheduler->load(m_now).inFlight);
        m_now += seconds(6);
        scheduler->onGrantReport({NodeId("n1"), {}}, m_now);
        CPPUNIT_ASSERT_EQUAL(0U, scheduler->load(m_now).inFlight);
    }

    // Guards against a slot that leaks when a release overtakes a report.
    void lateReportDoesNotRestoreReleasedGrant()
    {
        auto scheduler = make(1, 2);
        scheduler->onRelease(makeRelease(GrantId("old1")), m_now);
        GrantReportEvent report{NodeId("n1"), {}};
        report.grants.push_back({GrantId("old1"), RequestId("r1"), UpstreamId("u0"),
                                 WorkspaceId("w"), nullptr, seconds(1), 0});
        scheduler->onGrantReport(report, m_now);
        CPPUNIT_ASSERT_EQUAL(0U, scheduler->load(m_now).inFlight);
    }

    // Guards against slots and queue entries that a dead node keeps.
    void lostNodeFreesItsSlots()
    {
        auto scheduler = make(1, 1);
        granted(*scheduler, makeAsk("a", 0, "w", "dead"));
        scheduler->onAdmissionRequest(makeAsk("b", 0, "w", "dead"), m_now);
        scheduler->onAdmissionRequest(makeAsk("c", 0, "w", "live"), m_now);
        const auto next = only<GrantAction>(scheduler->onNodeLost(NodeId("dead"), m_now));
        CPPUNIT_ASSERT_EQUAL(RequestId("c"), next.at(0).key.request);
    }

    // Guards against counting a node's own requests twice, and against ignoring those of others.
    void reportedLoadOfOthersTakesSlots()
    {
        auto scheduler = make(1, 20);
        for (int i = 0; i < 5; ++i)
            granted(*scheduler, makeAsk("a" + std::to_string(i), 1));
        scheduler->onTick(m_now);
        m_now += milliseconds(50);
        scheduler->onLoadReport({UpstreamId("u0"), 5, 0, Duration(0)}, m_now);
        CPPUNIT_ASSERT_EQUAL(20U, scheduler->load(m_now).limit);
        scheduler->onLoadReport({UpstreamId("u0"), 10, 5, Duration(0)}, m_now);
        CPPUNIT_ASSERT_EQUAL(10U, scheduler->load(m_now).limit);
        m_now += seconds(6);
        scheduler->onTick(m_now);
        CPPUNIT_ASSERT_EQUAL(20U, scheduler->load(m_now).limit);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TieredSchedulerTest);

} // namespace hawthornslip
