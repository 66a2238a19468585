#pragma once

#include "modules/membership/membership_protocol.h"
#include "tests/support/fake_network.h"
#include "tests/support/manual_clock.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornslip::test {

/** Several MembershipProtocol objects on a FakeNetwork with one clock that is advanced by hand. */
class MembershipCluster
{
public:
    /** Sees each message that a node sends, for example to count its bytes. */
    using SendObserver = std::function<void(std::size_t from, const membership::Action &action)>;

    MembershipCluster(std::size_t n, std::uint64_t seed)
        : network(seed,
                  [this](auto from, auto to, const auto &message) { receive(from, to, message); })
        , m_seed(seed)
        , m_nodes(n)
    {
        for (std::size_t i = 0; i < n; ++i)
            m_all.push_back(idOf(i));
    }

    static NodeId idOf(std::size_t i)
    {
        constexpr std::size_t kPerSubnet = 250;
        return NodeId("10.0." + std::to_string(i / kPerSubnet) + "." +
                      std::to_string(i % kPerSubnet) + ":7400");
    }

    /** Starts node @p i, as a new process when it ran before, with @p candidates or all nodes. */
    void start(std::size_t i, std::optional<std::vector<NodeId>> candidates = std::nullopt)
    {
        Node &node = m_nodes[i];
        ++node.starts;
        MemberUpdate self;
        self.node = idOf(i);
        self.incarnation = static_cast<std::uint64_t>(now().time_since_epoch().count());
        self.domain = FailureDomain("domain" + std::to_string(i % 3));
        self.region = "region";
        node.protocol = std::make_unique<MembershipProtocol>(
                self, m_seed * 1000003 + i * 101 + static_cast<std::size_t>(node.starts), now());
        node.pausedUntil = {};
        node.backlog.clear();
        // Ticks of the nodes are spread over the interval.
        node.nextTick = now() + milliseconds(static_cast<std::int64_t>(i * 37 % 100));
        give(i, membership::CandidatesListed{candidates.value_or(m_all)});
    }

    void startAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }

    /** Ends the process of node @p i without a word. */
    void crash(std::size_t i) { m_nodes[i].protocol.reset(); }

    /** Stops the process of node @p i for @p span; what arrives meanwhile waits. */
    void pause(std::size_t i, Duration span) { m_nodes[i].pausedUntil = now() + span; }

    /** Gives node @p i an event and carries out what it returns. */
    void give(std::size_t i, const membership::Event &event)
    {
        if (!m_nodes[i].protocol)
            return;
        for (const auto &it : m_nodes[i].protocol->handle(event, now()))
            carryOut(i, it);
    }

    /** Lets @p span pass; calls @p each after each step of 10 ms when it is given. */
    void run(Duration span, const std::function<void()> &each = {})
    {
        constexpr auto kStep = milliseconds(10);
        for (Duration passed{0}; passed < span; passed += kStep) {
            m_clock.advance(kStep);
            network.deliver(now());
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                step(i);
            if (each)
                each();
        }
    }

    /** Lets time pass until @p condition holds. @return the time it took, or nothing. */
    std::optional<Duration> runUntil(Duration limit, const std::function<bool()> &condition)
    {
        const TimePoint start = now();
        while (now() - start < limit) {
            if (condition())
                return now() - start;
            run(milliseconds(10));
        }
        return condition() ? std::optional(now() - start) : std::nullopt;
    }

    bool running(std::size_t i) const { return m_nodes[i].protocol != nullptr; }
    const MembershipTable &table(std::size_t i) const { return m_nodes[i].protocol->table(); }
    std::size_t size() const { return m_nodes.size(); }
    TimePoint now() const { return m_clock.now(); }
    int changes(std::size_t i) const { return m_nodes[i].changes; }

    /** @return how often any node's set of live nodes has changed. */
    int allChanges() const
    {
        return std::accumulate(m_nodes.begin(), m_nodes.end(), 0,
                               [](int sum, const Node &it) { return sum + it.changes; });
    }

    /** @return true when node @p viewer holds node @p i for live. */
    bool sees(std::size_t viewer, std::size_t i) const { return table(viewer).isLive(idOf(i)); }

    /** @return true when each running node in @p viewers holds exactly @p expected for live. */
    bool agree(const std::vector<std::size_t> &viewers,
               const std::vector<std::size_t> &expected) const
    {
        // Tests ask after each step; the full comparison is made when a checksum has changed.
        AgreeKey key{viewers, expected, {}};
        for (const auto it : viewers)
            key.digests.push_back(table(it).digest());
        if (m_agreeKey != key) {
            m_agreed = compareAll(viewers, expected);
            m_agreeKey = std::move(key);
        }
        return m_agreed;
    }

    /** @return true when all running nodes hold exactly the running nodes for live. */
    bool settled() const
    {
        std::vector<std::size_t> alive;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (running(i))
                alive.push_back(i);
        }
        return agree(alive, alive);
    }

    FakeNetwork<membership::Event> network;
    SendObserver onSend;

private:
    struct AgreeKey
    {
        std::vector<std::size_t> viewers;
        std::vector<std::size_t> expected;
        std::vector<std::uint32_t> digests;

        bool operator==(const AgreeKey &) const = default;
    };

    bool compareAll(const std::vector<std::size_t> &viewers,
                    const std::vector<std::size_t> &expected) const
    {
        std::vector<NodeId> wanted;
        for (const auto it : expected)
            wanted.push_back(idOf(it));
        std::sort(wanted.begin(), wanted.end());
        return std::all_of(viewers.begin(), viewers.end(), [&](std::size_t viewer) {
            auto seen = table(viewer).ring();
            std::sort(seen.begin(), seen.end());
            return seen == wanted;
        });
    }

    struct Node
    {
        std::unique_ptr<MembershipProtocol> protocol;
        TimePoint pausedUntil;
        TimePoint nextTick;
        std::vector<membership::Event> backlog;
        int starts = 0;
        int changes = 0;
    };

    void step(std::size_t i)
    {
        Node &node = m_nodes[i];
        if (!node.protocol || now() < node.pausedUntil)
            return;
        const auto backlog = std::exchange(node.backlog, {});
        for (const auto &it : backlog)
            give(i, it);
        if (now() < node.nextTick)
            return;
        node.nextTick = now() + milliseconds(100);
        give(i, membership::Tick{});
    }

    void receive(std::size_t, std::size_t to, const membership::Event &event)
    {
        Node &node = m_nodes[to];
        if (!node.protocol)
            return;
        if (now() < node.pausedUntil)
            node.backlog.push_back(event);
        else
            give(to, event);
    }

    void carryOut(std::size_t from, const membership::Action &action)
    {
        using namespace membership; // NOLINT(google-build-using-namespace)
        const NodeId sender = idOf(from);
        const std::uint64_t inc = table(from).self().incarnation;
        if (const auto *probe = std::get_if<SendProbe>(&action))
            send(from, probe->to, action,
                 ProbeReceived{sender, inc, probe->nonce, probe->digest, probe->updates});
        else if (const auto *ack = std::get_if<SendAck>(&action))
            send(from, ack->to, action,
                 AckReceived{sender, inc, ack->nonce, ack->digest, ack->target, ack->updates});
        else if (const auto *request = std::get_if<SendProbeRequest>(&action))
            send(from, request->to, action,
                 ProbeRequestReceived{sender, request->nonce, request->target});
        else if (const auto *updates = std::get_if<SendUpdates>(&action))
            send(from, updates->to, action,
                 UpdatesReceived{sender, inc, updates->updates, updates->fullStateWanted});
        else if (std::holds_alternative<LiveNodesChanged>(action))
            ++m_nodes[from].changes;
    }

    void send(std::size_t from, const NodeId &to, const membership::Action &action,
              const membership::Event &event)
    {
        if (onSend)
            onSend(from, action);
        const auto it = std::find(m_all.begin(), m_all.end(), to);
        if (it != m_all.end())
            network.send(from, static_cast<std::size_t>(it - m_all.begin()), event, now());
    }

    ManualClock m_clock;
    std::uint64_t m_seed;
    std::vector<Node> m_nodes;
    std::vector<NodeId> m_all;
    mutable std::optional<AgreeKey> m_agreeKey;
    mutable bool m_agreed = false;
};

} // namespace hawthornslip::test
