#include "modules/quarantine/verdict_finder.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>

namespace hawthornslip {

namespace {

constexpr std::size_t kMinCrashes = 3;
// Upstreams that end at the same time, as a rack does, are one coincidence, however many they are.
constexpr std::size_t kMinRounds = 2;
// A segment in wide use is on most requests at any crash.
constexpr std::size_t kMinCrashesIfAnswered = 6;
// A crash is divided among the requests that may have caused it, so that a segment which happens
// to be at crashes with many bystanders is not blamed.
constexpr double kMinBlame = 2;
// Nodes see the end of an upstream at about the same time; a new process takes longer to start.
constexpr Duration kSameCrash = seconds(1);

struct Crash
{
    std::uint64_t upstream = 0;
    TimePoint at{};
    std::vector<const SuspectObservation *> observations;
};

/** Crashes that a single segment may have caused. */
struct Suspicion
{
    bool isUnanswered = false;
    std::size_t crashes = 0;
    std::size_t rounds = 0;
    /** Sum over these crashes of this segment's part of the requests that may be the cause. */
    double blame = 0;
    std::uint64_t segment = 0;
    TimePoint lastCrashAt{};

    bool isSufficient() const
    {
        return crashes >= (isUnanswered ? kMinCrashes : kMinCrashesIfAnswered) &&
               rounds >= kMinRounds && blame >= kMinBlame;
    }
    bool operator<(const Suspicion &other) const
    {
        return std::tie(isUnanswered, crashes, rounds, segment) <
               std::tie(other.isUnanswered, other.crashes, other.rounds, other.segment);
    }
};

bool suspects(const SuspectObservation &observation, std::uint64_t segment)
{
    const auto &all = observation.suspects;
    return std::find(all.begin(), all.end(), segment) != all.end();
}

bool suspects(const Crash &crash, std::uint64_t segment)
{
    return std::any_of(crash.observations.begin(), crash.observations.end(),
                       [segment](const auto *it) { return suspects(*it, segment); });
}

/** Drops the requests that had not begun from a crash at which others had. */
void dropWaiting(Crash &crash)
{
    const auto hadBegun = [](const auto *it) { return it->observation->hadBegun; };
    if (std::any_of(crash.observations.begin(), crash.observations.end(), hadBegun))
        std::erase_if(crash.observations, [&hadBegun](const auto *it) { return !hadBegun(it); });
}

/** @return the crashes, the earliest first. */
std::vector<Crash> groupByCrash(const std::vector<SuspectObservation> &observations)
{
    std::vector<const SuspectObservation *> sorted;
    for (const auto &it : observations)
        sorted.push_back(&it);
    std::sort(sorted.begin(), sorted.end(), [](const auto *a, const auto *b) {
        return std::tie(a->observation->crashedAt, a->observation->id) <
               std::tie(b->observation->crashedAt, b->observation->id);
    });
    std::vector<Crash> crashes;
    for (const auto *it : sorted) {
        const CrashObservation &seen = *it->observation;
        const auto same = std::find_if(crashes.rbegin(), crashes.rend(), [&seen](const auto &c) {
            return c.upstream == seen.upstream && seen.crashedAt - c.at <= kSameCrash;
        });
        if (same != crashes.rend())
            same->observations.push_back(it);
        else
            crashes.push_back({seen.upstream, seen.crashedAt, {it}});
    }
    for (auto &it : crashes)
        dropWaiting(it);
    return crashes;
}

/** What the crashes up to one say about a segment. */
struct Tally
{
    Suspicion suspicion;
    TimePoint lastRoundAt = TimePoint::min();
};

/** How a segment is involved in one crash. */
struct Involvement
{
    std::size_t observations = 0;
    bool isNewRound = false;
    /** The last observation that was counted, as a prompt may repeat a segment. */
    const SuspectObservation *counted = nullptr;
};

using Tallies = std::unordered_map<std::uint64_t, Tally>;

void addCrash(const Crash &crash, Tallies &tallies)
{
    std::unordered_map<std::uint64_t, Involvement> involved;
    for (const auto *observation : crash.observations) {
        for (const std::uint64_t segment : observation->suspects) {
            Involvement &it = involved[segment];
            if (std::exchange(it.counted, observation) == observation)
                continue;
            ++it.observations;
            const TimePoint sentAt = observation->observation->sentAt;
            it.isNewRound = it.isNewRound || sentAt > tallies[segment].lastRoundAt;
        }
    }
    for (const auto &[segment, it] : involved) {
        Tally &tally = tallies[segment];
        ++tally.suspicion.crashes;
        tally.suspicion.lastCrashAt = crash.at;
        // Two requests with the segment at one upstream are one cause.
        const std::size_t causes = crash.observations.size() - it.observations + 1;
        tally.suspicion.blame += 1 / static_cast<double>(causes);
        if (it.isNewRound) {
            ++tally.suspicion.rounds;
            tally.lastRoundAt = crash.at;
        }
    }
}

Suspicion strongestSuspicion(const std::vector<Crash> &crashes, const IsAnswered &isAnswered)
{
    Tallies tallies;
    for (const auto &it : crashes)
        addCrash(it, tallies);
    Suspicion strongest;
    for (auto &[segment, it] : tallies) {
        Suspicion &suspicion = it.suspicion;
        suspicion.segment = segment;
        suspicion.isUnanswered = !isAnswered(segment, suspicion.lastCrashAt);
        if (suspicion.isSufficient())
            strongest = std::max(strongest, suspicion);
    }
    return strongest;
}

Verdict makeVerdict(const Suspicion &suspicion, const std::vector<Crash> &crashes)
{
    Verdict verdict;
    verdict.crashes = suspicion.crashes;
    verdict.rounds = suspicion.rounds;
    std::set<std::uint64_t> workspaces;
    for (const auto &crash : crashes) {
        for (const auto *it : crash.observations) {
            if (!suspects(*it, suspicion.segment))
                continue;
            auto common = it->suspects;
            std::sort(common.begin(), common.end());
            if (!verdict.support.empty()) {
                std::vector<std::uint64_t> both;
                std::set_intersection(common.begin(), common.end(), verdict.segments.begin(),
                                      verdict.segments.end(), std::back_inserter(both));
                common = std::move(both);
            }
            verdict.segments = std::move(common);
            verdict.support.push_back(it->observation->id);
            verdict.lastCrashAt = std::max(verdict.lastCrashAt, it->observation->crashedAt);
            workspaces.insert(it->observation->traits.workspace);
        }
    }
    if (workspaces.size() == 1 && *workspaces.begin() != 0)
        verdict.workspace = *workspaces.begin();
    return verdict;
}

} // namespace

bool Verdict::covers(const PromptTraits &traits) const
{
    if (workspace && *workspace != traits.workspace)
        return false;
    return std::all_of(segments.begin(), segments.end(), [&traits](std::uint64_t it) {
        return std::find(traits.segments.begin(), traits.segments.end(), it) !=
               traits.segments.end();
    });
}

std::vector<Verdict> findVerdicts(const std::vector<SuspectObservation> &observations,
                                  const IsAnswered &isAnswered)
{
    std::vector<Crash> crashes = groupByCrash(observations);
    std::vector<Verdict> verdicts;
    for (;;) {
        const Suspicion suspicion = strongestSuspicion(crashes, isAnswered);
        if (!suspicion.isSufficient())
            return verdicts;
        verdicts.push_back(makeVerdict(suspicion, crashes));
        // The other requests at these crashes were bystanders.
        std::erase_if(crashes,
                      [&suspicion](const auto &it) { return suspects(it, suspicion.segment); });
    }
}

} // namespace hawthornslip
