#pragma once

#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace hawthornslip {

/**
 * The other nodes that the platform's store lists, with the last sign of each. Entries in the store
 * do not lapse by themselves, so nodes that are gone for good have to be taken out.
 */
class PeerList
{
public:
    /** @param self this node's own address, which the list leaves out. */
    explicit PeerList(std::string self);

    /** Takes the whole list; what is known of those that stay is kept. */
    void replaceAll(const std::vector<std::string> &addresses, TimePoint now);
    void add(const std::string &address, TimePoint now);
    void remove(const std::string &address);

    /** Notes that a listed peer was heard. */
    void onHeard(const std::string &address, TimePoint now);

    /**
     * @return peers that were silent for so long that they are gone for good, and that this node
     *         is to take out of the store's list. Each one falls to a single node. A node that
     *         hears less than half of the others is itself cut off and takes none out.
     */
    std::vector<std::string> toForget(TimePoint now) const;

    const std::map<std::string, TimePoint> &signs() const { return m_signs; }
    std::size_t size() const { return m_signs.size(); }

private:
    std::string m_self;
    /** By address, when a peer was last heard or listed first. */
    std::map<std::string, TimePoint> m_signs;
};

} // namespace hawthornslip
