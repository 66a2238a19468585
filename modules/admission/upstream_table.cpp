#include "modules/admission/upstream_table.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

namespace {

// A report older than this says nothing about the current load from others.
constexpr Duration kMaxReportAge = seconds(5);
// Tolerance for the requests that were in transit when a report was made.
constexpr std::uint32_t kReportNoise = 2;
constexpr double kReportNoiseShare = 0.1;
// Below this capacity share the table serves a node that admits locally, without the owner: it
// may use one slot of the group even when its share of each upstream is less than one slot.
constexpr double kLocalAdmissionShare = 0.5;

double ratioOf(Duration time, Duration target)
{
    return target.count() > 0
                   ? static_cast<double>(time.count()) / static_cast<double>(target.count())
                   : 0;
}

} // namespace

UpstreamTable::UpstreamTable(const SchedulerOptions &options)
    : m_adaptive(options.adaptiveConcurrency)
    , m_ejection(options.ejection)
    , m_selector(options.prefixAffinity)
    // Nodes that admit locally must not all start with the same upstream.
    , m_minimumSlotUpstream(std::hash<std::string>{}(options.grantPrefix))
{}

std::optional<std::size_t> UpstreamTable::find(const UpstreamId &id) const
{
    const auto it = m_indices.find(id);
    return it == m_indices.end() ? std::nullopt : std::optional(it->second);
}

std::size_t UpstreamTable::assignEntry(const UpstreamId &id)
{
    if (const auto known = find(id))
        return *known;
    std::size_t i = 0;
    while (i < m_entries.size() && (m_entries[i].accepts || m_entries[i].inFlight > 0))
        ++i;
    if (i == m_entries.size()) {
        m_entries.emplace_back();
        m_health.resize(m_entries.size());
    } else {
        m_indices.erase(m_entries[i].id);
    }
    m_entries[i] = Entry{};
    m_entries[i].id = id;
    m_health.reset(i);
    m_indices[id] = i;
    return i;
}

void UpstreamTable::setUpstreams(const std::vector<UpstreamInfo> &upstreams, TimePoint now)
{
    for (auto &it : m_entries)
        it.accepts = false;
    // Known upstreams first, so that none of their entries is reused for a new one.
    for (const bool known : {true, false}) {
        for (const auto &it : upstreams) {
            if (find(it.id).has_value() != known)
                continue;
            Entry &entry = m_entries[assignEntry(it.id)];
            if (!known || entry.maximum != it.maxConcurrency) {
                entry.maximum = std::max(it.maxConcurrency, 1U);
                if (known)
                    entry.limiter.setMaximum(entry.maximum);
                else
                    entry.limiter = ConcurrencyLimiter(entry.maximum);
            }
            entry.accepts = it.acceptsWork;
        }
    }
    rebuildSelector(now);
}

std::size_t UpstreamTable::findOrAdd(const UpstreamId &id, TimePoint now)
{
    if (const auto known = find(id))
        return *known;
    const std::size_t i = assignEntry(id);
    rebuildSelector(now);
    return i;
}

void UpstreamTable::rebuildSelector(TimePoint now)
{
    std::vector<UpstreamId> ids;
    ids.reserve(m_entries.size());
    for (const auto &it : m_entries)
        ids.push_back(it.id);
    m_selector.setUpstreams(ids);
    m_acceptingCount = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_acceptingCount += m_entries[i].accepts ? 1 : 0;
        updateCapacity(i, now);
    }
}

std::uint32_t UpstreamTable::currentExternalRequests(const Entry &entry, TimePoint now) const
{
    return now - entry.reported < kMaxReportAge ? entry.externalRequests : 0;
}

void UpstreamTable::updateCapacity(std::size_t i, TimePoint now)
{
    const Entry &entry = m_entries[i];
    const double share = m_ejection ? m_health.share(i, now) : 1;
    if (!entry.accepts || share <= 0) {
        m_selector.setLoad(i, 0, entry.inFlight);
        return;
    }
    const double limit = m_adaptive ? entry.limiter.limit() : entry.maximum;
    const double minSlots = m_capacityShare < kLocalAdmissionShare ? 0 : 1;
    const double slots = std::max(minSlots, std::floor(limit * share * m_capacityShare));
    const auto capacity = static_cast<std::uint32_t>(slots);
    const std::uint32_t externalRequests = currentExternalRequests(entry, now);
    m_selector.setLoad(i, capacity > externalRequests ? capacity - externalRequests : 0,
                       entry.inFlight);
}

bool UpstreamTable::usesMinimumSlot() const
{
    return m_capacityShare < kLocalAdmissionShare && m_acceptingCount > 0 && m_totalInFlight == 0 &&
           m_selector.totalSlots() == 0;
}

std::optional<std::size_t> UpstreamTable::pick(std::uint64_t key,
                                               const std::vector<std::size_t> &excluded)
{
    if (!usesMinimumSlot())
        return m_selector.pick(key, excluded);
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        m_minimumSlotUpstream = (m_minimumSlotUpstream + 1) % m_entries.size();
        const bool free = m_entries[m_minimumSlotUpstream].accepts;
        const bool listed = std::find(excluded.begin(), excluded.end(), m_minimumSlotUpstream) !=
                            excluded.end();
        if (free && !listed)
            return m_minimumSlotUpstream;
        if (free)
            best = m_minimumSlotUpstream;
    }
    return best;
}

void UpstreamTable::addReturning(std::vector<std::size_t> &indices, TimePoint now) const
{
    if (!m_ejection || m_returningCount == 0)
        return;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        if (m_health.share(i, now) < 1)
            indices.push_back(i);
    }
}

void UpstreamTable::start(std::size_t i, TimePoint now)
{
    ++m_entries[i].inFlight;
    ++m_totalInFlight;
    updateCapacity(i, now);
}

void UpstreamTable::end(std::size_t i, TimePoint now)
{
    --m_entries[i].inFlight;
    --m_totalInFlight;
    updateCapacity(i, now);
}

void UpstreamTable::observeTokenTime(std::size_t i, Duration tokenTime, Duration target)
{
    const double ratio = ratioOf(tokenTime, target);
    m_entries[i].limiter.observeTokenTime(ratio);
    m_health.observeLatency(i, ratio);
}

void UpstreamTable::observeFirstToken(std::size_t i, Duration firstToken, Duration target)
{
    const double ratio = ratioOf(firstToken, target);
    m_entries[i].limiter.observeFirstToken(ratio);
    m_health.observeLatency(i, ratio);
}

void UpstreamTable::observeSuccess(std::size_t i)
{
    m_health.observeSuccess(i);
}

void UpstreamTable::observeFailure(std::size_t i, bool overload)
{
    m_health.observeFailure(i);
    if (overload)
        m_entries[i].limiter.observeOverload();
}

std::uint32_t UpstreamTable::inFlightAt(const Entry &entry, TimePoint then) const
{
    std::uint32_t found = entry.inFlight;
    TimePoint best = TimePoint::max();
    for (std::size_t k = 0; k < kHistorySize; ++k) {
        if (m_historyTimes[k] >= then && m_historyTimes[k] < best) {
            best = m_historyTimes[k];
            found = entry.history[k];
        }
    }
    return found;
}

void UpstreamTable::observeReport(const LoadReportEvent &event, TimePoint now)
{
    const auto i = find(event.upstream);
    if (!i)
        return;
    Entry &entry = m_entries[*i];
    const TimePoint then = now - event.age;
    if (then < entry.reported)
        return;
    const std::uint32_t own = inFlightAt(entry, then);
    const auto noise = kReportNoise + static_cast<std::uint32_t>(kReportNoiseShare * own);
    const std::uint32_t reported = event.running + event.queued;
    entry.externalRequests = reported > own + noise ? reported - own : 0;
    entry.reported = then;
    entry.limiter.observeQueued(event.queued);
    updateCapacity(*i, now);
}

void UpstreamTable::setShare(double share, TimePoint now)
{
    m_capacityShare = share;
    for (std::size_t i = 0; i < m_entries.size(); ++i)
        updateCapacity(i, now);
}

std::size_t UpstreamTable::tick(TimePoint now)
{
    m_historyTimes[m_historyNext] = now;
    for (auto &it : m_entries) {
        it.history[m_historyNext] = it.inFlight;
        it.limiter.update(it.inFlight + currentExternalRequests(it, now), now);
    }
    m_historyNext = (m_historyNext + 1) % kHistorySize;
    const std::size_t ejected = m_ejection ? m_health.update(m_acceptingCount, now).size() : 0;
    m_returningCount = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i) {
        updateCapacity(i, now);
        m_returningCount += m_health.share(i, now) < 1 ? 1 : 0;
    }
    return ejected;
}

} // namespace hawthornslip
