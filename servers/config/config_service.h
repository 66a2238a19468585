#pragma once

#include "core/interfaces/clock.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/object_store.h"
#include "modules/config/config_adopter.h"
#include "servers/config/config_snapshot.h"
#include "servers/config/config_source.h"
#include "servers/config/config_writer.h"
#include "servers/config/node_status_collector.h"
#include "servers/membership/membership_source.h"
#include "servers/peer/control_loop.h"
#include "servers/peer/peer_bus.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip {

/** Timeouts and limits of ConfigService. */
struct ConfigServiceOptions
{
    /** Timeout of one watch call to the store. */
    Duration watchTimeout = seconds(30);
    /** Initial backoff after a failed store call; doubles up to @c maxRetryDelay. */
    Duration retryDelay = milliseconds(250);
    Duration maxRetryDelay = seconds(5);
    /** Documents up to this size are pushed to all nodes; nodes pull larger ones. */
    std::size_t maxPushBytes = 16 << 10;
    /** Number of nodes that each node notifies of a larger document. */
    std::size_t fanOut = 4;
    std::size_t historyLength = 50;
};

/** A document that is or was in force on this node. */
struct ConfigHistoryEntry
{
    std::uint64_t generation = 0;
    std::string author;
    UnixMillis adopted = 0;
    std::string document;
};

/**
 * Keeps this node's copy of the shared configuration current: watches it in the object store,
 * exchanges it with the other nodes, and writes the changes of operators.
 */
class ConfigService : public ConfigSource
{
public:
    using Listener = std::function<void(const std::shared_ptr<const SharedConfig> &)>;

    /**
     * Registers with @p bus. All references must outlive this object, and @p loop must be stopped
     * before it is destroyed.
     *
     * @param seed seed of the random engine; must differ on each start of the process.
     */
    ConfigService(ControlLoop &loop, PeerBus &bus, MembershipSource &membership, ObjectStore &store,
                  Metrics &metrics, const Clock &clock, std::uint64_t seed,
                  ConfigServiceOptions options = {});

    /** Starts reading and watching the store; may be called from any thread. */
    void start();

    std::shared_ptr<const SharedConfig> current() const override { return m_snapshot.get(); }

    /** Adds a listener that is called on the loop's thread with each configuration adopted. */
    void subscribe(Listener listener);

    /** Sets the function that reports this node's status; it is called on the loop's thread. */
    void setStatusProvider(std::function<NodeFacts()> provider);

    /**
     * Submits @p document as the next configuration; may be called from any thread.
     *
     * @param done called once on the loop's thread, within about 10 s.
     */
    void apply(const std::string &document, std::function<void(const ApplyResultInfo &)> done);

    /**
     * Queries all live nodes until all have @p generation in force; may be called from any thread.
     *
     * @param wait time limit; a limit below 1 s counts as 1 s.
     * @param done called once on the loop's thread with the status of each live node.
     */
    void nodesInForce(std::uint64_t generation, Duration wait,
                      std::function<void(const NodesInForce &)> done);

    /** @return the recently adopted documents, newest first. Control thread only. */
    std::vector<ConfigHistoryEntry> history() const;

    /** @return true once the store answered, even without a document. Control thread only. */
    bool storeAnswered() const { return m_storeAnswered; }

    /** @return true once the store returned a document. Control thread only. */
    bool storeHasDocument() const { return m_storeVersion > 0; }

    /** @return the generation in force. Control thread only. */
    std::uint64_t generation() const { return m_adopter.generation(); }

private:
    void registerHandlers();
    void readStore();
    void watchStore();
    void onStoreResult(const StoreResult &result);
    void retryStore();
    void handleEvent(const config::Event &event);
    void perform(const config::Action &action);
    void adopt(const config::Adopt &action);
    void propagate(bool acceptedHere);
    void push(const NodeId &node, bool withDocument);
    void startApply(const std::string &document, std::function<void(const ApplyResultInfo &)> done);

    ControlLoop &m_loop;
    PeerBus &m_bus;
    MembershipSource &m_membership;
    ObjectStore &m_store;
    Metrics &m_metrics;
    const Clock &m_clock;
    ConfigServiceOptions m_options;
    std::mt19937_64 m_random;
    ConfigAdopter m_adopter;
    ConfigSnapshot m_snapshot;
    NodeStatusCollector m_statusCollector;
    std::string m_document;
    std::vector<Listener> m_listeners;
    std::deque<ConfigHistoryEntry> m_history;
    bool m_storeAnswered = false;
    std::uint64_t m_storeVersion = 0;
    Duration m_retryDelay;
    TimePoint m_lastWatch;
};

} // namespace hawthornslip
