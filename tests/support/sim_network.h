#pragma once

#include "core/interfaces/peer_transport.h"
#include "tests/support/sim_events.h"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace hawthornslip::test {

/** What is wrong with messages; the probabilities are per message. */
struct NetworkFaults
{
    double lose = 0;
    double duplicate = 0;
    /** Share of messages that arrive up to @c longestDelay later, and so out of order. */
    double delay = 0;
    Duration longestDelay = milliseconds(500);
};

/** Messages between the nodes of a run in virtual time. */
class SimNetwork
{
public:
    SimNetwork(SimEvents &events, std::uint64_t seed)
        : m_events(events)
        , m_random(seed)
    {}

    NetworkFaults faults;
    /** Pairs (from, to) whose messages are lost. */
    std::set<std::pair<NodeId, NodeId>> cut;

    /** Sets who gets the messages to @p node. */
    void attach(const NodeId &node, PeerTransport::Receiver receiver)
    {
        m_receivers[node] = std::move(receiver);
    }

    /** Messages to @p node are dropped from now on, those on their way as well. */
    void detach(const NodeId &node) { m_receivers.erase(node); }

    void send(const NodeId &from, const NodeId &to, const std::string &bytes)
    {
        if (cut.contains({from, to}) || chance(faults.lose))
            return;
        deliver(to, bytes);
        if (chance(faults.duplicate))
            deliver(to, bytes);
    }

private:
    static constexpr Duration kLatency = std::chrono::microseconds(300);

    bool chance(double share)
    {
        return share > 0 && std::uniform_real_distribution<>(0, 1)(m_random) < share;
    }

    void deliver(const NodeId &to, const std::string &bytes)
    {
        Duration delay = kLatency;
        if (chance(faults.delay))
            delay += Duration(std::uniform_int_distribution<std::int64_t>(
                    0, faults.longestDelay.count())(m_random));
        m_events.after(delay, [this, to, bytes] {
            const auto it = m_receivers.find(to);
            if (it != m_receivers.end())
                it->second(bytes);
        });
    }

    SimEvents &m_events;
    std::mt19937_64 m_random;
    std::map<NodeId, PeerTransport::Receiver> m_receivers;
};

/** One node's transport. */
class SimTransport : public PeerTransport
{
public:
    SimTransport(SimNetwork &network, NodeId self)
        : m_network(network)
        , m_self(std::move(self))
    {}

    ~SimTransport() override { m_network.detach(m_self); }

    SimTransport(const SimTransport &) = delete;
    SimTransport &operator=(const SimTransport &) = delete;

    void setReceiver(Receiver receiver) override { m_network.attach(m_self, std::move(receiver)); }
    void send(const NodeId &to, std::string bytes) override { m_network.send(m_self, to, bytes); }
    void disconnect(const NodeId & /*node*/) override {}

private:
    SimNetwork &m_network;
    NodeId m_self;
};

} // namespace hawthornslip::test
