#include "servers/duties/usage_service.h"

#include "core/logger.h"
#include "core/metric_names.h"
#include "modules/duties/contenders.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace hawthornslip {

namespace {

constexpr Duration kTickInterval = milliseconds(200);
constexpr Duration kAskInterval = seconds(1);
// For nodes whose final counts of a window are missing.
constexpr Duration kAskAgainInterval = milliseconds(300);
// Answers that begin as a window ends are counted within this time at all nodes.
constexpr Duration kSettleTime = milliseconds(100);
// Longest wait for the final counts of a window; a node may have ended without notice.
constexpr Duration kLongestWait = seconds(2);
// A holder asks each second; after this time without a question there is none.
// Time in which the other nodes answer with their clocks.
constexpr Duration kClockWait = milliseconds(500);
constexpr Duration kUnaskedAfter = milliseconds(2500);
// An answer that was longer on its way does not show the other node's clock.
constexpr Duration kMaxClockDelay = milliseconds(200);

std::uint64_t totalOf(const WorkspaceCounts &counts)
{
    std::uint64_t total = 0;
    for (const auto &[workspace, n] : counts)
        total += n;
    return total;
}

} // namespace

UsageService::UsageService(UsageServiceParts parts, UsageTimes times, NodeId self)
    : m_parts(parts)
    , m_times(times)
    , m_self(std::move(self))
    , m_clock(times.window, parts.loop.wallNow(), parts.loop.now())
    , m_startedAt(parts.loop.now())
    , m_counter(times)
    , m_backup(parts.loop, parts.store, m_collector, [this](std::uint64_t era) { enterEra(era); })
    , m_reporter(times)
    , m_eraSeenAt(parts.loop.now())
{
    m_parts.peers.setUsage(this);
}

UsageService::~UsageService()
{
    m_parts.peers.setUsage(nullptr);
}

void UsageService::start()
{
    tick();
}

void UsageService::enterEra(std::uint64_t era)
{
    if (era <= m_era)
        return;
    m_era = era;
    m_eraSeenAt = m_parts.loop.now();
    m_reporter.enterEra(era);
    m_backup.enterEra(era);
}

void UsageService::onRequestBegun(const std::string &workspace)
{
    m_counter.onBegun(workspace, m_clock.windowAt(m_parts.loop.now()));
}

void UsageService::tick()
{
    const TimePoint now = m_parts.loop.now();
    m_collector.forgetBefore(m_times.oldestKept(m_clock.windowAt(now)));
    if (const auto term = m_parts.duties.current(now))
        collectAndReport(*term);
    else
        m_termSince = m_collectingSince = TimePoint{};
    backUpCounts();
    m_parts.loop.after(kTickInterval, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            tick();
    });
}

void UsageService::collectAndReport(const DutyTerm &term)
{
    const TimePoint now = m_parts.loop.now();
    if (std::exchange(m_generation, term.generation) != term.generation)
        m_backup.reset();
    m_clock.onNodeClock(m_self, m_parts.loop.wallNow(), now);
    m_clock.setToMedian(now);
    const std::uint64_t open = m_clock.windowAt(now);
    std::erase_if(m_frozen, [oldest = m_times.oldestKept(open)](const auto &it) {
        return it.first < oldest;
    });
    if (m_termSince == TimePoint{})
        m_termSince = now;
    UsageTick tick{now, open, term, {}};
    tick.eraWindow = m_clock.windowAt(m_eraSeenAt);
    tick.isClockSet = now - m_termSince >= kClockWait;
    const std::vector<NodeId> nodes = livePeers();
    const auto first = m_reporter.firstToCollect(open);
    if (first) {
        if (m_collectingSince == TimePoint{})
            m_collectingSince = now;
        m_collector.onCounts(m_self, m_parts.peers.boot(), m_counter.countsFrom(*first));
        m_collector.onFinal(m_self, m_clock.windowAt(m_startedAt), open);
        m_backup.update(*first);
        tick.ready = readyWindows(nodes, *first, open);
    }
    ask(nodes, first, open);
    for (const auto &it : m_reporter.onTick(tick))
        std::visit([this](const auto &action) { perform(action); }, it);
    m_parts.metrics.gauge(metric::kUsagePending, {}, static_cast<double>(m_reporter.pending()));
}

std::vector<NodeId> UsageService::livePeers() const
{
    std::vector<NodeId> nodes;
    for (const auto &it : m_parts.peers.livePeers())
        nodes.emplace_back(it);
    return nodes;
}

void UsageService::backUpCounts()
{
    const TimePoint now = m_parts.loop.now();
    if (now - m_questionAt < kUnaskedAfter || now - m_backedUpAt < kAskInterval)
        return;
    m_backedUpAt = now;
    // Windows that are not due any more have most likely been reported.
    const std::uint64_t open = m_clock.windowAt(now);
    const auto windows = static_cast<std::uint64_t>(m_times.due / m_times.window) + 1;
    const UsageAnswer answer = makeAnswer(0, open > windows ? open - windows : 0);
    if (answer.counts.empty())
        return;
    const auto messages = encodeUsageAnswer(answer);
    for (const auto &node : dutyContenders(m_self, livePeers())) {
        if (node == m_self)
            continue;
        for (const auto &it : messages)
            m_parts.peers.sendUsage(node, it);
    }
}

void UsageService::ask(const std::vector<NodeId> &nodes, std::optional<std::uint64_t> first,
                       std::uint64_t open)
{
    const TimePoint now = m_parts.loop.now();
    std::erase_if(m_asked, [&](const auto &it) {
        return std::find(nodes.begin(), nodes.end(), it.first) == nodes.end();
    });
    for (const auto &node : nodes) {
        const std::uint64_t nodeFirst = first ? m_collector.firstOpen(node, *first) : open;
        Asked &asked = m_asked[node];
        const Duration interval = nodeFirst < open ? kAskAgainInterval : kAskInterval;
        if (asked.sequence != 0 && now - asked.at < interval)
            continue;
        asked = {++m_sequence, now, first.has_value(), {}};
        m_parts.peers.sendUsage(node, encodeUsageQuestion({m_sequence, nodeFirst, m_times.window,
                                                           m_clock.timeAt(now)}));
    }
}

WindowCounts UsageService::readyWindows(const std::vector<NodeId> &nodes, std::uint64_t first,
                                        std::uint64_t open)
{
    const TimePoint now = m_parts.loop.now();
    WindowCounts ready;
    for (std::uint64_t window = first; window < open; ++window) {
        const Duration waited = now - std::max(m_clock.endOf(window), m_collectingSince);
        if (!m_reporter.needsCounts(window) || waited < kSettleTime)
            continue;
        WindowUsage usage = m_collector.sum(window, nodes);
        const bool mayRise = usage.missing > 0 || !m_backup.isLoaded();
        if (!usage.isKnown || (mayRise && waited < kLongestWait))
            continue;
        m_frozen[window] = {usage.parts, usage.missing};
        ready[window] = std::move(usage.counts);
    }
    return ready;
}

void UsageService::onPeerUsage(const NodeId &node, std::uint64_t boot, const std::string &bytes)
{
    if (const auto message = decodeUsage(bytes))
        std::visit([&](const auto &it) { handle(node, boot, it); }, *message);
}

void UsageService::handle(const NodeId &node, std::uint64_t, const UsageQuestion &question)
{
    if (question.window != m_times.window)
        return;
    const TimePoint now = m_parts.loop.now();
    m_questionAt = now;
    m_clock.onHolderTime(question.time, now);
    for (const auto &it : encodeUsageAnswer(makeAnswer(question.sequence, question.firstWindow)))
        m_parts.peers.sendUsage(node, it);
}

UsageAnswer UsageService::makeAnswer(std::uint64_t sequence, std::uint64_t first) const
{
    UsageAnswer answer;
    answer.sequence = sequence;
    answer.since = m_clock.windowAt(m_startedAt);
    answer.openWindow = m_clock.windowAt(m_parts.loop.now());
    answer.clock = m_parts.loop.wallNow();
    answer.counts = m_counter.countsFrom(first);
    return answer;
}

void UsageService::handle(const NodeId &node, std::uint64_t boot, const UsageAnswer &answer)
{
    const TimePoint now = m_parts.loop.now();
    m_collector.onCounts(node, boot, answer.counts);
    const auto it = m_asked.find(node);
    if (it == m_asked.end() || it->second.sequence != answer.sequence)
        return;
    if (now - it->second.at <= kMaxClockDelay)
        m_clock.onNodeClock(node, answer.clock, now);
    it->second.answeredParts.insert(answer.part);
    if (it->second.isForCounts && it->second.answeredParts.size() == answer.parts)
        m_collector.onFinal(node, answer.since, answer.openWindow);
}

void UsageService::perform(const ReadJournal &action)
{
    m_parts.store.get(journalKey(), [this, alive = std::weak_ptr(m_alive), era = m_era,
                                     operation = action.operation](const StoreResult &result) {
        if (!alive.expired() && isOfEra(result, era))
            m_reporter.onRead(operation, result, m_parts.loop.now());
    });
}

void UsageService::perform(const WriteJournal &action)
{
    m_parts.store.put(journalKey(), action.value, action.expectedVersion,
                      [this, alive = std::weak_ptr(m_alive), era = m_era,
                       operation = action.operation](const StoreResult &result) {
                          if (!alive.expired() && isOfEra(result, era))
                              m_reporter.onWritten(operation, result, m_parts.loop.now());
                      });
}

void UsageService::perform(const SendUsage &action)
{
    m_parts.provider.reportUsage(action.report, action.generation,
                                 [this, alive = std::weak_ptr(m_alive), report = action.report,
                                  generation = action.generation](ProviderResult result) {
                                     if (!alive.expired())
                                         onReported(report, generation, result);
                                 });
}

void UsageService::perform(const UsageGivenUp &action)
{
    logEvent(LogLevel::Error, "usage_given_up", {{"window", action.window}});
    m_parts.metrics.count(metric::kUsageReports, {{"result", "given_up"}});
}

bool UsageService::isOfEra(const StoreResult &result, std::uint64_t era)
{
    if (result.era && *result.era != era) {
        enterEra(*result.era);
        return false;
    }
    return era == m_era;
}

void UsageService::onReported(const UsageReport &report, std::uint64_t generation,
                              ProviderResult result)
{
    const TimePoint now = m_parts.loop.now();
    m_reporter.onReported(report.window, result, now);
    m_parts.metrics.count(metric::kUsageReports,
                          {{"result", nameOf(kProviderResultNames, result)}});
    const auto frozen = m_frozen.find(report.window);
    // A report that this node has found in the journal.
    const bool isRepeated = frozen == m_frozen.end();
    logEvent(result == ProviderResult::Accepted ? LogLevel::Info : LogLevel::Warning,
             "usage_reported",
             {{"window", report.window},
              {"result", nameOf(kProviderResultNames, result)},
              {"requests", totalOf(report.counts)},
              {"parts", isRepeated ? 0 : frozen->second.parts},
              {"missing", isRepeated ? 0 : frozen->second.missing},
              {"repeated", isRepeated},
              {"generation", generation},
              {"age_ms", toMillis(now - m_clock.endOf(report.window))}});
    if (result == ProviderResult::Conflict)
        m_parts.duties.onSuperseded(generation, now);
}

std::string UsageService::journalKey() const
{
    return fmt::format("router-usage/journal-{}", m_era);
}

} // namespace hawthornslip
