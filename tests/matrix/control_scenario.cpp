#include "tests/matrix/control_scenario.h"

#include "modules/lease/lease_record.h"
#include "servers/placement/placement_codec.h"

#include <algorithm>
#include <utility>

namespace hawthornslip::matrix {

namespace {

/** One scenario in progress. */
class ControlScenario
{
public:
    ControlScenario(std::uint64_t seed, std::vector<ControlStrike> strikes)
        : m_cluster(seed)
        , m_injector(m_cluster)
        , m_strikes(std::move(strikes))
    {}

    ScenarioResult run()
    {
        m_cluster.onPut = [this](int node, const std::string &key, const std::string &value) {
            onPut(node, key, value);
        };
        const auto stops = std::any_of(m_strikes.begin(), m_strikes.end(), [](const auto &it) {
            return it.stage == ControlStage::HandOver || it.stage == ControlStage::Stop;
        });
        ask();
        load(seconds(20));
        if (stops)
            stopHolder();
        load(seconds(50));
        m_cluster.onPut = nullptr;
        m_injector.heal();
        ask();
        m_cluster.run(seconds(90));
        checkPlaced();
        checkServed();
        return {m_cluster.violation(), m_struck};
    }

private:
    // Enough demand for a replica of model x on each engine.
    void ask()
    {
        for (int i = 0; i < MatrixCluster::kNodes; ++i)
            m_cluster.node(i).demand[{ModelName("x"), FailureDomain(MatrixCluster::kDomain)}] = 3;
    }

    void load(Duration span)
    {
        const auto end = m_cluster.world().events.now() + span;
        while (m_cluster.world().events.now() < end) {
            const int node = m_requests % MatrixCluster::kNodes;
            const auto tag = "load" + std::to_string(m_requests++);
            const auto &it = m_cluster.node(node);
            if (it.ready())
                m_cluster.call(node, {"pickup", tag, "", true, false});
            m_cluster.run(milliseconds(700));
            watchOrders();
        }
    }

    void stopHolder()
    {
        const int holder = std::max(m_cluster.leaseHolder(), 0);
        const auto tag = "stopped" + std::to_string(holder);
        m_cluster.call(holder, {"batch", tag, "", true, false});
        m_cluster.call(holder, {"order", tag + "o", tag + "o", false, true});
        m_cluster.run(milliseconds(20));
        m_cluster.stopNode(holder);
        strikeAt(ControlStage::Stop, holder);
    }

    void onPut(int node, const std::string &key, const std::string &value)
    {
        if (key.starts_with("leases/")) {
            const auto lease = decodeLease(value);
            if (lease && lease->holder.empty())
                strikeAt(ControlStage::HandOver, node);
            else if (lease && lease->renewals == 0)
                strikeAt(ControlStage::Acquire, node);
            else
                strikeAt(ControlStage::Renew, node);
        } else if (key.starts_with("placement/")) {
            const auto state = decodePlacement(value);
            if (state && state->generation > 1 && state->desired == state->applied)
                strikeAt(ControlStage::Confirm, node);
        }
    }

    void watchOrders()
    {
        std::size_t orders = 0;
        for (const auto &[url, engine] : m_cluster.world().engines.all())
            orders += engine.orders.size();
        if (orders > m_orders)
            strikeAt(ControlStage::Order, std::max(m_cluster.leaseHolder(), 0));
        m_orders = orders;
    }

    void strikeAt(ControlStage stage, int node)
    {
        if (m_struck == m_strikes.size() || m_strikes[m_struck].stage != stage)
            return;
        const auto strike = m_strikes[m_struck++];
        const int at = strike.where == Where::Other ? (node + 1) % MatrixCluster::kNodes : node;
        m_cluster.world().events.after(
                Duration(0), [this, strike, at] { m_injector.strike(strike.fault, at, 1); });
    }

    void checkPlaced()
    {
        for (int i = 0; i < MatrixCluster::kNodes; ++i) {
            if (!m_cluster.node(i).runs())
                continue;
            int replicas = 0;
            for (int k = 0; k < MatrixCluster::kEngines; ++k) {
                const auto *models = m_cluster.node(i).placement.modelsOf(
                        UpstreamId("engine" + std::to_string(k)));
                if (models != nullptr)
                    replicas += static_cast<int>(
                            std::count(models->begin(), models->end(), ModelName("x")));
            }
            m_cluster.require(replicas >= 2, "placement",
                              "node " + std::to_string(i) + " knows " + std::to_string(replicas) +
                                      " replicas of a model that is asked for");
        }
    }

    void checkServed()
    {
        for (int i = 0; i < MatrixCluster::kNodes; ++i) {
            if (!m_cluster.node(i).ready())
                continue;
            const auto tag = "end" + std::to_string(i);
            const auto &it = m_cluster.call(i, {"order", tag, tag, false, true});
            m_cluster.runUntil([&] { return it.end != CallerEnd::Pending; }, seconds(30));
            m_cluster.require(it.end == CallerEnd::Answered, "liveness",
                              tag + " was not served, " + std::string(nameOf(it.reason)));
        }
    }

    MatrixCluster m_cluster;
    FaultInjector m_injector;
    std::vector<ControlStrike> m_strikes;
    std::size_t m_struck = 0;
    int m_requests = 0;
    std::size_t m_orders = 0;
};

} // namespace

ScenarioResult runControlScenario(std::uint64_t seed, const std::vector<ControlStrike> &strikes)
{
    return ControlScenario(seed, strikes).run();
}

} // namespace hawthornslip::matrix
