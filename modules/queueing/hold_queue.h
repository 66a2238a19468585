#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <vector>

namespace hawthornslip {

/** The rank of a held request; smaller ranks go first. */
struct HoldRank
{
    /** Compared before routePriority. */
    int workspacePriority = 0;
    int routePriority = 0;
    /** True when the objective can no longer be met; such requests go last. */
    bool isLate = false;
    /** Time at which its objective expires. */
    TimePoint dueBy{};
    /** Result of workspaceKey(); 0 when requests are not divided between workspaces. */
    std::uint32_t workspace = 0;

    /**
     * @param isAboveShare true for a request of a workspace above its share, which goes after the
     *        others of its priority.
     * @return the tuple by which ranks are compared.
     */
    auto key(bool isAboveShare) const
    {
        return std::tuple(isLate, workspacePriority, routePriority, isAboveShare, dueBy);
    }
};

/**
 * Holds the requests of one service that no upstream has room for, ordered by urgency.
 *
 * Handles bursts that exceed the prefill rate of the engines: inside an engine a request can
 * neither be overtaken nor refused, so only requests whose prefill starts soon are sent there.
 */
class HoldQueue
{
public:
    using Ticket = std::uint64_t;

    /** Result of trying to send a held request. */
    enum class SendResult {
        /** It was sent or ended; it leaves the queue. */
        Done,
        /** It found no room and stays in the queue. */
        Held
    };

    /** @return true when the workspace is above its share; asked anew at each use. */
    using IsAboveShare = std::function<bool(std::uint32_t workspace)>;

    /** @param isAboveShare empty when requests are not divided between workspaces. */
    explicit HoldQueue(IsAboveShare isAboveShare = {});

    /** Adds a request. @param trySend tries to send it. */
    Ticket add(const HoldRank &rank, std::function<SendResult()> trySend);

    /** Removes a request, e.g. when its caller left; an unknown ticket is ignored. */
    void remove(Ticket ticket);

    /**
     * Tries to send the held requests, the most urgent first.
     *
     * @param maxHeld stops after this many requests that found no room.
     */
    void trySendAll(std::size_t maxHeld);

    /**
     * @return true when a request of @p rank, whose workspace is above its share, goes after a held
     *         one of a workspace that is not.
     */
    bool mustYield(const HoldRank &rank) const;

    /** @return the number of held requests. */
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        HoldRank rank;
        std::function<SendResult()> trySend;
    };

    bool isAboveShare(const HoldRank &rank) const;
    /** @return the tickets of all held requests, the most urgent first. */
    std::vector<Ticket> order() const;

    IsAboveShare m_isAboveShare;
    std::map<Ticket, Entry> m_entries;
    Ticket m_lastTicket = 0;
};

} // namespace hawthornslip
