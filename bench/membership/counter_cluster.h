#pragma once

#include "bench/membership/cluster_under_test.h"
#include "tests/support/manual_clock.h"

#include <cstdint>
#include <memory>
#include <random>
#include <utility>
#include <vector>

namespace hawthornslip::bench {

/** How nodes spread their heartbeat counters and judge those of others. */
struct CounterScheme
{
    /** Sends the own counter to all nodes; otherwise digests to a few random ones. */
    bool toAll = false;
    std::size_t gossipPeers = 3;
    Duration interval = seconds(1);
    /** Silence that makes a node dead; zero uses phi. */
    Duration silenceLimit{0};
    /** A node is dead when its silence divided by its mean interval is above this. */
    double phiThreshold = 8;
    /** Bytes of a node's name in a message: an address, or a short number. */
    std::size_t nameBytes = 15;
};

/**
 * Nodes that raise a counter each second. Either each sends it to all (full heartbeats), or the
 * counters spread by scuttlebutt reconciliation: a digest of all counters to a few random peers,
 * the answer with what is newer there and the digest of what is newer here, and what was asked
 * for. Silence is judged by a fixed limit or by phi accrual.
 */
class CounterCluster : public ClusterUnderTest
{
public:
    CounterCluster(std::size_t n, std::uint64_t seed, CounterScheme scheme);

    void setFaults(const test::LinkFaults &faults) override { m_network.faults = faults; }
    void start(std::size_t i) override;
    void crash(std::size_t i) override { m_nodes[i].running = false; }
    void pause(std::size_t i, Duration span) override;
    void step() override;
    bool running(std::size_t i) const override { return m_nodes[i].running; }
    bool sees(std::size_t viewer, std::size_t i) const override
    {
        return viewer == i || m_nodes[viewer].views[i].live;
    }
    int changes(std::size_t i) const override { return m_nodes[i].changes; }

private:
    struct Entry
    {
        std::uint32_t node = 0;
        std::uint64_t counter = 0;
    };

    struct Message
    {
        enum class Kind { Heartbeat, Digest, Answer, Delta };
        Kind kind = Kind::Heartbeat;
        std::shared_ptr<const std::vector<Entry>> updates;
        std::shared_ptr<const std::vector<Entry>> wanted;
    };

    /** What one node knows of another. */
    struct View
    {
        std::uint64_t counter = 0;
        TimePoint heard;
        double intervalSum = 0;
        std::uint32_t intervals = 0;
        bool live = false;
    };

    struct Node
    {
        bool running = false;
        TimePoint pausedUntil;
        TimePoint nextBeat;
        std::uint64_t counter = 0;
        std::vector<View> views;
        std::vector<std::pair<std::size_t, Message>> backlog;
        int changes = 0;
    };

    void beat(std::size_t i);
    void judge(std::size_t i);
    void receive(std::size_t from, std::size_t to, const Message &message);
    void handle(std::size_t from, std::size_t to, const Message &message);
    void learn(std::size_t at, const Entry &entry);
    bool silentTooLong(const View &view) const;
    void send(std::size_t from, std::size_t to, Message message);

    CounterScheme m_scheme;
    test::ManualClock m_clock;
    test::FakeNetwork<Message> m_network;
    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
};

} // namespace hawthornslip::bench
