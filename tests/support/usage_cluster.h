#pragma once

#include "servers/duties/usage_service.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/manual_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace hawthornslip::test {

inline constexpr UsageTimes kUsageTimes{seconds(5), seconds(10)};
/** Nodes that count and report, with a store, a provider and a network in virtual time. */
class UsageCluster : public ObjectStore, public ProviderApi
{
public:
    static constexpr Duration kLatency = milliseconds(2);
    static constexpr std::uint64_t kEra = 4;

    explicit UsageCluster(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(nullptr);
            restart(i);
        }
        hold(0);
        // Windows that were in progress as the first journal was written are not reported.
        loop.advance(kUsageTimes.window * 2 - milliseconds(1));
    }

    struct Node : public UsageTransport, public DutyTerms
    {
        Node(UsageCluster &cluster, std::size_t index, std::uint64_t boot)
            : address("node-" + std::to_string(index))
            , m_cluster(cluster)
            , m_boot(boot)
            , usage({cluster.loop, cluster, cluster, *this, *this, cluster.metrics}, kUsageTimes,
                    NodeId(address))
        {
            usage.start();
        }

        void setUsage(PeerUsage *receiver) override { m_receiver = receiver; }
        void sendUsage(const NodeId &to, const std::string &bytes) override
        {
            m_cluster.deliver(*this, to, bytes);
        }
        std::uint64_t boot() const override { return m_boot; }
        std::vector<std::string> livePeers() const override
        {
            std::vector<std::string> live;
            for (const auto &it : m_cluster.nodes) {
                if (it && it->address != address)
                    live.push_back(it->address);
            }
            return live;
        }
        std::optional<DutyTerm> current(TimePoint now) const override
        {
            if (generation == 0)
                return std::nullopt;
            return DutyTerm{generation, now + seconds(1)};
        }
        void onSuperseded(std::uint64_t, TimePoint) override { generation = 0; }

        void receive(const Node &from, const std::string &bytes)
        {
            m_receiver->onPeerUsage(NodeId(from.address), from.m_boot, bytes);
        }

        void request(const std::string &workspace, int count)
        {
            for (int i = 0; i < count; ++i)
                usage.onRequestBegun(workspace);
        }

        std::string address;
        std::uint64_t generation = 0;

    private:
        UsageCluster &m_cluster;
        std::uint64_t m_boot;
        PeerUsage *m_receiver = nullptr;

    public:
        UsageService usage;
    };

    void hold(std::size_t i) { nodes[i]->generation = ++m_generations; }

    void restart(std::size_t i) { nodes[i] = std::make_unique<Node>(*this, i, ++m_boots); }

    void deliver(const Node &from, const NodeId &to, const std::string &bytes)
    {
        ++messages;
        CPPUNIT_ASSERT(bytes.size() < 1400);
        if (std::uniform_real_distribution<double>()(m_random) < loss)
            return;
        loop.after(kLatency, [this, sender = from.address, to, bytes] {
            Node *source = find(sender);
            Node *target = find(to.value);
            if (source != nullptr && target != nullptr)
                target->receive(*source, bytes);
        });
    }

    Node *find(const std::string &address)
    {
        for (auto &it : nodes) {
            if (it && it->address == address)
                return it.get();
        }
        return nullptr;
    }

    void get(const std::string &key, Callback done) override
    {
        StoreResult result{StoreError::NotFound, {}, kEra};
        if (const auto it = objects.find(key); it != objects.end())
            result = {StoreError::None, it->second, kEra};
        if (isStoreDown)
            result = {StoreError::Unavailable, {}, {}};
        loop.after(kLatency, [done, result] { done(result); });
    }

    void put(const std::string &key, const std::string &value, std::uint64_t expectedVersion,
             Callback done) override
    {
        StoreResult result{StoreError::Unavailable, {}, {}};
        if (!isStoreDown) {
            auto &object = objects[key];
            result = {StoreError::Conflict, {}, kEra};
            if (object.version == expectedVersion) {
                object = {value, ++m_revision};
                result = {StoreError::None, {{}, m_revision}, kEra};
            }
        }
        loop.after(kLatency, [done, result] { done(result); });
    }

    void watch(const std::string &, std::uint64_t, Duration, Callback) override {}

    void reportUsage(const UsageReport &report, std::uint64_t, Done done) override
    {
        if (providerResult == ProviderResult::Accepted) {
            const auto [it, isNew] = reported.emplace(report.window, report.counts);
            CPPUNIT_ASSERT(it->second == report.counts);
            reportedAt.emplace(report.window, loop.now());
        }
        ++calls;
        loop.after(kLatency, [done, result = providerResult] { done(result); });
    }

    void orderCapacity(const CapacityOrder &, std::uint64_t, Done) override {}

    /** @return the window in progress. */
    std::uint64_t window() const
    {
        return static_cast<std::uint64_t>(loop.now().time_since_epoch() / kUsageTimes.window);
    }
    /** Moves the time to the end of the window in progress and @p span further. */
    void finishWindow(Duration span)
    {
        const TimePoint end{static_cast<std::int64_t>(window() + 1) * kUsageTimes.window};
        loop.advance(end - loop.now() + span);
    }

    ManualLoop loop;
    CountingMetrics metrics;
    std::map<std::string, StoredObject> objects;
    std::map<std::uint64_t, WorkspaceCounts> reported;
    std::map<std::uint64_t, TimePoint> reportedAt;
    ProviderResult providerResult = ProviderResult::Accepted;
    bool isStoreDown = false;
    double loss = 0;
    int messages = 0;
    int calls = 0;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    std::mt19937_64 m_random{7};
    std::uint64_t m_boots = 0;
    std::uint64_t m_generations = 0;
    std::uint64_t m_revision = 0;
};

} // namespace hawthornslip::test
