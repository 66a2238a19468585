#pragma once

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <tuple>

namespace hawthornslip {

/** The rank of a held request: smaller ones go first. */
struct HoldRank
{
    /** Of the workspace; goes before that of the route. */
    int workspacePriority = 0;
    int routePriority = 0;
    /** One that cannot be in time any more goes after those that can. */
    bool isLate = false;
    /** When its objective ends. */
    TimePoint dueBy{};

    /** Compares by urgency. */
    auto key() const { return std::tuple(isLate, workspacePriority, routePriority, dueBy); }
};

/**
 * Holds the requests of one service that found no upstream with room, by urgency.
 *
 * Answers the burst that brings more prompts than the engines read: inside an engine a request
 * cannot be overtaken nor told to come back, so that only those that are read soon are sent there.
 */
class HoldQueue
{
public:
    using Ticket = std::uint64_t;

    /** What became of a request that was offered a place. */
    enum class SendResult {
        /** It was sent or ended; it leaves the queue. */
        Done,
        /** It found no room. */
        Held
    };

    /** Adds a request. @param offer tries to send it. */
    Ticket add(const HoldRank &rank, std::function<SendResult()> trySend);

    /** Takes a request out, as when its caller left; an unknown ticket is ignored. */
    void remove(Ticket ticket);

    /**
     * Offers each request a place, the most urgent first.
     *
     * @param maxHeld ends after this many that found no room.
     */
    void trySendAll(std::size_t maxHeld);

    /** @return requests that are held. */
    std::size_t size() const { return m_entries.size(); }

private:
    using Key = std::pair<decltype(HoldRank{}.key()), Ticket>;

    std::map<Key, std::function<SendResult()>> m_entries;
    std::map<Ticket, Key> m_keys;
    Ticket m_lastTicket = 0;
};

} // namespace hawthornslip
