#include "tests/matrix/config_scenario.h"

#include <algorithm>
#include <utility>

namespace hawthornslip::matrix {

namespace {

constexpr std::uint32_t kWanted = 777;

/** One scenario in progress. */
class ConfigScenario
{
public:
    ConfigScenario(std::uint64_t seed, std::vector<ControlStrike> strikes)
        : m_cluster(seed)
        , m_injector(m_cluster)
        , m_strikes(std::move(strikes))
    {}

    ScenarioResult run()
    {
        const auto before = m_cluster.acceptedGeneration();
        m_cluster.onPut = [this](int node, const std::string &key, const std::string &) {
            if (key == ConfigWriter::kKey)
                strikeAt(ControlStage::WriteConfig, node);
        };
        for (int i = 0; i < MatrixCluster::kNodes; ++i)
            m_cluster.node(i).config.subscribe([this, i](const auto &) {
                if (m_applying && i != m_at)
                    strikeAt(ControlStage::Adopt, i);
            });
        for (int i = 0; i < kTries && !m_accepted; ++i)
            attempt(i);
        m_cluster.run(seconds(20));
        m_cluster.onPut = nullptr;
        m_injector.heal();
        m_cluster.run(seconds(20));
        for (int i = 0; i < kTries && !m_accepted; ++i)
            attempt(i);
        m_cluster.run(seconds(6));
        checkInForce(before);
        return {m_cluster.violation(), m_struck};
    }

private:
    static constexpr int kTries = 8;

    // Applies the change at the next node that is ready, and waits for the answer as long as an
    // operator's client does.
    void attempt(int n)
    {
        m_at = n % MatrixCluster::kNodes;
        if (!m_cluster.node(m_at).ready()) {
            m_cluster.run(seconds(1));
            return;
        }
        bool answered = false;
        m_applying = true;
        m_cluster.applyConfig(
                m_at, [](SharedConfig &it) { it.profiles[0].maxTokens = kWanted; },
                [&, at = m_at](const ApplyResultInfo &it) {
                    answered = true;
                    m_accepted = it.status == ApplyStatus::Accepted;
                    if (m_accepted)
                        strikeAt(ControlStage::Spread, at);
                });
        m_cluster.runUntil([&] { return answered || !m_cluster.node(m_at).alive(); }, seconds(12));
        m_cluster.require(answered || !m_cluster.node(m_at).runs(), "I8", "a change got no answer");
        // The callback refers to this attempt; a paused node answers when it goes on.
        while (!answered && m_cluster.node(m_at).alive())
            m_cluster.run(seconds(1));
        m_cluster.run(milliseconds(200));
    }

    void strikeAt(ControlStage stage, int node)
    {
        if (m_struck == m_strikes.size() || m_strikes[m_struck].stage != stage)
            return;
        const auto strike = m_strikes[m_struck++];
        const int at = strike.where == Where::Other ? (node + 1) % MatrixCluster::kNodes : node;
        m_cluster.world().events.after(
                Duration(0), [this, strike, at] { m_injector.strike(strike.fault, at, 0); });
    }

    void checkInForce(std::uint64_t before)
    {
        m_cluster.require(m_accepted, "I8", "no change was accepted after the fault");
        m_cluster.require(m_cluster.acceptedGeneration() > before, "I8", "nothing was accepted");
        for (int i = 0; i < MatrixCluster::kNodes; ++i) {
            const auto &config = m_cluster.node(i).config;
            m_cluster.require(config.generation() >= m_cluster.acceptedGeneration(), "I8",
                              "node " + std::to_string(i) + " has generation " +
                                      std::to_string(config.generation()));
        }
    }

    MatrixCluster m_cluster;
    FaultInjector m_injector;
    std::vector<ControlStrike> m_strikes;
    std::size_t m_struck = 0;
    int m_at = 0;
    bool m_accepted = false;
    bool m_applying = false;
};

} // namespace

ScenarioResult runConfigScenario(std::uint64_t seed, const std::vector<ControlStrike> &strikes)
{
    return ConfigScenario(seed, strikes).run();
}

} // namespace hawthornslip::matrix
