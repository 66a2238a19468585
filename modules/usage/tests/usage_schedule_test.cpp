#include "modules/usage/usage_reporter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip {

namespace {

// A sanitizer slows a schedule up to twentyfold; it looks for faults of memory, not of the order of
// events, which the plain build searches.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kSchedules = 1'000;
#else
constexpr std::uint64_t kSchedules = 10'000;
#endif

constexpr UsageTimes kTimes{seconds(2), seconds(4)};
constexpr Duration kStep = milliseconds(100);

/** A call that was given out; it is carried out and answered at drawn times. */
struct Pending
{
    std::size_t node = 0;
    std::uint64_t process = 0;
    UsageAction action;
    std::uint64_t era = 0;
    TimePoint carriedOutAt{};
    bool isLost = false;
};

/**
 * Plays one schedule of reports: three nodes that may all believe that they hold the duty, each
 * with counts of its own, the store and the provider, with delays, lost answers, late writes,
 * freezes, restarts, clocks that differ, and a store that restarts from an older copy. The provider
 * has no fence, as the counts must be the same without one.
 */
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            m_nodes[i].clockError = span(-500, 500);
            restart(i);
        }
        m_nodes[0].isHolder = true;
    }

    /** How often each disturbance is drawn; 0 never. */
    int disturbancePercent = 100;

    void play(Duration length)
    {
        for (const TimePoint end = m_now + length; m_now < end; m_now += kStep) {
            disturb();
            carryOut();
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                step(i);
        }
    }

    const std::map<std::uint64_t, WorkspaceCounts> &accepted() const { return m_accepted; }
    const std::string &fault() const { return m_fault; }

private:
    struct Node
    {
        std::unique_ptr<UsageReporter> reporter;
        std::uint64_t process = 0;
        std::uint64_t era = 0;
        TimePoint frozenUntil{};
        TimePoint eraSeenAt{};
        Duration clockError{0};
        bool isHolder = false;
    };

    struct Object
    {
        std::string value;
        std::uint64_t version = 0;
    };

    bool draw(int perMille)
    {
        return std::uniform_int_distribution<int>(0, 99'999)(m_random) <
               perMille * disturbancePercent;
    }

    Duration span(std::int64_t low, std::int64_t high)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(low, high)(m_random));
    }

    void restart(std::size_t i)
    {
        m_nodes[i].process = ++m_lastProcess;
        m_nodes[i].era = 0;
        m_nodes[i].eraSeenAt = m_now;
        m_nodes[i].reporter = std::make_unique<UsageReporter>(kTimes);
    }

    void disturb()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (draw(5))
                restart(i);
            if (draw(5))
                m_nodes[i].frozenUntil = m_now + span(200, 8000);
            if (draw(20))
                m_nodes[i].isHolder = !m_nodes[i].isHolder;
        }
        if (draw(20))
            m_copy = m_objects;
        if (draw(5) && m_copy) {
            m_objects = *m_copy;
            ++m_era;
        }
    }

    void step(std::size_t i)
    {
        auto &node = m_nodes[i];
        if (node.frozenUntil > m_now || !node.isHolder)
            return;
        const auto time = m_now.time_since_epoch() + node.clockError;
        UsageTick tick;
        tick.now = m_now;
        tick.openWindow = static_cast<std::uint64_t>(time / kTimes.window);
        tick.eraWindow = static_cast<std::uint64_t>(
                (node.eraSeenAt.time_since_epoch() + node.clockError) / kTimes.window);
        tick.term = DutyTerm{node.process, m_now + kStep};
        const auto first = node.reporter->firstToCollect(tick.openWindow);
        for (std::uint64_t it = first.value_or(tick.openWindow); it < tick.openWindow; ++it)
            tick.ready[it] = {{"a", ++m_count}};
        for (const auto &it : node.reporter->onTick(tick)) {
            Pending call{i, node.process, it, node.era, m_now, false};
            call.carriedOutAt += draw(80) ? span(0, 6000) : span(0, 200);
            call.isLost = draw(80);
            m_pending.push_back(call);
        }
    }

    void carryOut()
    {
        for (std::size_t k = 0; k < m_pending.size();) {
            if (m_pending[k].carriedOutAt > m_now) {
                ++k;
                continue;
            }
            const Pending call = m_pending[k];
            m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(k));
            std::visit([&](const auto &action) { carryOut(call, action); }, call.action);
        }
    }

    void carryOut(const Pending &call, const ReadJournal &action)
    {
        const auto &object = m_objects[call.era];
        StoreResult result{StoreError::None, {object.value, object.version}, m_era};
        if (object.version == 0)
            result.error = StoreError::NotFound;
        if (call.isLost)
            result = {StoreError::Unavailable, {}, {}};
        if (isOfEra(call, result))
            m_nodes[call.node].reporter->onRead(action.operation, result, m_now);
    }

    void carryOut(const Pending &call, const WriteJournal &action)
    {
        auto &object = m_objects[call.era];
        StoreResult result{StoreError::Conflict, {}, m_era};
        if (action.expectedVersion == object.version) {
            object = {action.value, ++m_revision};
            result = {StoreError::None, {{}, object.version}, m_era};
        }
        if (call.isLost)
            result = {StoreError::Unknown, {}, {}};
        if (isOfEra(call, result))
            m_nodes[call.node].reporter->onWritten(action.operation, result, m_now);
    }

    void carryOut(const Pending &call, const SendUsage &action)
    {
        const auto &report = action.report;
        const auto [it, isNew] = m_accepted.emplace(report.window, report.counts);
        if (it->second != report.counts)
            m_fault = "two reports of window " + std::to_string(report.window);
        if (isCurrent(call))
            m_nodes[call.node].reporter->onReported(
                    report.window, call.isLost ? ProviderResult::Unknown : ProviderResult::Accepted,
                    m_now);
    }

    void carryOut(const Pending &, const UsageGivenUp &) {}

    bool isCurrent(const Pending &call) const { return m_nodes[call.node].process == call.process; }

    /** Turns a node to the era that an answer names, as the service does. */
    bool isOfEra(const Pending &call, const StoreResult &result)
    {
        auto &node = m_nodes[call.node];
        if (!isCurrent(call))
            return false;
        if (result.era && *result.era != call.era) {
            if (*result.era > node.era) {
                node.era = *result.era;
                node.eraSeenAt = m_now;
                node.reporter->enterEra(node.era);
            }
            return false;
        }
        return call.era == node.era;
    }

    std::mt19937_64 m_random;
    TimePoint m_now{seconds(1000)};
    std::array<Node, 3> m_nodes;
    std::uint64_t m_lastProcess = 0;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 0;
    std::uint64_t m_count = 0;
    std::map<std::uint64_t, Object> m_objects;
    std::optional<std::map<std::uint64_t, Object>> m_copy;
    std::vector<Pending> m_pending;
    std::map<std::uint64_t, WorkspaceCounts> m_accepted;
    std::string m_fault;
};

} // namespace

class UsageScheduleTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageScheduleTest);
    CPPUNIT_TEST(calmScheduleReportsEachWindow);
    CPPUNIT_TEST(noScheduleHasTwoReportsOfOneWindow);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against windows that a healthy holder leaves out.
    void calmScheduleReportsEachWindow()
    {
        Schedule schedule(1);
        schedule.disturbancePercent = 0;
        schedule.play(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::string(), schedule.fault());
        // The window of the start and the next one may have been reported before.
        CPPUNIT_ASSERT(schedule.accepted().size() >= 27);
        const std::uint64_t span =
                schedule.accepted().rbegin()->first - schedule.accepted().begin()->first;
        CPPUNIT_ASSERT_EQUAL(schedule.accepted().size() - 1, static_cast<std::size_t>(span));
    }

    // Guards against two reports of one window with different counts, in any order of delays,
    // losses, freezes, restarts, changes of holder and restarts of the store from a copy.
    void noScheduleHasTwoReportsOfOneWindow()
    {
        std::size_t windows = 0;
        for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
            Schedule schedule(seed);
            schedule.play(seconds(40));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(),
                                         schedule.fault());
            windows += schedule.accepted().size();
        }
        CPPUNIT_ASSERT(windows > 5 * kSchedules);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageScheduleTest);

} // namespace hawthornslip
