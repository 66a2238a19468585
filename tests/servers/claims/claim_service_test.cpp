#include "servers/claims/claim_codec.h"
#include "servers/claims/claim_service.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/sim_membership.h"
#include "tests/support/sim_network.h"
#include "tests/support/sim_store.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace hawthornslip {

namespace {

struct ClaimNode
{
    ClaimNode(test::SimEvents &events, test::SimNetwork &network, test::SimStore &store, NodeId id)
        : self(std::move(id))
        , transport(network, self)
        , loop(events.clock())
        , bus(loop, transport, metrics, self, 1)
        , client(store, std::make_shared<bool>(true))
        , service(loop, bus, membership, client, metrics, events.clock(), std::hash<NodeId>()(self))
    {}

    NodeId self;
    test::SimTransport transport;
    test::CountingMetrics metrics;
    ControlLoop loop;
    PeerBus bus;
    test::SimMembership membership;
    test::SimStoreClient client;
    ClaimService service;
};

} // namespace

class ClaimServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimServiceTest);
    CPPUNIT_TEST(oneNodeClaimsEachKey);
    CPPUNIT_TEST(lostMessagesAreRepeated);
    CPPUNIT_TEST(claimIsResentToNewOwner);
    CPPUNIT_TEST(outcomeIsFoundThroughAnyNode);
    CPPUNIT_TEST(storeOutageEndsInRefusal);
    CPPUNIT_TEST(twoOwnersGrantOnce);
    CPPUNIT_TEST(codecRoundTripsRecords);
    CPPUNIT_TEST(malformedValuesAreRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_events = std::make_unique<test::SimEvents>();
        m_network = std::make_unique<test::SimNetwork>(*m_events, 1);
        m_store = std::make_unique<test::SimStore>(*m_events);
        m_nodes.clear();
        for (int i = 0; i < 3; ++i)
            m_nodes.push_back(std::make_unique<ClaimNode>(*m_events, *m_network, *m_store,
                                                          NodeId("n" + std::to_string(i))));
        setViews({0, 1, 2});
        run(milliseconds(1));
    }

    void tearDown() override
    {
        m_nodes.clear();
        m_events.reset();
    }

    // Guards against two nodes that claim the same key.
    void oneNodeClaimsEachKey()
    {
        for (int i = 0; i < 30; ++i) {
            const auto key = "k" + std::to_string(i);
            const auto first = claim(0, key);
            CPPUNIT_ASSERT(std::holds_alternative<ClaimTicket>(*first));
            const auto second = claim(1, key);
            CPPUNIT_ASSERT(std::get<RequestError>(*second).reason == Reason::InProgress);
            CPPUNIT_ASSERT(std::get<RequestError>(*second).execution == Execution::MayHaveRun);
            const auto other = claim(2, key, 99);
            CPPUNIT_ASSERT(std::get<RequestError>(*other).reason == Reason::IdempotencyKeyReused);
            m_nodes[0]->service.record(std::get<ClaimTicket>(*first), Execution::Ran, 200);
            run(seconds(1));
            const auto third = claim(1, key);
            CPPUNIT_ASSERT(std::get<RequestError>(*third).reason == Reason::AlreadyRan);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_nodes[0]->service.heldCount());
    }

    // Guards against a claim or outcome that is lost with a single message.
    void lostMessagesAreRepeated()
    {
        m_network->faults = {0.4, 0.2, 0.3, milliseconds(200)};
        int granted = 0;
        for (int i = 0; i < 30; ++i) {
            const auto answer = claim(i % 3, "k" + std::to_string(i));
            if (const auto *ticket = std::get_if<ClaimTicket>(&*answer)) {
                ++granted;
                m_nodes[i % 3]->service.record(*ticket, Execution::Ran, 200);
            }
        }
        CPPUNIT_ASSERT(granted >= 25);
        run(seconds(30));
        for (const auto &it : m_nodes)
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, it->service.heldCount());
    }

    // Guards against a claim that waits for a dead owner until it times out.
    void claimIsResentToNewOwner()
    {
        const std::string key = keyOwnedBy(2);
        std::optional<ClaimAnswer> answer;
        isolate(2);
        startClaim(0, key, 1, answer);
        run(milliseconds(100));
        CPPUNIT_ASSERT(!answer);
        setViews({0, 1});
        run(milliseconds(100));
        CPPUNIT_ASSERT(answer && std::holds_alternative<ClaimTicket>(*answer));
    }

    // Guards against an outcome that is lost with the node that held the claim.
    void outcomeIsFoundThroughAnyNode()
    {
        const auto ticket = claim(0, "k");
        CPPUNIT_ASSERT((*std::get<std::optional<Outcome>>(lookUp(2, "k"))).inProgress);
        m_nodes[0]->service.record(std::get<ClaimTicket>(*ticket), Execution::Ran, 201);
        run(seconds(1));
        isolate(0);
        setViews({1, 2});
        for (int i = 1; i < 3; ++i) {
            const auto found = std::get<std::optional<Outcome>>(lookUp(i, "k"));
            CPPUNIT_ASSERT(found && found->execution == Execution::Ran);
            CPPUNIT_ASSERT_EQUAL(201, found->httpStatus);
        }
        CPPUNIT_ASSERT(!std::get<std::optional<Outcome>>(lookUp(1, "never")));
    }

    // Guards against callers without an answer in a store outage and keys blocked after it.
    void storeOutageEndsInRefusal()
    {
        m_store->faults.silent = true;
        const auto refused = claim(0, "k");
        const auto &error = std::get<RequestError>(*refused);
        CPPUNIT_ASSERT(error.reason == Reason::StoreUnavailable);
        CPPUNIT_ASSERT(error.execution == Execution::NotRun);
        CPPUNIT_ASSERT(error.retryAfter > Duration(0));
        CPPUNIT_ASSERT(std::holds_alternative<RequestError>(lookUp(1, "k")));
        m_store->faults.silent = false;
        run(seconds(10));
        CPPUNIT_ASSERT(std::holds_alternative<ClaimTicket>(*claim(1, "k")));
    }

    // Guards against both sides of a partition granting the same key.
    void twoOwnersGrantOnce()
    {
        for (int round = 0; round < 20; ++round) {
            const auto key = "k" + std::to_string(round);
            m_nodes[0]->membership.set({{NodeId("n0"), 1, {}, false}});
            m_nodes[1]->membership.set({{NodeId("n1"), 1, {}, false}});
            std::optional<ClaimAnswer> a;
            std::optional<ClaimAnswer> b;
            startClaim(0, key, 1, a);
            startClaim(1, key, 1, b);
            run(seconds(3));
            const int granted = int(std::holds_alternative<ClaimTicket>(*a)) +
                                int(std::holds_alternative<ClaimTicket>(*b));
            CPPUNIT_ASSERT_EQUAL(1, granted);
        }
    }

    // Guards against a record field that encoding or decoding drops.
    void codecRoundTripsRecords()
    {
        ClaimShardData data;
        data.batchId = 5;
        data.nextSegment = 3;
        data.segments = {{"claims/1/2-9", 77, 4}};
        data.open = {{"k", 1, 2, NodeId("n"), 3, ClaimState::MayHaveRun, 502, 99}};
        CPPUNIT_ASSERT(ClaimCodec::decodeShard(ClaimCodec::encodeShard(data)) == data);
        CPPUNIT_ASSERT(ClaimCodec::decodeSegment(ClaimCodec::encodeSegment(data.open)) ==
                       data.open);
    }

    // Guards against a damaged object that is decoded as an empty one.
    void malformedValuesAreRejected()
    {
        CPPUNIT_ASSERT(!ClaimCodec::decodeShard(""));
        CPPUNIT_ASSERT(!ClaimCodec::decodeShard("{\"batch\":1}"));
        CPPUNIT_ASSERT(!ClaimCodec::decodeSegment(""));
        peer::ClaimShardObject object;
        object.set_batch_id(1);
        object.add_open()->set_key_hash("k");
        CPPUNIT_ASSERT(!ClaimCodec::decodeShard(object.SerializeAsString()));
    }

private:
    void setViews(const std::vector<int> &live)
    {
        std::vector<LiveNode> nodes;
        for (const int it : live)
            nodes.push_back({m_nodes[std::size_t(it)]->self, 1, {}, false});
        for (const int it : live)
            m_nodes[std::size_t(it)]->membership.set(nodes);
    }

    void isolate(int node)
    {
        for (const auto &it : m_nodes) {
            m_network->cut.insert({it->self, m_nodes[std::size_t(node)]->self});
            m_network->cut.insert({m_nodes[std::size_t(node)]->self, it->self});
        }
    }

    void run(Duration span)
    {
        const auto end = m_events->now() + span;
        while (m_events->now() < end) {
            bool busy = true;
            while (busy) {
                busy = m_events->runOne();
                for (const auto &it : m_nodes)
                    busy = it->loop.runDue() > 0 || busy;
            }
            auto next = std::min(end, m_events->next().value_or(end));
            for (const auto &it : m_nodes)
                next = std::min(next, it->loop.nextTimer().value_or(end));
            m_events->moveTo(next);
        }
    }

    void startClaim(int node, const std::string &key, std::uint64_t body,
                    std::optional<ClaimAnswer> &answer)
    {
        m_nodes[std::size_t(node)]->service.claim(
                {WorkspaceId("w"), key, body, RequestId("r"), seconds(2)},
                [&answer](const ClaimAnswer &it) {
                    CPPUNIT_ASSERT(!answer);
                    answer = it;
                });
    }

    std::optional<ClaimAnswer> claim(int node, const std::string &key, std::uint64_t body = 1)
    {
        std::optional<ClaimAnswer> answer;
        startClaim(node, key, body, answer);
        for (int i = 0; i < 300 && !answer; ++i)
            run(milliseconds(10));
        CPPUNIT_ASSERT(answer.has_value());
        return answer;
    }

    OutcomeAnswer lookUp(int node, const std::string &key)
    {
        std::optional<OutcomeAnswer> answer;
        m_nodes[std::size_t(node)]->service.lookUp(WorkspaceId("w"), key,
                                                   [&](const auto &it) { answer = it; });
        for (int i = 0; i < 300 && !answer; ++i)
            run(milliseconds(10));
        CPPUNIT_ASSERT(answer.has_value());
        return *answer;
    }

    std::string keyOwnedBy(int node)
    {
        for (int i = 0;; ++i) {
            const auto key = "key" + std::to_string(i);
            const auto hash = ClaimService::keyHash(WorkspaceId("w"), key);
            const auto owner = m_nodes[0]->service.ownerOf(ClaimService::shardOf(hash));
            if (owner == m_nodes[std::size_t(node)]->self)
                return key;
        }
    }

    std::unique_ptr<test::SimEvents> m_events;
    std::unique_ptr<test::SimNetwork> m_network;
    std::unique_ptr<test::SimStore> m_store;
    std::vector<std::unique_ptr<ClaimNode>> m_nodes;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimServiceTest);

} // namespace hawthornslip
