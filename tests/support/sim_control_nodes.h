#pragma once

#include "core/interfaces/vm_list.h"
#include "servers/config/config_service.h"
#include "servers/membership/membership_service.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/sim_events.h"
#include "tests/support/sim_network.h"
#include "tests/support/sim_store.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip::test {

/** A VM list that a test sets; without entries the platform does not answer. */
class SimVmList : public VmList
{
public:
    explicit SimVmList(const std::optional<std::vector<VmEntry>> &entries)
        : m_entries(entries)
    {}

    void fetch(Callback done) override { done(m_entries); }

private:
    const std::optional<std::vector<VmEntry>> &m_entries;
};

/** One process: membership and configuration over a simulated network and store. */
class SimControlNode
{
public:
    SimControlNode(SimEvents &events, SimNetwork &network, SimStore &simStore, const NodeId &id,
                   const std::optional<std::vector<VmEntry>> &vms, std::uint64_t seed)
        : loop(events.clock())
        , transport(network, id)
        , bus(loop, transport, metrics, id, static_cast<std::uint64_t>(seed))
        , store(simStore, m_alive)
        , vmList(vms)
        , membership(loop, bus, transport, vmList, metrics, seed, {})
        , config(loop, bus, membership, store, metrics, events.clock(), seed)
    {
        membership.start();
        config.start();
    }

    ~SimControlNode() { *m_alive = false; }

    SimControlNode(const SimControlNode &) = delete;
    SimControlNode &operator=(const SimControlNode &) = delete;

    CountingMetrics metrics;
    ControlLoop loop;
    SimTransport transport;
    PeerBus bus;

private:
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

public:
    SimStoreClient store;
    SimVmList vmList;
    MembershipService membership;
    ConfigService config;
};

/** Several such processes in virtual time; the same seed gives the same run. */
class SimControlNodes
{
public:
    SimControlNodes(std::size_t n, std::uint64_t seed)
        : network(events, seed)
        , store(events)
        , m_seed(seed)
        , m_nodes(n)
        , m_highest(n, 0)
    {
        vms.emplace();
        for (std::size_t i = 0; i < n; ++i)
            vms->push_back({idOf(i), FailureDomain("domain"), false});
    }

    static NodeId idOf(std::size_t i)
    {
        constexpr std::size_t kPerSubnet = 250;
        return NodeId("10.0." + std::to_string(i / kPerSubnet) + "." +
                      std::to_string(i % kPerSubnet) + ":7400");
    }

    void start(std::size_t i)
    {
        // The seed is the incarnation too, so it rises with time as a start time does.
        m_nodes[i] = std::make_unique<SimControlNode>(
                events, network, store, idOf(i), vms,
                static_cast<std::uint64_t>(events.now().time_since_epoch().count()) * 1000 + i +
                        m_seed * 1'000'000'007'000);
        m_highest[i] = 0;
    }

    void startAll()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            start(i);
    }

    void crash(std::size_t i) { m_nodes[i].reset(); }

    bool running(std::size_t i) const { return m_nodes[i] != nullptr; }
    SimControlNode &operator[](std::size_t i) { return *m_nodes[i]; }
    std::size_t size() const { return m_nodes.size(); }

    std::uint64_t generation(std::size_t i) const { return m_nodes[i]->config.generation(); }

    /** Lets @p span pass. A generation that goes lower is noted. */
    void run(Duration span)
    {
        const TimePoint end = events.now() + span;
        while (true) {
            settleNow();
            TimePoint next = end;
            if (const auto event = events.next())
                next = std::min(next, *event);
            for (const auto &it : m_nodes) {
                if (!it)
                    continue;
                if (const auto timer = it->loop.nextTimer())
                    next = std::min(next, *timer);
            }
            if (events.now() >= end)
                return;
            // Events that are close together share a step, which makes large runs affordable.
            events.moveTo(std::min(end, std::max(next, events.now() + kStep)));
        }
    }

    /** Lets time pass until @p condition holds. @return the time it took, or nothing. */
    std::optional<Duration> runUntil(Duration limit, const std::function<bool()> &condition)
    {
        const TimePoint start = events.now();
        while (events.now() - start < limit) {
            if (condition())
                return events.now() - start;
            run(milliseconds(10));
        }
        return condition() ? std::optional(events.now() - start) : std::nullopt;
    }

    /** @return true when all running nodes hold exactly the running ones for live. */
    bool settled() const
    {
        std::vector<NodeId> expected;
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i])
                expected.push_back(idOf(i));
        }
        std::sort(expected.begin(), expected.end());
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &it) {
            if (!it)
                return true;
            std::vector<NodeId> seen;
            for (const auto &live : it->membership.liveNodes())
                seen.push_back(live.node);
            return seen == expected;
        });
    }

    /** @return true when all running nodes have @p generation in force. */
    bool allHave(std::uint64_t generation) const
    {
        return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &it) {
            return !it || it->config.current()->generation == generation;
        });
    }

    /** @return true when a node's generation was seen to go lower. */
    bool wentLower() const { return m_wentLower; }

    SimEvents events;
    SimNetwork network;
    SimStore store;
    /** What the platform lists; nothing means that it does not answer. */
    std::optional<std::vector<VmEntry>> vms;

private:
    static constexpr Duration kStep = std::chrono::microseconds(2000);

    void settleNow()
    {
        bool busy = true;
        while (busy) {
            busy = false;
            while (events.runOne())
                busy = true;
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (!m_nodes[i])
                    continue;
                busy |= m_nodes[i]->loop.runDue() > 0;
                const auto now = m_nodes[i]->config.current()->generation;
                m_wentLower |= now < m_highest[i];
                m_highest[i] = std::max(m_highest[i], now);
            }
        }
    }

    std::uint64_t m_seed;
    std::vector<std::unique_ptr<SimControlNode>> m_nodes;
    std::vector<std::uint64_t> m_highest;
    bool m_wentLower = false;
};

} // namespace hawthornslip::test
