#include "tests/support/crashing_engines.h"
#include "tests/support/gateway_cluster.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hawthornslip::test {

namespace {

// The users' bound: this long after the fifth crash, at most three more such requests may reach
// upstreams.
constexpr Duration kContact = seconds(3);
constexpr std::size_t kCrashesBeforeBound = 5;
constexpr std::size_t kRequestsAfterBound = 3;
constexpr std::size_t kUpstreams = 12;
// News go through two reports and a summary, each of which may wait for the one before.
constexpr Duration kSpreadTime = seconds(1);
// The users' bound: sound requests are served at least half as often as before.
constexpr double kMinServed = 0.5;

RoutingConfig makeConfig()
{
    Route route;
    route.name = "history";
    route.host = "fleet.example";
    route.pathPrefix = "/history/";
    route.kind = RouteKind::Streaming;
    route.targets = {{"models", 1}};
    route.timeout = seconds(15);
    route.objective = seconds(2);
    route.maxAttempts = 2;
    route.resumable = true;
    RoutingConfig config;
    config.version = 1;
    config.routes = {route};
    Service service;
    service.name = "models";
    config.services = {service};
    config.workspaces.emplace(
            {KeyedWorkspace{"laundry", {"secret"}, 0}, KeyedWorkspace{"salon", {"other"}, 0}});
    return config;
}

std::vector<UpstreamEntry> makeUpstreams()
{
    std::vector<UpstreamEntry> entries;
    for (std::size_t i = 0; i < kUpstreams; ++i) {
        UpstreamEntry entry;
        entry.id = UpstreamId(fmt::format("u{}", i));
        entry.service = "models";
        entry.address = fmt::format("u{}:1", i);
        entry.slots = 32;
        entries.push_back(entry);
    }
    return entries;
}

/** Callers of a cluster, who try again once at another node. */
class Callers
{
public:
    Callers(ManualLoop &loop, GatewayCluster &cluster)
        : m_loop(loop)
        , m_cluster(cluster)
    {}

    /** Plays traffic; @p deadlyPerSecond requests hold the segment `deadly`. */
    void play(Duration span, double soundPerSecond, double deadlyPerSecond)
    {
        const TimePoint end = m_loop.now() + span;
        std::exponential_distribution<double> gap(soundPerSecond + deadlyPerSecond);
        while (m_loop.now() < end) {
            const double draw = std::uniform_real_distribution<double>()(m_random);
            const bool isDeadly = draw * (soundPerSecond + deadlyPerSecond) < deadlyPerSecond;
            send(isDeadly, m_random() % m_cluster.size(), 1);
            m_loop.advance(std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(gap(m_random))));
        }
        m_loop.advance(seconds(3));
    }

    /** @return the share of the sound requests sent since @p from that got a whole answer. */
    double servedSince(TimePoint from) const
    {
        double asked = 0;
        double served = 0;
        for (const auto &it : m_sound) {
            if (it->sentAt < from)
                continue;
            ++asked;
            served += it->ended && it->status == 200 ? 1 : 0;
        }
        return asked == 0 ? 0 : served / asked;
    }

    /** @return the number of sound requests refused because of what they hold. */
    std::size_t refusedAsQuarantined() const
    {
        return static_cast<std::size_t>(
                std::count_if(m_sound.begin(), m_sound.end(), [](const auto &it) {
                    return it->body.find("prompt_quarantined") != std::string::npos;
                }));
    }

    /** Answers to requests with the segment `deadly`, with the ids of the requests. */
    std::vector<std::pair<std::string, std::shared_ptr<CallerView>>> deadly;

private:
    void send(bool isDeadly, std::size_t node, int retries)
    {
        HttpHeaders headers = {{"id", std::to_string(++m_id)}, {"key", "secret"}};
        headers.emplace_back("shared", "root:512");
        // One subject is on all deadly requests and on some sound ones.
        const std::size_t subject = isDeadly ? 0 : m_random() % kSubjects;
        headers.emplace_back("shared", fmt::format("subject{}:400", subject));
        if (isDeadly)
            headers.emplace_back("shared", "deadly:50");
        headers.emplace_back("own", "100");
        const auto view = m_cluster.call(node, "/history/1", std::move(headers));
        if (isDeadly)
            deadly.emplace_back(std::to_string(m_id), view);
        else
            m_sound.push_back(view);
        if (retries > 0)
            m_loop.after(kRetryCheck, [=, this] {
                if (view->aborted || (view->ended && view->status != 200))
                    send(isDeadly, (node + 1) % m_cluster.size(), retries - 1);
            });
    }

    static constexpr std::size_t kSubjects = 40;
    static constexpr Duration kRetryCheck = milliseconds(900);

    ManualLoop &m_loop;
    GatewayCluster &m_cluster;
    std::mt19937_64 m_random{11};
    std::size_t m_id = 0;
    std::vector<std::shared_ptr<CallerView>> m_sound;
};

std::size_t deadlyArrivalsAfterBound(const CrashingEngines &engines)
{
    CPPUNIT_ASSERT(!engines.crashes.empty());
    if (engines.crashes.size() < kCrashesBeforeBound)
        return 0;
    const TimePoint bound = engines.crashes[kCrashesBeforeBound - 1] + kContact;
    return static_cast<std::size_t>(
            std::count_if(engines.arrivals.begin(), engines.arrivals.end(),
                          [bound](const auto &it) { return it.isDeadly && it.at > bound; }));
}

} // namespace

class CrashingPromptTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CrashingPromptTest);
    CPPUNIT_TEST(segmentThatCrashesUpstreamsIsNotSentOn);
    CPPUNIT_TEST(segmentIsNotSentOnWhenAnotherProcessHoldsThePorts);
    CPPUNIT_TEST(segmentIsNotSentOnBySummarizedNodesThatRestartAndLoseDatagrams);
    CPPUNIT_TEST(crashesWithoutACommonSegmentRefuseNothing);
    CPPUNIT_TEST(noNodeSendsToAnUpstreamWhoseEndAnotherOneSaw);
    CPPUNIT_TEST(refusalsTellWhetherTheRequestRan);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a prompt segment that crashes one upstream after the other.
    void segmentThatCrashesUpstreamsIsNotSentOn()
    {
        ManualLoop loop;
        CrashingEngines engines(loop);
        engines.deadlySegments = {"deadly"};
        GatewayCluster cluster(loop, 9, 3, engines, engines, makeConfig(), makeUpstreams());
        Callers callers(loop, cluster);
        callers.play(seconds(4), 40, 0);
        const TimePoint start = loop.now();
        callers.play(seconds(24), 40, 1.5);
        CPPUNIT_ASSERT_LESSEQUAL(kRequestsAfterBound, deadlyArrivalsAfterBound(engines));
        CPPUNIT_ASSERT_GREATER(kMinServed, callers.servedSince(start + seconds(10)));
    }

    // Guards against evidence that needs a port which refuses connections.
    void segmentIsNotSentOnWhenAnotherProcessHoldsThePorts()
    {
        ManualLoop loop;
        CrashingEngines engines(loop);
        engines.deadlySegments = {"deadly"};
        engines.downProbe = ProbeResult::Unanswered;
        GatewayCluster cluster(loop, 9, 3, engines, engines, makeConfig(), makeUpstreams());
        Callers callers(loop, cluster);
        callers.play(seconds(4), 40, 0);
        const TimePoint start = loop.now();
        callers.play(seconds(24), 40, 1.5);
        CPPUNIT_ASSERT_LESSEQUAL(kRequestsAfterBound, deadlyArrivalsAfterBound(engines));
        CPPUNIT_ASSERT_GREATER(kMinServed, callers.servedSince(start + seconds(10)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, callers.refusedAsQuarantined());
    }

    // Guards against a verdict that only the nodes of one failure domain know.
    void segmentIsNotSentOnBySummarizedNodesThatRestartAndLoseDatagrams()
    {
        ManualLoop loop;
        CrashingEngines engines(loop);
        engines.deadlySegments = {"deadly"};
        GatewayCluster cluster(loop, 45, 3, engines, engines, makeConfig(), makeUpstreams());
        cluster.setLoss(0.1);
        Callers callers(loop, cluster);
        callers.play(seconds(4), 40, 0);
        callers.play(seconds(10), 40, 1.5);
        for (std::size_t i = 0; i < cluster.size(); i += 10)
            cluster.restart(i);
        callers.play(seconds(14), 40, 1.5);
        CPPUNIT_ASSERT_LESSEQUAL(kRequestsAfterBound, deadlyArrivalsAfterBound(engines));
    }

    // Guards against blocks on a day on which upstreams end for other reasons.
    void crashesWithoutACommonSegmentRefuseNothing()
    {
        ManualLoop loop;
        CrashingEngines engines(loop);
        GatewayCluster cluster(loop, 9, 3, engines, engines, makeConfig(), makeUpstreams());
        Callers callers(loop, cluster);
        for (std::size_t i = 0; i < 60; ++i) {
            callers.play(milliseconds(400), 40, 0);
            engines.crash(fmt::format("u{}:1", i * 5 % kUpstreams));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, callers.refusedAsQuarantined());
    }

    // Guards against nodes that each find out by themselves that an upstream has ended.
    void noNodeSendsToAnUpstreamWhoseEndAnotherOneSaw()
    {
        ManualLoop loop;
        CrashingEngines engines(loop);
        engines.deadlySegments = {"deadly"};
        GatewayCluster cluster(loop, 45, 3, engines, engines, makeConfig(), makeUpstreams());
        Callers callers(loop, cluster);
        callers.play(seconds(4), 60, 0);
        callers.play(seconds(12), 60, 1.5);
        CPPUNIT_ASSERT_GREATER(std::size_t{2}, engines.crashes.size());
        CPPUNIT_ASSERT(std::all_of(engines.refusedAfter.begin(), engines.refusedAfter.end(),
                                   [](Duration it) { return it <= kSpreadTime; }));
    }

    // Guards against a refusal that promises that a request has not run after an upstream had it.
    void refusalsTellWhetherTheRequestRan()
    {
        ManualLoop loop;
        CrashingEngines engines(loop);
        engines.deadlySegments = {"deadly"};
        GatewayCluster cluster(loop, 9, 3, engines, engines, makeConfig(), makeUpstreams());
        Callers callers(loop, cluster);
        callers.play(seconds(4), 40, 0);
        callers.play(seconds(16), 40, 1.5);
        std::size_t refused = 0;
        for (const auto &[id, view] : callers.deadly) {
            if (view->status != 503)
                continue;
            ++refused;
            CPPUNIT_ASSERT(!engines.reached.contains(id));
        }
        CPPUNIT_ASSERT_GREATER(std::size_t{0}, refused);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashingPromptTest);

} // namespace hawthornslip::test
