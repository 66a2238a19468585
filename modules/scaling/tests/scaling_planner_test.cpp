#include "modules/scaling/order_book.h"
#include "modules/scaling/scaling_planner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hawthornslip {

namespace {

constexpr Duration kStep = milliseconds(250);
constexpr Duration kStartTime = seconds(4);
constexpr std::uint32_t kSlots = 16;
const std::vector<FailureDomain> kDomains = {FailureDomain("a"), FailureDomain("b"),
                                             FailureDomain("c")};

OrderSubject ordinary(const FailureDomain &domain)
{
    return {domain, UpstreamSort::Ordinary};
}

OrderSubject reclaimable(const FailureDomain &domain)
{
    return {domain, UpstreamSort::Reclaimable};
}

ScalingPolicy makePolicy()
{
    ScalingPolicy policy;
    policy.minUpstreams = 1;
    policy.maxUpstreams = 60;
    policy.startTime = kStartTime;
    policy.reclaimablePrice = 0.25;
    policy.domainPrices = {{kDomains[0], 1.0}, {kDomains[1], 0.8}, {kDomains[2], 1.2}};
    return policy;
}

/** One holder of the duty with a provider that starts ordered upstreams after the start time. */
class Holder
{
public:
    explicit Holder(ScalingPolicy terms = makePolicy(), std::uint32_t inEachDomain = 20)
        : policy(std::move(terms))
    {
        for (const auto &it : kDomains)
            ready[ordinary(it)] = inEachDomain;
        takeOver();
    }

    /** Another node, which knows only what is shared, holds the duty from now on. */
    void takeOver()
    {
        planner = ScalingPlanner(settings);
        orders = OrderBook(kStartTime);
    }

    /** @param load upstreams' worth of requests that run. */
    void run(Duration span, const std::function<double(double)> &load)
    {
        for (const TimePoint end = now + span; now < end; now += kStep) {
            const double n = load(toSeconds(now.time_since_epoch()));
            m_requests += n * kSlots * toSeconds(kStep);
            DemandSample sample;
            sample.requests = static_cast<std::uint64_t>(m_requests);
            sample.running = static_cast<std::uint32_t>(std::lround(n * kSlots));
            meter.add(sample, {0, kSlots}, kStartTime, now);
            arrive();
            if (meter.isKnown())
                order();
        }
    }

    void run(Duration span, double load)
    {
        run(span, [load](double) { return load; });
    }

    void reclaim(const FailureDomain &domain)
    {
        ready[reclaimable(domain)] = 0;
        isDry.insert(domain);
    }

    std::uint32_t sum(UpstreamSort sort) const
    {
        std::uint32_t n = 0;
        for (const auto &[subject, count] : ready)
            n += subject.sort == sort ? count : 0;
        return n;
    }

    ScalingSettings settings;
    ScalingPolicy policy;
    UpstreamCounts ready;
    DemandMeter meter{settings.keepFor};
    ScalingPlanner planner{settings};
    OrderBook orders{kStartTime};
    std::set<FailureDomain> isDry;
    TimePoint now{seconds(1000)};
    std::size_t calls = 0;
    std::size_t refusedCalls = 0;
    std::uint32_t fewest = UINT32_MAX;

private:
    struct Arrival
    {
        std::uint32_t n = 0;
        TimePoint at{};
    };

    void arrive()
    {
        for (auto it = m_arrivals.begin(); it != m_arrivals.end();) {
            if (it->second.at > now) {
                ++it;
                continue;
            }
            ready[it->first] = it->second.n;
            it = m_arrivals.erase(it);
        }
        fewest = std::min(fewest, totalOf(ready));
    }

    void order()
    {
        orders.findReclaimed(ready, now);
        const auto without = orders.withoutReclaimable(now);
        const auto &desired = planner.plan({policy, ready, without, meter.estimate()}, now);
        for (const auto &it : orders.due(desired, ready, now)) {
            ++calls;
            orders.onSent(it);
            const bool isRise = it.desired > countOf(ready, it.subject);
            if (isRise && it.subject.sort == UpstreamSort::Reclaimable &&
                isDry.contains(it.subject.domain)) {
                ++refusedCalls;
                orders.onResult(it, ProviderResult::Conflict, now);
                continue;
            }
            checkBounds(it);
            if (isRise)
                m_arrivals[it.subject] = {it.desired, now + kStartTime};
            else
                ready[it.subject] = it.desired;
            orders.onResult(it, ProviderResult::Accepted, now);
        }
    }

    void checkBounds(const DueOrder &order) const
    {
        const auto other = order.subject.sort == UpstreamSort::Ordinary ? UpstreamSort::Reclaimable
                                                                        : UpstreamSort::Ordinary;
        const auto inDomain = order.desired + countOf(ready, {order.subject.domain, other});
        CPPUNIT_ASSERT(inDomain <= policy.maxUpstreams);
        CPPUNIT_ASSERT(inDomain >= policy.minUpstreams);
    }

    std::map<OrderSubject, Arrival> m_arrivals;
    double m_requests = 0;
};

} // namespace

class ScalingPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ScalingPlannerTest);
    CPPUNIT_TEST(replacesOrdinaryUpstreamsWithoutALoss);
    CPPUNIT_TEST(keepsCapacityForTheWholeWave);
    CPPUNIT_TEST(jumpFindsTheReserveAndOrdersMore);
    CPPUNIT_TEST(survivesTheLossOfADomainsReclaimableUpstreams);
    CPPUNIT_TEST(ordersOrdinaryOnesWhenNoneAreAvailable);
    CPPUNIT_TEST(newHolderGoesOnWhereTheLastOneWas);
    CPPUNIT_TEST(constantDemandNeedsNoFurtherOrders);
    CPPUNIT_TEST(staysWithinTheBoundsOfADomain);
    CPPUNIT_TEST(calmDayGoesDownAndBackUp);
    CPPUNIT_TEST(unseenDemandLowersNothing);
    CPPUNIT_TEST(offersNoReclaimableOnesWithoutAPrice);
    CPPUNIT_TEST_SUITE_END();

public:
    // Load: 10 of 60 upstreams in use. Guards against upstreams that are given up before their
    // cheaper replacements serve, and against a plan that keeps the dear sort.
    void replacesOrdinaryUpstreamsWithoutALoss()
    {
        Holder holder;
        holder.run(seconds(18), 10);
        CPPUNIT_ASSERT(holder.fewest >= 60);
        CPPUNIT_ASSERT(holder.sum(UpstreamSort::Ordinary) < 20);
        CPPUNIT_ASSERT(holder.sum(UpstreamSort::Reclaimable) >= 40);
    }

    // Load: a wave of 12 s between 7 and 13 upstreams. Guards against capacity that follows each
    // trough, so that the next crest finds too little.
    void keepsCapacityForTheWholeWave()
    {
        constexpr double kPeriod = 12;
        Holder holder;
        const auto wave = [](double t) { return 10 + 3 * std::sin(2 * M_PI * t / kPeriod); };
        holder.run(seconds(60), wave);
        const auto calls = holder.calls;
        holder.fewest = UINT32_MAX;
        holder.run(seconds(60), wave);
        CPPUNIT_ASSERT(holder.fewest >= 13 / holder.settings.targetUse);
        // A wave that has been seen before needs no orders.
        CPPUNIT_ASSERT(holder.calls - calls <= 6);
    }

    // Load: 10 upstreams, then 25 at once. Guards against a rise that is noticed only when the
    // upstreams are full.
    void jumpFindsTheReserveAndOrdersMore()
    {
        Holder holder;
        holder.run(seconds(60), 10);
        CPPUNIT_ASSERT(totalOf(holder.ready) >= 25);
        holder.run(seconds(7), 25);
        CPPUNIT_ASSERT(totalOf(holder.ready) >= 25 / holder.settings.targetUse);
    }

    // Load: 20 upstreams; each domain in turn loses all reclaimable ones. Guards against a spread
    // that leaves less than the demand needs.
    void survivesTheLossOfADomainsReclaimableUpstreams()
    {
        for (const auto &it : kDomains) {
            Holder holder;
            holder.run(seconds(60), 20);
            holder.reclaim(it);
            CPPUNIT_ASSERT(totalOf(holder.ready) >= 20 / holder.settings.targetUse);
            const auto before = totalOf(holder.ready);
            holder.run(seconds(8), 20);
            CPPUNIT_ASSERT(totalOf(holder.ready) > before);
        }
    }

    // Load: 20 upstreams while no domain has reclaimable ones. Guards against a service without
    // capacity, and against refused calls in quick succession.
    void ordersOrdinaryOnesWhenNoneAreAvailable()
    {
        Holder holder(makePolicy(), 8);
        holder.isDry = {kDomains.begin(), kDomains.end()};
        holder.run(seconds(60), 20);
        CPPUNIT_ASSERT(holder.sum(UpstreamSort::Ordinary) >= 20 / holder.settings.targetUse);
        CPPUNIT_ASSERT_EQUAL(0U, holder.sum(UpstreamSort::Reclaimable));
        // After 4, 8, 16 and 32 s in each domain.
        CPPUNIT_ASSERT(holder.refusedCalls <= 5 * kDomains.size());
        holder.isDry.clear();
        holder.run(seconds(90), 20);
        CPPUNIT_ASSERT(holder.sum(UpstreamSort::Reclaimable) > 0);
    }

    // Load: 15 upstreams; the holder changes every 10 s. Guards against a plan that only one node
    // knows: capacity that is given up or ordered anew with each holder.
    void newHolderGoesOnWhereTheLastOneWas()
    {
        Holder holder;
        holder.run(seconds(60), 15);
        const auto before = totalOf(holder.ready);
        holder.fewest = UINT32_MAX;
        for (int i = 0; i < 5; ++i) {
            holder.takeOver();
            holder.run(seconds(10), 15);
        }
        CPPUNIT_ASSERT(holder.fewest >= 15 / holder.settings.targetUse);
        CPPUNIT_ASSERT(totalOf(holder.ready) <= before + before / 5);
    }

    // Load: 12 upstreams with 10 % noise. Guards against orders back and forth.
    void constantDemandNeedsNoFurtherOrders()
    {
        Holder holder;
        const auto noisy = [](double t) { return 12 * (1 + 0.1 * std::sin(t * 7.3)); };
        holder.run(seconds(60), noisy);
        const auto calls = holder.calls;
        holder.run(seconds(60), noisy);
        CPPUNIT_ASSERT(holder.calls - calls <= 6);
    }

    // Load: far more than the domains may have. Guards against orders beyond the provider's
    // bounds, which checkBounds() asserts for each order.
    void staysWithinTheBoundsOfADomain()
    {
        auto policy = makePolicy();
        policy.maxUpstreams = 25;
        policy.minUpstreams = 2;
        Holder holder(policy);
        holder.run(seconds(30), 100);
        CPPUNIT_ASSERT(totalOf(holder.ready) >= 70);
        holder.run(seconds(200), 0.5);
        CPPUNIT_ASSERT(totalOf(holder.ready) >= 6);
        CPPUNIT_ASSERT(totalOf(holder.ready) < 20);
    }

    // Load: 20 upstreams, then 4 for some minutes, then 20 again. Guards against capacity that
    // never falls, that falls at once, or that does not return.
    void calmDayGoesDownAndBackUp()
    {
        Holder holder;
        holder.run(seconds(60), 20);
        const auto busy = totalOf(holder.ready);
        holder.run(seconds(10), 4);
        CPPUNIT_ASSERT_EQUAL(busy, totalOf(holder.ready));
        holder.run(seconds(120), 4);
        CPPUNIT_ASSERT(totalOf(holder.ready) <= busy / 2);
        CPPUNIT_ASSERT(totalOf(holder.ready) >= 4 / holder.settings.targetUse);
        holder.run(seconds(15), 20);
        CPPUNIT_ASSERT(totalOf(holder.ready) >= 20 / holder.settings.targetUse);
    }

    // Load: none yet. Guards against a holder that takes the silence of peers, or the time before
    // the first request, for a calm day.
    void unseenDemandLowersNothing()
    {
        Holder holder;
        holder.run(seconds(60), 0);
        CPPUNIT_ASSERT(holder.fewest >= 60);
    }

    // Load: 10 upstreams without a price of reclaimable ones. Guards against orders of a sort that
    // is not on offer.
    void offersNoReclaimableOnesWithoutAPrice()
    {
        auto policy = makePolicy();
        policy.reclaimablePrice.reset();
        Holder holder(policy);
        holder.run(seconds(120), 10);
        CPPUNIT_ASSERT_EQUAL(0U, holder.sum(UpstreamSort::Reclaimable));
        CPPUNIT_ASSERT(holder.sum(UpstreamSort::Ordinary) >= 10 / holder.settings.targetUse);
        CPPUNIT_ASSERT(holder.sum(UpstreamSort::Ordinary) < 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ScalingPlannerTest);

} // namespace hawthornslip
