#pragma once

#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/**
 * Chooses from which node this node reads the shared state.
 *
 * The store bills each call, so only a few nodes of each failure domain, the readers, call it. The
 * others follow them. Each node chooses the readers from the live nodes of its failure domain by
 * rendezvous hashing, without a vote; nodes with different views only cause more calls. A node
 * whose readers do not answer calls the store itself for a while.
 */
class StateReaders
{
public:
    /** Number of nodes in each failure domain that call the store. */
    static constexpr std::size_t kReadersPerDomain = 2;

    /**
     * @param self this node's address.
     * @param minNodes nodes of a failure domain from which on readers save calls; a reader calls
     *        the store more often than a node that only reads for itself.
     */
    explicit StateReaders(std::string self, std::size_t minNodes = kReadersPerDomain + 1);

    /**
     * @param peers addresses of the other live nodes in this node's failure domain.
     * @return the address of the reader to ask, or nothing to call the store.
     */
    std::optional<std::string> choose(std::vector<std::string> peers, TimePoint now);

    /** Records that a reader did not answer. */
    void onSilent(const std::string &reader, TimePoint now);

    /** Records that a reader refused, as it does not read from the store itself at present. */
    void onRefused(const std::string &reader, TimePoint now);

private:
    std::string m_self;
    std::size_t m_minNodes;
    /** Readers that are not asked, with the time until then. */
    std::map<std::string, TimePoint> m_avoidUntil;
};

} // namespace hawthornslip
