#include "modules/usage/usage_reporter.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hawthornslip {

namespace {

constexpr Duration kStoreRetryDelay = milliseconds(300);
constexpr Duration kFirstReportDelay = milliseconds(500);
constexpr Duration kLongestReportDelay = seconds(4);
// The provider may be slow to answer; a report must not wait for the one before it.
constexpr std::ptrdiff_t kMaxRunningReports = 2;
constexpr std::uint64_t kNoWindow = std::numeric_limits<std::uint64_t>::max();

void accept(FrozenReport &report)
{
    report.isAccepted = true;
    report.counts.clear();
}

/** Keeps in @p journal what is known about the reports of @p older. */
void addKnown(UsageJournal &journal, const UsageJournal &older)
{
    for (const auto &[window, it] : older.reports) {
        const auto found = journal.reports.find(window);
        if (found != journal.reports.end()) {
            if (it.isAccepted)
                accept(found->second);
        } else if (window < journal.firstWindow) {
            // Frozen in an earlier era of the store.
            journal.reports.emplace(window, it);
        }
    }
}

} // namespace

void UsageReporter::enterEra(std::uint64_t era)
{
    if (std::exchange(m_era, era) == era)
        return;
    m_isLoaded = false;
    m_operation = 0;
    m_version = 0;
    m_journal.firstWindow = kNoWindow;
    m_storeNotBefore = TimePoint{};
}

UsageActions UsageReporter::onTick(const UsageTick &tick)
{
    UsageActions actions;
    if (!tick.term || tick.now >= tick.term->usableUntil)
        return actions;
    if (std::exchange(m_generation, tick.term->generation) != tick.term->generation)
        m_isLoaded = false;
    prune(tick.openWindow, actions);
    readOrWrite(tick, actions);
    send(tick, actions);
    return actions;
}

void UsageReporter::prune(std::uint64_t openWindow, UsageActions &actions)
{
    const std::uint64_t oldest = m_times.oldestKept(openWindow);
    if (m_isLoaded && m_journal.firstWindow < oldest) {
        // A journal that was left for long would list windows without end.
        for (std::uint64_t window = std::max(m_journal.firstWindow, m_times.oldestKept(oldest));
             window < oldest; ++window) {
            if (needsCounts(window))
                actions.emplace_back(UsageGivenUp{window});
        }
        m_journal.firstWindow = oldest;
    }
    for (auto it = m_journal.reports.begin();
         it != m_journal.reports.end() && it->first < oldest;) {
        if (!it->second.isAccepted)
            actions.emplace_back(UsageGivenUp{it->first});
        m_attempts.erase(it->first);
        it = m_journal.reports.erase(it);
    }
}

void UsageReporter::readOrWrite(const UsageTick &tick, UsageActions &actions)
{
    if (m_operation != 0 || tick.now < m_storeNotBefore)
        return;
    if (!m_isLoaded) {
        m_operation = ++m_lastOperation;
        actions.emplace_back(ReadJournal{m_operation});
        return;
    }
    m_written = m_journal;
    const bool isNew = m_journal.firstWindow == kNoWindow;
    if (isNew && !tick.isClockSet)
        return;
    // Windows that had begun with the era may have been reported before it, by a node whose clock
    // differs by less than a window.
    if (isNew)
        m_written.firstWindow = std::max((m_isFirstOfEra ? tick.eraWindow : tick.openWindow) + 1,
                                         m_times.oldestKept(tick.openWindow));
    bool hasNew = isNew;
    for (const auto &[window, counts] : tick.ready) {
        if (window >= tick.openWindow || !needsCounts(window))
            continue;
        m_written.reports[window].counts = counts;
        hasNew = true;
    }
    if (!hasNew)
        return;
    m_operation = ++m_lastOperation;
    actions.emplace_back(WriteJournal{m_operation, encodeUsageJournal(m_written), m_version});
}

void UsageReporter::send(const UsageTick &tick, UsageActions &actions)
{
    auto running = std::count_if(m_attempts.begin(), m_attempts.end(),
                                 [](const auto &it) { return it.second.isRunning; });
    for (const auto &[window, report] : m_journal.reports) {
        if (running >= kMaxRunningReports)
            return;
        Attempt &attempt = m_attempts[window];
        if (report.isAccepted || attempt.isRunning || tick.now < attempt.notBefore)
            continue;
        attempt.isRunning = true;
        ++running;
        actions.emplace_back(SendUsage{{window, report.counts}, tick.term->generation});
    }
}

void UsageReporter::onRead(std::uint64_t operation, const StoreResult &result, TimePoint now)
{
    if (operation != m_operation)
        return;
    m_operation = 0;
    if (!result.ok() && result.error != StoreError::NotFound) {
        m_storeNotBefore = now + kStoreRetryDelay;
        return;
    }
    m_isLoaded = true;
    m_isFirstOfEra = !result.ok() && m_version == 0;
    m_version = result.ok() ? result.object.version : 0;
    // What an unreadable journal held is not known, as with one that is lost.
    auto journal = result.ok() ? decodeUsageJournal(result.object.value) : std::nullopt;
    if (!journal) {
        m_journal.firstWindow = kNoWindow;
        return;
    }
    addKnown(*journal, m_journal);
    m_journal = std::move(*journal);
}

void UsageReporter::onWritten(std::uint64_t operation, const StoreResult &result, TimePoint now)
{
    if (operation != m_operation)
        return;
    m_operation = 0;
    if (result.ok()) {
        addKnown(m_written, m_journal);
        m_journal = std::move(m_written);
        m_version = result.object.version;
        return;
    }
    // A write without an answer may have taken effect.
    if (result.error == StoreError::Conflict || result.error == StoreError::Unknown ||
        result.error == StoreError::NotFound)
        m_isLoaded = false;
    if (result.error != StoreError::Conflict)
        m_storeNotBefore = now + kStoreRetryDelay;
}

void UsageReporter::onReported(std::uint64_t window, ProviderResult result, TimePoint now)
{
    Attempt &attempt = m_attempts[window];
    attempt.isRunning = false;
    if (result == ProviderResult::Accepted) {
        if (const auto it = m_journal.reports.find(window); it != m_journal.reports.end())
            accept(it->second);
        return;
    }
    attempt.delay = std::clamp(2 * attempt.delay, kFirstReportDelay, kLongestReportDelay);
    attempt.notBefore = now + attempt.delay;
}

std::optional<std::uint64_t> UsageReporter::firstToCollect(std::uint64_t openWindow) const
{
    if (!m_isLoaded || m_journal.firstWindow == kNoWindow)
        return std::nullopt;
    std::uint64_t window = std::max(m_journal.firstWindow, m_times.oldestKept(openWindow));
    while (window < openWindow && !needsCounts(window))
        ++window;
    return window;
}

bool UsageReporter::needsCounts(std::uint64_t window) const
{
    return m_isLoaded && m_journal.firstWindow != kNoWindow && window >= m_journal.firstWindow &&
           !m_journal.reports.contains(window);
}

std::size_t UsageReporter::pending() const
{
    return static_cast<std::size_t>(
            std::count_if(m_journal.reports.begin(), m_journal.reports.end(),
                          [](const auto &it) { return !it.second.isAccepted; }));
}

} // namespace hawthornslip
