#pragma once

#include "core/time.h"
#include "modules/peers/news_spread.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

/** What an upstream last said about the requests that it takes from all nodes together. */
struct LimitNotice
{
    /** Result of rendezvousMemberHash() for the upstream's id. */
    std::uint64_t upstream = 0;
    /** Nothing when it names no limit any more. */
    std::optional<double> requestsPerSecond;
    /** When it said so. */
    TimePoint saidAt{};
};

/** The limits that upstreams name, from the answers of all nodes; the newest statement counts. */
class NamedLimits
{
public:
    /**
     * Records what an answer says.
     *
     * @return true when the limit has changed.
     */
    bool onAnswer(std::uint64_t upstream, std::optional<double> requestsPerSecond, TimePoint now);

    /** Records what a peer reports. @return true when the limit has changed. */
    bool onPeer(const LimitNotice &notice, NewsOrigin origin);

    /** @return the limit of @p upstream in requests per second, or nothing. */
    std::optional<double> limitOf(std::uint64_t upstream) const;

    /** @return the upstreams whose limit may still have to be applied. */
    std::vector<LimitNotice> all() const;

    /** @return the notices for the next report of this node. */
    std::vector<LimitNotice> takeForReport();
    /** @return the notices for the next summary of this failure domain. */
    std::vector<LimitNotice> takeForSummary();

    /** @return true when a report has to be sent soon. */
    bool hasNews() const;

    /** Drops and returns upstreams that nothing was heard of for long, as they may have ended. */
    std::vector<std::uint64_t> expire(TimePoint now);

private:
    struct Entry
    {
        std::optional<double> requestsPerSecond;
        TimePoint saidAt{};
        /** When this node or a peer last told the others. */
        TimePoint toldAt{};
        NewsSpread spread;
    };

    std::unordered_map<std::uint64_t, Entry> m_entries;
};

} // namespace hawthornslip
