#include "tests/servers/admission/admission_cluster.h"

#include "modules/ownership/rendezvous_hash.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip::test {

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kCancelDuration = milliseconds(20);

NodeId nodeId(int i)
{
    return NodeId("n" + std::to_string(i));
}

FailureDomain domainOf(int domain)
{
    return FailureDomain("d" + std::to_string(domain));
}

UpstreamId upstreamId(int domain, int i)
{
    return UpstreamId("u" + std::to_string(domain) + "-" + std::to_string(i));
}

const ModelName kModel("m");

} // namespace

class AdmissionCluster::Config : public ConfigSource
{
public:
    std::shared_ptr<const SharedConfig> current() const override { return m_current; }
    void set(SharedConfig config) { m_current = std::make_shared<SharedConfig>(std::move(config)); }

private:
    std::shared_ptr<const SharedConfig> m_current = std::make_shared<SharedConfig>();
};

struct AdmissionCluster::Node
{
    Node(AdmissionCluster &cluster, int i, std::uint64_t start)
        : index(i)
        , self(nodeId(i))
        , incarnation(start)
        , transport(cluster.network, self)
        , loop(cluster.m_events.clock())
        , bus(loop, transport, metrics, self, start)
        , service(loop, bus, membership, *cluster.m_config, metrics,
                  {domainOf(i % cluster.m_domains), SchedulingPolicy::Hawthornslip})
    {}

    int index;
    NodeId self;
    std::uint64_t incarnation;
    SimTransport transport;
    CountingMetrics metrics;
    ControlLoop loop;
    PeerBus bus;
    SimMembership membership;
    AdmissionService service;
    bool paused = false;
    bool crashed = false;
    std::vector<std::shared_ptr<Stream>> streams;
    std::set<std::pair<std::string, std::uint32_t>> waiting;
};

AdmissionCluster::AdmissionCluster(int nodes, int domains, int upstreams, std::uint32_t slots,
                                   std::uint64_t seed)
    : network(m_events, seed)
    , m_random(seed)
    , m_config(std::make_unique<Config>())
    , m_domains(domains)
{
    SharedConfig config;
    config.generation = 1;
    for (int tier = 0; tier < kTierCount; ++tier) {
        Profile profile;
        profile.name = ProfileName("tier" + std::to_string(tier));
        profile.tier = tier;
        profile.idempotent = tier != kOrderTier;
        profile.totalTimeout = seconds(20);
        config.profiles.push_back(profile);
    }
    for (int domain = 0; domain < domains; ++domain) {
        for (int i = 0; i < upstreams; ++i) {
            Upstream upstream;
            upstream.id = upstreamId(domain, i);
            upstream.domain = domainOf(domain);
            upstream.models = {kModel};
            upstream.maxConcurrency = slots;
            config.upstreams.push_back(upstream);
        }
    }
    m_config->set(std::move(config));
    std::vector<int> all;
    for (int i = 0; i < nodes; ++i) {
        m_nodes.push_back(std::make_unique<Node>(*this, i, ++m_incarnation));
        m_nodes.back()->service.start();
        all.push_back(i);
    }
    setViews(all);
}

AdmissionCluster::~AdmissionCluster() = default;

void AdmissionCluster::run(Duration span)
{
    const auto end = now() + span;
    while (now() < end) {
        for (auto &it : m_nodes) {
            if (!it->crashed && !it->paused) {
                generateRequests(*it, kStep);
                advanceStreams(*it);
            }
        }
        const auto stepEnd = now() + kStep;
        while (now() < stepEnd) {
            bool busy = true;
            while (busy) {
                busy = m_events.runOne();
                for (const auto &it : m_nodes)
                    busy = (!it->crashed && !it->paused && it->loop.runDue() > 0) || busy;
            }
            m_events.moveTo(std::min(stepEnd, m_events.next().value_or(stepEnd)));
        }
        check(kStep);
    }
}

void AdmissionCluster::generateRequests(Node &node, Duration step)
{
    for (int tier = 0; tier < kTierCount; ++tier) {
        const double mean = load.rates[std::size_t(tier)] * toSeconds(step);
        std::poisson_distribution<int> arrivals(mean);
        for (int n = mean > 0 ? arrivals(m_random) : 0; n > 0; --n) {
            AdmissionParams it;
            it.request = RequestId("r" + std::to_string(++m_nextRequest));
            it.model = kModel;
            it.workspace = WorkspaceId("w" + std::to_string(m_nextRequest % 3));
            it.profile = m_config->current()->profiles[std::size_t(tier)];
            it.remaining = it.profile.totalTimeout;
            it.promptTokens = 50;
            ++counts[std::size_t(tier)].requested;
            sendRequest(node, it);
        }
    }
}

void AdmissionCluster::sendRequest(Node &node, AdmissionParams params)
{
    node.waiting.insert({params.request.value, params.attempt});
    node.service.request(
            params,
            [this, &node, params](const AdmissionAnswer &answer) {
                onAnswer(node, params, answer);
            },
            [this, &node, params] {
                if (params.profile.tier == kOrderTier)
                    ++orderTierViolations;
                for (const auto &it : node.streams) {
                    if (it->params.request == params.request &&
                        it->params.attempt == params.attempt && !it->cancelling) {
                        it->cancelling = true;
                        it->tokens = tokensOf(*it);
                        it->end = now() + kCancelDuration;
                    }
                }
            });
}

void AdmissionCluster::onAnswer(Node &node, const AdmissionParams &params,
                                const AdmissionAnswer &answer)
{
    if (node.waiting.erase({params.request.value, params.attempt}) == 0) {
        ++duplicateAnswers;
        return;
    }
    TierCounts &count = counts[std::size_t(params.profile.tier)];
    if (const auto *error = std::get_if<RequestError>(&answer)) {
        ++count.refused[error->reason];
        if (params.profile.tier == kOrderTier && error->reason != Reason::DeadlineExceeded)
            ++orderTierViolations;
        return;
    }
    ++count.granted;
    count.lastGrant = now();
    auto stream = std::make_shared<Stream>();
    stream->grant = std::get<AdmissionGrant>(answer);
    stream->params = params;
    stream->grantedAt = now();
    std::exponential_distribution<double> length(1 / load.meanTokens);
    stream->tokens = 1 + static_cast<std::uint32_t>(length(m_random));
    stream->end = now() + load.firstToken + load.timePerToken * std::int64_t(stream->tokens);
    node.streams.push_back(std::move(stream));
}

std::uint32_t AdmissionCluster::tokensOf(const Stream &stream) const
{
    const auto passed = now() - stream.grantedAt - load.firstToken;
    if (passed <= Duration(0))
        return 0;
    return std::min(stream.tokens, static_cast<std::uint32_t>(passed / load.timePerToken));
}

void AdmissionCluster::advanceStreams(Node &node)
{
    // Copied because ending a stream may add another one.
    const auto streams = node.streams;
    for (const auto &it : streams) {
        if (it->end <= now()) {
            endStream(node, *it,
                      it->cancelling ? AttemptResult::Preempted : AttemptResult::Complete);
        } else if (!it->cancelling && tokensOf(*it) > 0) {
            node.service.progress(it->grant, tokensOf(*it), load.firstToken);
        }
    }
    std::erase_if(node.streams, [](const auto &it) { return it->ended; });
}

void AdmissionCluster::endStream(Node &node, Stream &stream, AttemptResult result)
{
    stream.ended = true;
    AttemptReport report;
    report.grant = stream.grant;
    report.result = result;
    report.workspace = stream.params.workspace;
    report.profile = stream.params.profile.name;
    report.tokens = stream.tokens;
    report.firstToken = load.firstToken;
    report.duration = now() - stream.grantedAt;
    node.service.release(report);
    TierCounts &count = counts[std::size_t(stream.params.profile.tier)];
    if (result == AttemptResult::Complete) {
        ++count.completed;
        return;
    }
    ++count.preempted;
    AdmissionParams retry = stream.params;
    ++retry.attempt;
    retry.tokensDone += stream.tokens;
    retry.waited += now() - stream.grantedAt;
    retry.remaining -= now() - stream.grantedAt;
    sendRequest(node, retry);
}

void AdmissionCluster::crash(int i)
{
    Node &node = *m_nodes[std::size_t(i)];
    node.crashed = true;
    node.streams.clear();
    network.detach(node.self);
}

void AdmissionCluster::restart(int i)
{
    // The old transport is destroyed first, so that it does not detach the new one.
    m_nodes[std::size_t(i)].reset();
    m_nodes[std::size_t(i)] = std::make_unique<Node>(*this, i, ++m_incarnation);
    m_nodes[std::size_t(i)]->service.start();
}

void AdmissionCluster::pause(int i)
{
    m_nodes[std::size_t(i)]->paused = true;
}

void AdmissionCluster::resume(int i)
{
    m_nodes[std::size_t(i)]->paused = false;
}

void AdmissionCluster::setView(int i, const std::vector<int> &live)
{
    std::vector<LiveNode> nodes;
    for (const int it : live) {
        const Node &node = *m_nodes[std::size_t(it)];
        nodes.push_back({node.self, node.incarnation, domainOf(it % m_domains), false});
    }
    m_nodes[std::size_t(i)]->membership.set(nodes);
}

void AdmissionCluster::setViews(const std::vector<int> &live)
{
    for (const auto &it : m_nodes) {
        if (!it->crashed)
            setView(it->index, live);
    }
}

void AdmissionCluster::drain(int upstream)
{
    SharedConfig config = *m_config->current();
    ++config.generation;
    for (auto &it : config.upstreams) {
        if (it.id == upstreamId(0, upstream))
            it.state = UpstreamState::Draining;
    }
    m_config->set(std::move(config));
}

int AdmissionCluster::ownerOf(int domain, int i) const
{
    const auto owner = rendezvousOwner(GroupId{kModel, domainOf(domain)}.toString(),
                                       m_nodes[std::size_t(i)]->membership.ownerCandidates());
    for (const auto &it : m_nodes) {
        if (it->self == owner)
            return it->index;
    }
    return -1;
}

std::uint32_t AdmissionCluster::inFlightAt(int i) const
{
    std::uint32_t sum = 0;
    for (int domain = 0; domain < m_domains; ++domain) {
        const auto &service = m_nodes[std::size_t(i)]->service;
        sum += service.loadOf({kModel, domainOf(domain)}).inFlight;
    }
    return sum;
}

std::size_t AdmissionCluster::running() const
{
    std::size_t sum = 0;
    for (const auto &it : m_nodes)
        sum += it->streams.size();
    return sum;
}

std::size_t AdmissionCluster::runningAt(int upstream) const
{
    std::size_t sum = 0;
    for (const auto &node : m_nodes) {
        sum += std::size_t(
                std::count_if(node->streams.begin(), node->streams.end(), [&](const auto &it) {
                    return it->grant.upstream == upstreamId(0, upstream);
                }));
    }
    return sum;
}

std::size_t AdmissionCluster::waitingAt(int i) const
{
    return m_nodes[std::size_t(i)]->waiting.size();
}

void AdmissionCluster::check(Duration step)
{
    std::map<UpstreamId, std::uint32_t> used;
    for (const auto &node : m_nodes) {
        for (const auto &it : node->streams) {
            // The upstream finishes a stream even while its node is paused.
            if (it->end > now())
                ++used[it->grant.upstream];
        }
        const auto violations = node->service.stats().orderTierViolations;
        orderTierViolations += violations;
    }
    for (const auto &it : m_config->current()->upstreams) {
        Duration &excess = m_excess[it.id];
        excess = used[it.id] > it.maxConcurrency ? excess + step : Duration(0);
        longestExcess = std::max(longestExcess, excess);
    }
}

} // namespace hawthornslip::test
