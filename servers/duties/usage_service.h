#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/object_store.h"
#include "core/interfaces/provider_api.h"
#include "core/interfaces/usage_sink.h"
#include "modules/duties/duty_terms.h"
#include "modules/usage/usage_collector.h"
#include "modules/usage/usage_counter.h"
#include "modules/usage/usage_reporter.h"
#include "modules/usage/window_clock.h"
#include "servers/duties/usage_backup.h"
#include "servers/duties/usage_codec.h"
#include "servers/peers/peer_usage.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornslip {

/** Dependencies of the usage reports; all must outlive them. */
struct UsageServiceParts
{
    EventLoop &loop;
    ObjectStore &store;
    ProviderApi &provider;
    DutyTerms &duties;
    UsageTransport &peers;
    Metrics &metrics;
};

/**
 * Counts the requests that run, answers the holder of the duty with the counts, and as the holder
 * collects the counts of all nodes and reports them to the provider.
 */
class UsageService : public UsageSink, public PeerUsage
{
public:
    /** @param self peer address of this node. */
    UsageService(UsageServiceParts parts, UsageTimes times, NodeId self);
    ~UsageService() override;

    void start();
    /** Handles an era of the store that another call has seen; earlier ones are ignored. */
    void enterEra(std::uint64_t era);

    void onRequestBegun(const std::string &workspace) override;
    void onPeerUsage(const NodeId &node, std::uint64_t boot, const std::string &bytes) override;

private:
    /** The last question to a node. */
    struct Asked
    {
        std::uint64_t sequence = 0;
        TimePoint at{};
        /** The answer has the counts of all windows that are needed. */
        bool isForCounts = false;
        std::set<std::uint32_t> answeredParts;
    };

    /** What a report is made of, for the log. */
    struct Frozen
    {
        std::size_t parts = 0;
        std::size_t missing = 0;
    };

    void tick();
    void collectAndReport(const DutyTerm &term);
    /** Sends this node's counts to those that may hold the duty next, unless a holder asks. */
    void backUpCounts();
    std::vector<NodeId> livePeers() const;
    /** Asks the nodes that it is time for. @param first without it, only for their clocks. */
    void ask(const std::vector<NodeId> &nodes, std::optional<std::uint64_t> first,
             std::uint64_t open);
    WindowCounts readyWindows(const std::vector<NodeId> &nodes, std::uint64_t first,
                              std::uint64_t open);
    void handle(const NodeId &node, std::uint64_t boot, const UsageQuestion &question);
    void handle(const NodeId &node, std::uint64_t boot, const UsageAnswer &answer);
    /** @return the counts from the window @p first on. @param sequence of the question, or 0. */
    UsageAnswer makeAnswer(std::uint64_t sequence, std::uint64_t first) const;

    void perform(const ReadJournal &action);
    void perform(const WriteJournal &action);
    void perform(const SendUsage &action);
    void perform(const UsageGivenUp &action);
    /** @return false when a call has reached another era than the one it was meant for. */
    bool isOfEra(const StoreResult &result, std::uint64_t era);
    void onReported(const UsageReport &report, std::uint64_t generation, ProviderResult result);
    std::string journalKey() const;

    UsageServiceParts m_parts;
    UsageTimes m_times;
    NodeId m_self;
    WindowClock m_clock;
    TimePoint m_startedAt;
    UsageCounter m_counter;
    UsageCollector m_collector;
    UsageBackup m_backup;
    UsageReporter m_reporter;
    /** Generation of the last term of this node. */
    std::uint64_t m_generation = 0;
    std::uint64_t m_era = 0;
    /** Time at which this node first saw the era. */
    TimePoint m_eraSeenAt;
    std::uint64_t m_sequence = 0;
    std::map<NodeId, Asked> m_asked;
    /** Start of the term of this node; TimePoint{} without one. */
    TimePoint m_termSince{};
    /** Time from which the counts are collected; TimePoint{} while they are not. */
    TimePoint m_collectingSince{};
    std::map<std::uint64_t, Frozen> m_frozen;
    /** Time of the last question of a holder to this node. */
    TimePoint m_questionAt{};
    TimePoint m_backedUpAt{};
    /** Expires with this object, so that later results are dropped. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hawthornslip
