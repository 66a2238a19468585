#pragma once

#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornslip {

/**
 * The other nodes listed in the platform's store, with the time at which each was last heard.
 * Entries in the store do not expire, so permanently lost nodes have to be removed.
 */
class PeerList
{
public:
    /** @param self this node's own address, which is left out of the list. */
    explicit PeerList(std::string self);

    /** Replaces the list; peers that stay keep the time at which they were last heard. */
    void replaceAll(const std::vector<std::string> &addresses, TimePoint now);
    void add(const std::string &address, TimePoint now);
    void remove(const std::string &address);

    /** Records that a message of @p address arrived; ignored for peers that are not listed. */
    void onHeard(const std::string &address, TimePoint now);

    /**
     * @return peers that were silent for so long that they count as lost, and that this node has to
     *         remove from the store's list. Rendezvous hashing over the reachable nodes assigns
     *         each one to a single node. A node is assumed to be isolated and removes none when it
     *         and the peers that it hears number at most half of its listed peers.
     */
    std::vector<std::string> peersToRemove(TimePoint now) const;

    /** @return the peers that were heard recently, or listed just now. */
    std::vector<std::string> reachable(TimePoint now) const;

    const std::map<std::string, TimePoint> &lastHeard() const { return m_lastHeard; }
    std::size_t size() const { return m_lastHeard.size(); }

private:
    std::string m_self;
    /** By address: when the peer was last heard, or first listed if never heard. */
    std::map<std::string, TimePoint> m_lastHeard;
};

} // namespace hawthornslip
