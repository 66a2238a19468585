#include "servers/duties/scaling_service.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/manual_loop.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip::test {

namespace {

constexpr Duration kLease = seconds(3);

class FakeTerms : public DutyTerms
{
public:
    std::optional<DutyTerm> current(TimePoint) const override { return term; }
    void onSuperseded(std::uint64_t, TimePoint) override { term.reset(); }

    std::optional<DutyTerm> term;
};

class FakeProvider : public ProviderApi
{
public:
    struct Call
    {
        CapacityOrder order;
        std::uint64_t generation = 0;
        Done done;
    };

    void reportUsage(const UsageReport &, std::uint64_t, Done) override {}
    void orderCapacity(const CapacityOrder &order, std::uint64_t generation, Done done) override
    {
        calls.push_back({order, generation, std::move(done)});
    }

    /** Answers all calls without an answer. */
    void answerAll(ProviderResult result)
    {
        for (; answered < calls.size(); ++answered)
            calls[answered].done(result);
    }

    std::vector<Call> calls;
    std::size_t answered = 0;
};

class FakeSource : public ScalingSource
{
public:
    std::vector<ScaledService> scaledServices() override
    {
        if (!isKnown)
            return {};
        ScaledService service;
        service.name = "pool";
        service.policy.maxUpstreams = 40;
        service.policy.startTime = seconds(4);
        service.policy.reclaimablePrice = 0.25;
        service.rate.slots = 16;
        service.demand.requests = (requests += 10);
        service.demand.running = 100;
        for (int i = 0; i < 20; ++i) {
            UpstreamEntry entry;
            entry.id = UpstreamId(fmt::format("u{}", i));
            entry.domain = FailureDomain(i % 2 == 0 ? "a" : "b");
            service.upstreams.push_back(entry);
        }
        return {service};
    }

    bool isKnown = true;
    std::uint64_t requests = 0;
};

} // namespace

class ScalingServiceTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScalingServiceTest);
    CPPUNIT_TEST(ordersOnlyInATermAndWhenTheStateIsKnown);
    CPPUNIT_TEST(refusedCallWaitsForARenewalOfTheTerm);
    CPPUNIT_TEST(sendsAtMostOneOrderForEachSubject);
    CPPUNIT_TEST(answerOfAnEarlierTermChangesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_service.emplace(ScalingServiceParts{m_loop, m_provider, m_terms, m_source, m_metrics},
                          50.0);
        m_service->start();
    }

    // Guards against calls of a node that does not hold the duty, and against orders from a list
    // of upstreams that has not been read.
    void ordersOnlyInATermAndWhenTheStateIsKnown()
    {
        m_loop.advance(seconds(20));
        CPPUNIT_ASSERT(m_provider.calls.empty());
        m_source.isKnown = false;
        renew(7);
        m_loop.advance(seconds(10));
        CPPUNIT_ASSERT(m_provider.calls.empty());
        m_source.isKnown = true;
        renew(7);
        m_loop.advance(seconds(10));
        CPPUNIT_ASSERT(!m_provider.calls.empty());
        for (const auto &it : m_provider.calls)
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, it.generation);
    }

    // Guards against further calls with a generation that the provider has superseded: the term
    // is not renewed then.
    void refusedCallWaitsForARenewalOfTheTerm()
    {
        renew(7);
        m_loop.advance(seconds(6));
        const auto sent = m_provider.calls.size();
        CPPUNIT_ASSERT(sent > 0);
        m_provider.answerAll(ProviderResult::Conflict);
        m_loop.advance(seconds(30));
        CPPUNIT_ASSERT_EQUAL(sent, m_provider.calls.size());
        // The holder is still the latest one, so none were available.
        renew(7);
        m_loop.advance(seconds(10));
        CPPUNIT_ASSERT(m_provider.calls.size() > sent);
    }

    // Guards against a second order of a subject whose first one is on its way.
    void sendsAtMostOneOrderForEachSubject()
    {
        renew(7);
        m_loop.advance(seconds(60));
        // Ordinary and reclaimable ones in two domains.
        CPPUNIT_ASSERT(m_provider.calls.size() <= 4);
    }

    // Guards against an answer to a call of an earlier term that a new term takes for its own.
    void answerOfAnEarlierTermChangesNothing()
    {
        renew(7);
        m_loop.advance(seconds(6));
        const auto sent = m_provider.calls.size();
        CPPUNIT_ASSERT(sent > 0);
        m_terms.term.reset();
        m_loop.advance(seconds(4));
        renew(9);
        m_loop.advance(seconds(2));
        m_provider.answerAll(ProviderResult::Conflict);
        m_loop.advance(seconds(6));
        CPPUNIT_ASSERT(m_provider.calls.size() > sent);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, m_provider.calls.back().generation);
    }

private:
    void renew(std::uint64_t generation)
    {
        m_terms.term = DutyTerm{generation, m_loop.now() + kLease};
    }

    ManualLoop m_loop;
    FakeProvider m_provider;
    FakeTerms m_terms;
    FakeSource m_source;
    CountingMetrics m_metrics;
    std::optional<ScalingService> m_service;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScalingServiceTest);

} // namespace hawthornslip::test
