#pragma once

#include "core/interfaces/object_store.h"
#include "core/interfaces/provider_api.h"
#include "modules/duties/duty_terms.h"
#include "modules/usage/usage_counts.h"
#include "modules/usage/usage_journal.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornslip {

/** Requests a read of the journal; the result goes to UsageReporter::onRead(). */
struct ReadJournal
{
    std::uint64_t operation = 0;
};

/** Requests a conditional write of the journal; the result goes to UsageReporter::onWritten(). */
struct WriteJournal
{
    std::uint64_t operation = 0;
    std::string value;
    std::uint64_t expectedVersion = 0;
};

/** Requests a report; the result goes to UsageReporter::onReported(). */
struct SendUsage
{
    UsageReport report;
    std::uint64_t generation = 0;
};

/** Tells that no report of @p window was accepted and none will be sent any more. */
struct UsageGivenUp
{
    std::uint64_t window = 0;
};

using UsageAction = std::variant<ReadJournal, WriteJournal, SendUsage, UsageGivenUp>;
using UsageActions = std::vector<UsageAction>;

/** What the reporter decides from. */
struct UsageTick
{
    TimePoint now{};
    /** The window in progress; all windows before it have ended. */
    std::uint64_t openWindow = 0;
    /** The term of this node, if it holds the duty. */
    std::optional<DutyTerm> term;
    /** Windows whose counts may be frozen now. */
    WindowCounts ready;
    /** The window in which this node first saw the era of the store, which had begun by then. */
    std::uint64_t eraWindow = 0;
    /** False while the clock of this node may differ from those of the others. */
    bool isClockSet = true;
};

/**
 * Reports the usage of each window at the holder of the duty, with the same counts by all holders.
 *
 * Counts are frozen by a conditional write of the journal in the store; only counts that the
 * journal holds are sent. A holder that finds counts there sends these. The safety rests on that
 * write alone: two nodes may both believe that they hold the duty. A store that restarts from a
 * copy loses entries; each era has a journal of its own that begins with a later window.
 */
class UsageReporter
{
public:
    explicit UsageReporter(UsageTimes times)
        : m_times(times)
    {}

    /** Turns to the journal of @p era of the store. Results of earlier calls are ignored. */
    void enterEra(std::uint64_t era);

    /** Takes the steps that are due. */
    UsageActions onTick(const UsageTick &tick);

    /** Handles the result of ReadJournal. */
    void onRead(std::uint64_t operation, const StoreResult &result, TimePoint now);

    /** Handles the result of WriteJournal. */
    void onWritten(std::uint64_t operation, const StoreResult &result, TimePoint now);

    /** Handles the result of SendUsage. */
    void onReported(std::uint64_t window, ProviderResult result, TimePoint now);

    /** @return the first window that needs counts; nothing while that is not known. */
    std::optional<std::uint64_t> firstToCollect(std::uint64_t openWindow) const;
    /** @return true when @p window needs counts. */
    bool needsCounts(std::uint64_t window) const;
    /** @return the reports that the provider has not accepted yet. */
    std::size_t pending() const;

private:
    struct Attempt
    {
        bool isRunning = false;
        Duration delay{0};
        TimePoint notBefore{};
    };

    void readOrWrite(const UsageTick &tick, UsageActions &actions);
    void prune(std::uint64_t openWindow, UsageActions &actions);
    void send(const UsageTick &tick, UsageActions &actions);

    UsageTimes m_times;
    std::uint64_t m_era = 0;
    std::uint64_t m_generation = 0;
    /** The journal as the store holds it, as far as known. */
    UsageJournal m_journal;
    std::uint64_t m_version = 0;
    bool m_isLoaded = false;
    /** This era has had no journal. */
    bool m_isFirstOfEra = false;
    /** The journal with the changes that are being written. */
    UsageJournal m_written;
    std::uint64_t m_lastOperation = 0;
    /** The call to the store that runs; 0 without one. */
    std::uint64_t m_operation = 0;
    TimePoint m_storeNotBefore{};
    std::map<std::uint64_t, Attempt> m_attempts;
};

} // namespace hawthornslip
