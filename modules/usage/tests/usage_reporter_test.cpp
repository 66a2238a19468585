#include "modules/usage/usage_reporter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip {

namespace {

constexpr UsageTimes kTimes{seconds(2), seconds(4)};
constexpr Duration kStep = milliseconds(100);

template <typename Action>
std::optional<Action> find(const UsageActions &actions)
{
    for (const auto &it : actions) {
        if (const auto *action = std::get_if<Action>(&it))
            return *action;
    }
    return std::nullopt;
}

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

/** One reporter with a store that the test plays. */
class OneReporter
{
public:
    static constexpr std::uint64_t kOpen = 100;

    UsageReporter reporter{kTimes};
    TimePoint now{seconds(1000)};
    std::uint64_t generation = 1;
    std::uint64_t eraWindow = kOpen;
    bool isClockSet = true;

    UsageActions tick(std::uint64_t open, WindowCounts ready = {})
    {
        now += kStep;
        UsageTick tick{now, open, DutyTerm{generation, now + seconds(1)}, std::move(ready)};
        tick.eraWindow = eraWindow;
        tick.isClockSet = isClockSet;
        return reporter.onTick(tick);
    }

    /** Lets the reporter read a journal that allows windows from kOpen on. */
    void load(const UsageJournal &journal = {kOpen, {}}, std::uint64_t version = 5)
    {
        const auto read = find<ReadJournal>(tick(kOpen));
        CPPUNIT_ASSERT(read.has_value());
        reporter.onRead(read->operation,
                        {StoreError::None, {encodeUsageJournal(journal), version}, {}}, now);
    }

    /** Freezes kOpen with @p n requests. @return the write. */
    WriteJournal freeze(std::uint64_t n)
    {
        const auto write = find<WriteJournal>(tick(kOpen + 1, {{kOpen, {{"a", n}}}}));
        CPPUNIT_ASSERT(write.has_value());
        return *write;
    }
};

} // namespace

class UsageReporterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UsageReporterTest);
    CPPUNIT_TEST(calmScheduleReportsEachWindow);
    CPPUNIT_TEST(noScheduleHasTwoReportsOfOneWindow);
    CPPUNIT_TEST(nothingIsSentBeforeItIsWritten);
    CPPUNIT_TEST(successorRepeatsTheCountsOfTheJournal);
    CPPUNIT_TEST(writeWithoutAnswerIsReadBack);
    CPPUNIT_TEST(reportIsRepeatedUntilItIsAccepted);
    CPPUNIT_TEST(slowProviderDoesNotHoldUpTheNextWindow);
    CPPUNIT_TEST(overdueWindowsAreGivenUpOnce);
    CPPUNIT_TEST(windowsBeforeAnEraGetNoNewCounts);
    CPPUNIT_TEST(noJournalBeginsBeforeTheClockIsSet);
    CPPUNIT_TEST(unreadableJournalAllowsLaterWindowsOnly);
    CPPUNIT_TEST(nothingIsDoneWithoutTheTerm);
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
        for (std::uint64_t seed = 1; seed <= 10'000; ++seed) {
            Schedule schedule(seed);
            schedule.play(seconds(40));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(),
                                         schedule.fault());
            windows += schedule.accepted().size();
        }
        CPPUNIT_ASSERT(windows > 50'000);
    }

    // Guards against a report whose counts a successor cannot know.
    void nothingIsSentBeforeItIsWritten()
    {
        OneReporter one;
        one.load();
        const auto write = one.freeze(7);
        CPPUNIT_ASSERT(!find<SendUsage>(one.tick(OneReporter::kOpen + 1)).has_value());
        one.reporter.onWritten(write.operation, {StoreError::None, {{}, 6}, {}}, one.now);
        const auto sent = find<SendUsage>(one.tick(OneReporter::kOpen + 1));
        CPPUNIT_ASSERT(sent.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), sent->report.counts.at("a"));
    }

    // Guards against a holder that dies between the write and the report.
    void successorRepeatsTheCountsOfTheJournal()
    {
        OneReporter one;
        UsageJournal journal{OneReporter::kOpen, {}};
        journal.reports[OneReporter::kOpen].counts = {{"a", 7}};
        one.load(journal);
        const auto actions = one.tick(OneReporter::kOpen + 1, {{OneReporter::kOpen, {{"a", 9}}}});
        const auto sent = find<SendUsage>(actions);
        CPPUNIT_ASSERT(sent.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), sent->report.counts.at("a"));
        CPPUNIT_ASSERT(!find<WriteJournal>(actions).has_value());
    }

    // Guards against counts that are frozen twice because the answer to the write was lost.
    void writeWithoutAnswerIsReadBack()
    {
        OneReporter one;
        one.load();
        const auto write = one.freeze(7);
        one.reporter.onWritten(write.operation, {StoreError::Unknown, {}, {}}, one.now);
        one.now += seconds(1);
        auto actions = one.tick(OneReporter::kOpen + 1, {{OneReporter::kOpen, {{"a", 9}}}});
        CPPUNIT_ASSERT(!find<WriteJournal>(actions).has_value());
        const auto read = find<ReadJournal>(actions);
        CPPUNIT_ASSERT(read.has_value());
        one.reporter.onRead(read->operation, {StoreError::None, {write.value, 6}, {}}, one.now);
        const auto sent = find<SendUsage>(one.tick(OneReporter::kOpen + 1));
        CPPUNIT_ASSERT(sent.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), sent->report.counts.at("a"));
    }

    // Guards against a window that is lost because a call got no answer or was refused.
    void reportIsRepeatedUntilItIsAccepted()
    {
        OneReporter one;
        one.load();
        one.reporter.onWritten(one.freeze(7).operation, {StoreError::None, {{}, 6}, {}}, one.now);
        for (const auto result : {ProviderResult::Unknown, ProviderResult::RateLimited,
                                  ProviderResult::Unavailable, ProviderResult::Conflict}) {
            const auto sent = find<SendUsage>(one.tick(OneReporter::kOpen + 1));
            CPPUNIT_ASSERT(sent.has_value());
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), sent->report.counts.at("a"));
            one.reporter.onReported(sent->report.window, result, one.now);
            CPPUNIT_ASSERT(!find<SendUsage>(one.tick(OneReporter::kOpen + 1)).has_value());
            one.now += seconds(5);
        }
        const auto sent = find<SendUsage>(one.tick(OneReporter::kOpen + 1));
        one.reporter.onReported(sent->report.window, ProviderResult::Accepted, one.now);
        one.now += seconds(5);
        CPPUNIT_ASSERT(!find<SendUsage>(one.tick(OneReporter::kOpen + 1)).has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), one.reporter.pending());
    }

    // Guards against one call that the provider answers late and that holds up all later windows.
    void slowProviderDoesNotHoldUpTheNextWindow()
    {
        OneReporter one;
        UsageJournal journal{OneReporter::kOpen, {}};
        journal.reports[OneReporter::kOpen - 2].counts = {{"a", 1}};
        journal.reports[OneReporter::kOpen - 1].counts = {{"a", 2}};
        one.load(journal);
        const auto actions = one.tick(OneReporter::kOpen);
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2),
                             std::count_if(actions.begin(), actions.end(), [](const auto &it) {
                                 return std::holds_alternative<SendUsage>(it);
                             }));
    }

    // Guards against reports that are retried for ever, and against a window that vanishes without
    // a word.
    void overdueWindowsAreGivenUpOnce()
    {
        OneReporter one;
        UsageJournal journal{OneReporter::kOpen, {}};
        journal.reports[OneReporter::kOpen].counts = {{"a", 1}};
        one.load(journal);
        const std::uint64_t later = OneReporter::kOpen + kTimes.keptWindows() + 2;
        const auto actions = one.tick(later);
        // The one that was frozen, and the next one, which nobody counted.
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(2),
                             std::count_if(actions.begin(), actions.end(), [](const auto &it) {
                                 return std::holds_alternative<UsageGivenUp>(it);
                             }));
        CPPUNIT_ASSERT(!find<SendUsage>(actions).has_value());
        CPPUNIT_ASSERT(!find<UsageGivenUp>(one.tick(later)).has_value());
        CPPUNIT_ASSERT(!one.reporter.needsCounts(OneReporter::kOpen));
    }

    // Guards against a second report of a window whose entry a restored store has lost.
    void windowsBeforeAnEraGetNoNewCounts()
    {
        OneReporter one;
        one.load();
        one.reporter.enterEra(2);
        const auto read = find<ReadJournal>(one.tick(OneReporter::kOpen + 1));
        CPPUNIT_ASSERT(read.has_value());
        one.reporter.onRead(read->operation, {StoreError::NotFound, {}, {}}, one.now);
        const auto write = find<WriteJournal>(
                one.tick(OneReporter::kOpen + 1, {{OneReporter::kOpen, {{"a", 9}}}}));
        CPPUNIT_ASSERT(write.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), write->expectedVersion);
        const auto journal = decodeUsageJournal(write->value);
        CPPUNIT_ASSERT(journal.has_value());
        CPPUNIT_ASSERT(journal->reports.empty());
        CPPUNIT_ASSERT(journal->firstWindow > OneReporter::kOpen);
    }

    // Guards against a new journal that allows windows which others have reported, because the
    // clock of this node is slow.
    void noJournalBeginsBeforeTheClockIsSet()
    {
        OneReporter one;
        one.isClockSet = false;
        const auto read = find<ReadJournal>(one.tick(OneReporter::kOpen));
        one.reporter.onRead(read->operation, {StoreError::NotFound, {}, {}}, one.now);
        CPPUNIT_ASSERT(!find<WriteJournal>(one.tick(OneReporter::kOpen)).has_value());
        one.isClockSet = true;
        CPPUNIT_ASSERT(find<WriteJournal>(one.tick(OneReporter::kOpen)).has_value());
    }

    // Guards against an unreadable journal whose windows are reported again.
    void unreadableJournalAllowsLaterWindowsOnly()
    {
        OneReporter one;
        one.eraWindow = OneReporter::kOpen - 5;
        const auto read = find<ReadJournal>(one.tick(OneReporter::kOpen));
        one.reporter.onRead(read->operation, {StoreError::None, {"?", 5}, {}}, one.now);
        const auto write = find<WriteJournal>(one.tick(OneReporter::kOpen));
        CPPUNIT_ASSERT(write.has_value());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), write->expectedVersion);
        CPPUNIT_ASSERT(decodeUsageJournal(write->value)->firstWindow > OneReporter::kOpen);
    }

    // Guards against a node that acts although another one holds the duty.
    void nothingIsDoneWithoutTheTerm()
    {
        OneReporter one;
        UsageJournal journal{OneReporter::kOpen, {}};
        journal.reports[OneReporter::kOpen].counts = {{"a", 1}};
        one.load(journal);
        CPPUNIT_ASSERT(one.reporter.onTick({one.now, OneReporter::kOpen + 1, {}, {}}).empty());
        CPPUNIT_ASSERT(
                one.reporter.onTick({one.now, OneReporter::kOpen + 1, DutyTerm{1, one.now}, {}})
                        .empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UsageReporterTest);

} // namespace hawthornslip
