#pragma once

#include "core/scheduling_policy.h"
#include "modules/admission/group_scheduler.h"
#include "modules/admission/scheduler_options.h"

#include <array>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

/** A model of one group of upstreams for experiments with schedulers, in virtual time. */
namespace hawthornslip::bench {

/** How fast a modelled engine works; a step gives each running request one token. */
struct EngineSpec
{
    std::uint32_t slots = 60;
    double stepBaseSeconds = 0.020;
    double stepPerRunningSeconds = 0.0002;
    double prefillPerTokenSeconds = 0.0001;
    /** Prompt prefixes that fit into the cache. */
    std::size_t cachedPrefixes = 40;

    /** @return seconds from token to token with @p running requests. */
    double step(double running) const { return stepBaseSeconds + stepPerRunningSeconds * running; }
    /** @return the most tokens per second that keep within @p tokenTarget seconds. */
    double capacity(double tokenTarget) const;
};

/** One run. */
struct ExperimentSpec
{
    SchedulingPolicy policy = SchedulingPolicy::Hawthornslip;
    SchedulerOptions options;
    /** Demand as a multiple of the capacity. */
    double load = 2;
    std::uint64_t seed = 1;
    Duration duration = seconds(150);
    Duration warmUp = seconds(30);
    std::vector<EngineSpec> engines;
    std::uint32_t maxConcurrency = 64;
    /** Share of the demanded tokens by tier. */
    std::array<double, kTierCount> shares{0.15, 0.5, 0.35};
    /** Number of workspaces besides a large one. */
    int workspaces = 9;
    /** Share of the requests that the large workspace sends. */
    double largeShare = 0.4;
    double promptTokens = 400;
    /** Whether the engines report running and queued requests, a second late. */
    bool reports = true;
    /** Index of an engine that becomes slow at a third of the run; none if negative. */
    int straggler = -1;
    double straggleFactor = 5;
    /** Index of an engine that is down between a third and two thirds of the run. */
    int crashed = -1;
};

/** Results of one tier, of requests that arrived after the warm-up. */
struct TierResult
{
    std::uint64_t asked = 0;
    std::uint64_t inTime = 0;
    std::uint64_t refused = 0;
    std::uint64_t late = 0;
    std::uint64_t failed = 0;
    double longestWaitSeconds = 0;

    double attainment() const { return asked > 0 ? double(inTime) / double(asked) : 1; }
};

/** Results of one run. */
struct ExperimentResult
{
    std::array<TierResult, kTierCount> tiers;
    double goodput = 0;
    /** Tokens per second that the engines give at their best concurrency, or the demand if less. */
    double bound = 0;
    double wastedShare = 0;
    /** Largest difference of a small workspace's served tokens from their mean, as a share. */
    double unfairness = 0;
    /** Attainment of tier 1 of the small workspaces. */
    double smallAttainment = 0;
    double cacheHits = 0;
    /** Mean seconds from sending to the first token. */
    double firstTokenSeconds = 0;
    SchedulerStats stats;
};

/** Plays requests against a scheduler and modelled engines. */
class GroupModel
{
public:
    explicit GroupModel(ExperimentSpec spec);

    /** Plays the whole run. */
    ExperimentResult run();

private:
    struct Request
    {
        AdmissionRequestEvent ask;
        int workspace = 0;
        TimePoint arrived{};
        std::uint32_t length = 0;
        double done = 0;
        double doneBefore = 0;
        double prefillLeft = 0;
        TimePoint sent{};
        TimePoint firstToken{};
        TimePoint reported{};
        TimePoint stopAt = TimePoint::max();
        GrantId grant;
        std::size_t engine = 0;
        bool measured = false;
    };

    struct Engine
    {
        EngineSpec spec;
        std::list<std::uint64_t> cached;
        std::vector<std::size_t> running;
        std::deque<std::size_t> waiting;
        /** Running and queued requests at the last report's time. */
        std::pair<std::uint32_t, std::uint32_t> seen;
    };

    void arrive();
    void submit(std::size_t i);
    void apply(const SchedulerActions &actions);
    void start(const GrantAction &action);
    void enter(Engine &engine, std::size_t i);
    void stepEngine(std::size_t e);
    void release(std::size_t i, ReleaseResult result);
    void retry(std::size_t i);
    void finish(std::size_t i);
    void crash(std::size_t e);
    void report();
    bool isDown(std::size_t e) const;
    double slowness(std::size_t e) const;
    bool measuring() const { return m_now >= m_start + m_spec.warmUp; }
    ExperimentResult collect();

    ExperimentSpec m_spec;
    std::mt19937_64 m_random;
    std::unique_ptr<GroupScheduler> m_scheduler;
    std::array<std::shared_ptr<const Profile>, kTierCount> m_profiles;
    std::vector<Engine> m_engines;
    std::vector<Request> m_requests;
    std::unordered_map<std::string, std::size_t> m_byRequest;
    std::unordered_map<GrantId, std::size_t> m_byGrant;
    std::array<double, kTierCount> m_rates{};
    TimePoint m_start{seconds(1000)};
    TimePoint m_now{m_start};
    double m_capacity = 0;
    double m_generated = 0;
    double m_wasted = 0;
    double m_goodTokens = 0;
    double m_demandTokens = 0;
    std::uint64_t m_prefills = 0;
    std::uint64_t m_hits = 0;
    std::map<int, double> m_served;
    std::uint64_t m_smallAsked = 0;
    std::uint64_t m_smallInTime = 0;
    std::uint64_t m_firstTokens = 0;
    double m_firstTokenSum = 0;
    ExperimentResult m_result;
};

} // namespace hawthornslip::bench
