#include "bench/decisions/group_model.h"

#include "modules/admission/scheduler_factory.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <variant>

namespace hawthornslip::bench {

namespace {

constexpr Duration kStep = milliseconds(5);
constexpr Duration kTick = milliseconds(50);
constexpr Duration kProgressInterval = seconds(1);
constexpr Duration kReportInterval = seconds(1);
constexpr Duration kCancelTime = milliseconds(10);
constexpr int kPrefixesPerWorkspace = 8;
constexpr double kCachedPart = 0.9;

// Order requests are short, chat follows a log-normal law and the lowest tier has a long tail.
struct LengthLaw
{
    double median;
    double sigma;
};
constexpr std::array<LengthLaw, kTierCount> kLengths{{{80, 0.4}, {200, 0.8}, {300, 1.2}}};
constexpr double kLongest = 2000;

double meanOf(const LengthLaw &law)
{
    return law.median * std::exp(law.sigma * law.sigma / 2);
}

std::shared_ptr<const Profile> makeProfile(int tier)
{
    auto profile = std::make_shared<Profile>();
    profile->name = ProfileName("tier" + std::to_string(tier));
    profile->tier = tier;
    profile->idempotent = tier != kOrderTier;
    profile->resumable = tier != kOrderTier;
    profile->firstTokenTarget = tier == kTierCount - 1 ? seconds(5) : seconds(1);
    profile->tokenTarget = milliseconds(42);
    profile->totalTimeout = seconds(120);
    // The same prior for all, so that the lengths have to be learned.
    profile->expectedTokens = 200;
    return profile;
}

UpstreamId engineId(std::size_t e)
{
    return UpstreamId("e" + std::to_string(e));
}

} // namespace

double EngineSpec::capacity(double tokenTarget) const
{
    double best = 0;
    for (std::uint32_t n = 1; n <= slots && step(n) <= tokenTarget; ++n)
        best = std::max(best, n / step(n));
    return best;
}

GroupModel::GroupModel(ExperimentSpec spec)
    : m_spec(std::move(spec))
    , m_random(m_spec.seed)
    , m_scheduler(makeScheduler(m_spec.policy, m_spec.options))
{
    std::vector<UpstreamInfo> upstreams;
    for (std::size_t e = 0; e < m_spec.engines.size(); ++e) {
        m_engines.push_back({m_spec.engines[e], {}, {}, {}, {}});
        upstreams.push_back({engineId(e), true, m_spec.maxConcurrency});
    }
    for (int tier = 0; tier < kTierCount; ++tier)
        m_profiles[std::size_t(tier)] = makeProfile(tier);
    const double tokenTarget = toSeconds(m_profiles[0]->tokenTarget);
    for (const auto &it : m_spec.engines)
        m_capacity += it.capacity(tokenTarget);
    for (std::size_t tier = 0; tier < kTierCount; ++tier)
        m_rates[tier] = m_spec.load * m_capacity * m_spec.shares[tier] / meanOf(kLengths[tier]);
    m_scheduler->onUpstreams(upstreams, m_now);
}

ExperimentResult GroupModel::run()
{
    const TimePoint end = m_start + m_spec.duration;
    TimePoint tick = m_now;
    TimePoint reported = m_now;
    bool wasDown = false;
    while (m_now < end) {
        m_now += kStep;
        const bool down = m_spec.crashed >= 0 && isDown(std::size_t(m_spec.crashed));
        if (down && !wasDown)
            crash(std::size_t(m_spec.crashed));
        wasDown = down;
        arrive();
        for (std::size_t e = 0; e < m_engines.size(); ++e)
            stepEngine(e);
        if (m_now - tick >= kTick) {
            tick = m_now;
            apply(m_scheduler->onTick(m_now));
        }
        if (m_spec.reports && m_now - reported >= kReportInterval) {
            reported = m_now;
            report();
        }
    }
    return collect();
}

bool GroupModel::isDown(std::size_t e) const
{
    return int(e) == m_spec.crashed && m_now >= m_start + m_spec.duration / 3 &&
           m_now < m_start + m_spec.duration * 2 / 3;
}

double GroupModel::slowness(std::size_t e) const
{
    const bool slow = int(e) == m_spec.straggler && m_now >= m_start + m_spec.duration / 3;
    return slow ? m_spec.straggleFactor : 1;
}

void GroupModel::arrive()
{
    for (std::size_t tier = 0; tier < kTierCount; ++tier) {
        std::poisson_distribution<int> arrivals(m_rates[tier] * toSeconds(kStep));
        for (int n = arrivals(m_random); n > 0; --n) {
            const LengthLaw &law = kLengths[tier];
            std::lognormal_distribution<double> length(std::log(law.median), law.sigma);
            std::uniform_real_distribution<double> uniform(0, 1);
            Request it;
            it.arrived = m_now;
            it.length = std::uint32_t(std::clamp(length(m_random), 1.0, kLongest));
            it.workspace = uniform(m_random) < m_spec.largeShare
                                   ? 0
                                   : 1 + int(uniform(m_random) * m_spec.workspaces);
            it.ask.key.request = RequestId("r" + std::to_string(m_requests.size()));
            it.ask.node = NodeId("n");
            it.ask.workspace = WorkspaceId("w" + std::to_string(it.workspace));
            it.ask.profile = m_profiles[tier];
            it.ask.promptTokens = std::uint32_t(m_spec.promptTokens * (0.5 + uniform(m_random)));
            it.ask.prefixHash = 1 + std::uint64_t(uniform(m_random) * kPrefixesPerWorkspace);
            it.measured = measuring() && m_now < m_start + m_spec.duration - seconds(20);
            if (it.measured)
                ++m_result.tiers[tier].asked;
            if (it.measured && it.workspace > 0 && tier == 1)
                ++m_smallAsked;
            if (measuring())
                m_demandTokens += it.length;
            m_byRequest[it.ask.key.request.value] = m_requests.size();
            m_requests.push_back(std::move(it));
            submit(m_requests.size() - 1);
        }
    }
}

void GroupModel::submit(std::size_t i)
{
    Request &it = m_requests[i];
    it.ask.waited = m_now - it.arrived;
    it.ask.remaining = it.ask.profile->totalTimeout - it.ask.waited;
    it.ask.tokensDone = std::uint32_t(it.done);
    const AdmissionRequestEvent ask = it.ask;
    apply(m_scheduler->onAdmissionRequest(ask, m_now));
}

void GroupModel::apply(const SchedulerActions &actions)
{
    for (const auto &action : actions) {
        if (const auto *grant = std::get_if<GrantAction>(&action)) {
            start(*grant);
        } else if (const auto *refusal = std::get_if<RefuseAction>(&action)) {
            const Request &it = m_requests[m_byRequest.at(refusal->key.request.value)];
            if (it.measured)
                ++m_result.tiers[std::size_t(it.ask.profile->tier)].refused;
            // The caller of a stream that is not continued gets a broken answer.
            m_wasted += measuring() ? it.done : 0;
        } else {
            const auto victim = m_byGrant.find(std::get<PreemptAction>(action).grant);
            if (victim != m_byGrant.end())
                m_requests[victim->second].stopAt = m_now + kCancelTime;
        }
    }
}

void GroupModel::start(const GrantAction &action)
{
    const std::size_t i = m_byRequest.at(action.key.request.value);
    Request &it = m_requests[i];
    const auto e = std::size_t(std::stoul(action.upstream.value.substr(1)));
    it.grant = action.grant;
    it.engine = e;
    it.sent = m_now;
    it.reported = m_now;
    it.doneBefore = it.done;
    it.stopAt = TimePoint::max();
    if (it.done == 0 && it.measured) {
        auto &longest = m_result.tiers[std::size_t(it.ask.profile->tier)].longestWaitSeconds;
        longest = std::max(longest, toSeconds(m_now - it.arrived));
    }
    m_byGrant[action.grant] = i;
    // Engines honour priorities among the requests that wait inside them.
    auto &waiting = m_engines[e].waiting;
    const auto place = std::find_if(waiting.begin(), waiting.end(), [&](std::size_t other) {
        return m_requests[other].ask.profile->tier > it.ask.profile->tier;
    });
    waiting.insert(place, i);
}

void GroupModel::enter(Engine &engine, std::size_t i)
{
    Request &it = m_requests[i];
    const std::uint64_t key = std::uint64_t(it.workspace) * 1000 + it.ask.prefixHash;
    const auto found = std::find(engine.cached.begin(), engine.cached.end(), key);
    const bool hit = found != engine.cached.end();
    if (hit)
        engine.cached.erase(found);
    engine.cached.push_front(key);
    if (engine.cached.size() > engine.spec.cachedPrefixes)
        engine.cached.pop_back();
    m_prefills += measuring() ? 1 : 0;
    m_hits += hit && measuring() ? 1 : 0;
    const double tokens = it.ask.promptTokens * (hit ? 1 - kCachedPart : 1) + it.done;
    it.prefillLeft = tokens * engine.spec.prefillPerTokenSeconds;
    engine.running.push_back(i);
}

void GroupModel::stepEngine(std::size_t e)
{
    Engine &engine = m_engines[e];
    if (isDown(e)) {
        // A connection is refused at once.
        const auto refused = std::exchange(engine.waiting, {});
        for (const auto i : refused) {
            release(i, ReleaseResult::ConnectFailed);
            retry(i);
        }
        return;
    }
    while (!engine.waiting.empty() && engine.running.size() < engine.spec.slots) {
        const std::size_t i = engine.waiting.front();
        engine.waiting.pop_front();
        enter(engine, i);
    }
    const double dt = toSeconds(kStep) / slowness(e);
    const double tokens = dt / engine.spec.step(double(engine.running.size()));
    const auto running = engine.running;
    for (const auto i : running) {
        Request &it = m_requests[i];
        if (it.prefillLeft > 0) {
            it.prefillLeft -= dt;
        } else {
            const double before = it.done;
            it.done = std::min<double>(it.length, it.done + tokens);
            m_generated += measuring() ? it.done - before : 0;
            if (it.firstToken == TimePoint{} && it.done >= 1) {
                it.firstToken = m_now;
                ++m_firstTokens;
                m_firstTokenSum += toSeconds(m_now - it.sent);
            }
        }
        if (it.done >= it.length) {
            release(i, ReleaseResult::Complete);
            finish(i);
        } else if (m_now >= it.stopAt) {
            release(i, ReleaseResult::Preempted);
            retry(i);
        } else if (m_now - it.arrived > it.ask.profile->totalTimeout) {
            release(i, ReleaseResult::Cancelled);
            m_wasted += measuring() ? it.done : 0;
            if (it.measured)
                ++m_result.tiers[std::size_t(it.ask.profile->tier)].late;
        } else if (it.done - it.doneBefore >= 1 &&
                   (it.reported == it.sent || m_now - it.reported >= kProgressInterval)) {
            const auto first = it.reported == it.sent ? m_now - it.sent : Duration(0);
            it.reported = m_now;
            m_scheduler->onProgress({it.grant, std::uint32_t(it.done - it.doneBefore), first},
                                    m_now);
        }
    }
}

void GroupModel::release(std::size_t i, ReleaseResult result)
{
    Request &it = m_requests[i];
    auto &running = m_engines[it.engine].running;
    running.erase(std::remove(running.begin(), running.end(), i), running.end());
    m_byGrant.erase(it.grant);
    ReleaseEvent event;
    event.grant = it.grant;
    event.result = result;
    event.tokens = std::uint32_t(it.done - it.doneBefore);
    if (it.doneBefore == 0 && it.firstToken != TimePoint{})
        event.firstToken = it.firstToken - it.sent;
    event.duration = m_now - it.sent;
    if (measuring())
        m_served[it.workspace] += it.done - it.doneBefore;
    apply(m_scheduler->onRelease(event, m_now));
}

void GroupModel::retry(std::size_t i)
{
    Request &it = m_requests[i];
    ++it.ask.key.attempt;
    if (isDown(it.engine))
        it.ask.excluded = {engineId(it.engine)};
    submit(i);
}

void GroupModel::finish(std::size_t i)
{
    const Request &it = m_requests[i];
    const Profile &profile = *it.ask.profile;
    const bool inTime =
            it.firstToken - it.arrived <= profile.firstTokenTarget &&
            m_now - it.arrived <= profile.firstTokenTarget + profile.tokenTarget * it.length;
    TierResult &tier = m_result.tiers[std::size_t(profile.tier)];
    if (inTime && measuring())
        m_goodTokens += it.length;
    if (it.measured)
        ++(inTime ? tier.inTime : tier.late);
    if (it.measured && inTime && it.workspace > 0 && profile.tier == 1)
        ++m_smallInTime;
}

void GroupModel::crash(std::size_t e)
{
    const auto running = m_engines[e].running;
    for (const auto i : running) {
        release(i, ReleaseResult::Failed);
        Request &it = m_requests[i];
        if (it.ask.profile->idempotent) {
            retry(i);
        } else {
            m_wasted += measuring() ? it.done : 0;
            if (it.measured)
                ++m_result.tiers[std::size_t(it.ask.profile->tier)].failed;
        }
    }
    m_engines[e].cached.clear();
}

void GroupModel::report()
{
    for (std::size_t e = 0; e < m_engines.size(); ++e) {
        auto &engine = m_engines[e];
        const auto [running, queued] = engine.seen;
        if (!isDown(e))
            apply(m_scheduler->onLoadReport({engineId(e), running, queued, kReportInterval},
                                            m_now));
        // A request that was sent in this step has not been looked at by the engine yet.
        const bool full = engine.running.size() >= engine.spec.slots;
        engine.seen = {std::uint32_t(engine.running.size()),
                       full ? std::uint32_t(engine.waiting.size()) : 0};
    }
}

ExperimentResult GroupModel::collect()
{
    const double measured = toSeconds(m_spec.duration - m_spec.warmUp);
    m_result.goodput = m_goodTokens / measured;
    m_result.bound = std::min(m_capacity, m_demandTokens / measured);
    m_result.wastedShare = m_wasted / std::max(m_generated, 1.0);
    double mean = 0;
    for (int w = 1; w <= m_spec.workspaces; ++w)
        mean += m_served[w] / m_spec.workspaces;
    for (int w = 1; w <= m_spec.workspaces; ++w)
        m_result.unfairness = std::max(m_result.unfairness, std::abs(m_served[w] / mean - 1));
    m_result.cacheHits = double(m_hits) / double(std::max<std::uint64_t>(m_prefills, 1));
    m_result.smallAttainment =
            double(m_smallInTime) / double(std::max<std::uint64_t>(m_smallAsked, 1));
    m_result.firstTokenSeconds =
            m_firstTokenSum / double(std::max<std::uint64_t>(m_firstTokens, 1));
    m_result.stats = m_scheduler->stats();
    return m_result;
}

} // namespace hawthornslip::bench
