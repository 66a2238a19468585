#include "modules/usage/usage_reporter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>

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
