#include "tests/matrix/faults.h"

#include <utility>

namespace hawthornslip::matrix {

namespace {

constexpr Duration kOutage = seconds(5);
// Longer than the 4 s after which a node counts as dead.
constexpr Duration kPause = seconds(6);
// Longer than a lease of 10 s and the wait of the node that takes it.
constexpr Duration kLongPause = seconds(25);
constexpr int kSlowness = 20;

} // namespace

void FaultInjector::later(Duration span, std::function<void()> task)
{
    m_cluster.world().events.after(span, std::move(task));
}

void FaultInjector::strike(Fault fault, int node, int engine)
{
    auto &world = m_cluster.world();
    const auto url = MatrixCluster::engineUrl(engine);
    switch (fault) {
    case Fault::NodeCrash:
        m_cluster.crashNode(node);
        break;
    case Fault::NodePause:
        m_cluster.excuse(kPause);
        m_cluster.pauseNode(node);
        later(kPause, [this, node] { m_cluster.resumeNode(node); });
        break;
    case Fault::LeaseLapsed:
        m_cluster.excuse(kLongPause);
        m_cluster.pauseNode(node);
        later(kLongPause, [this, node] { m_cluster.resumeNode(node); });
        break;
    case Fault::NodeRestart:
        m_cluster.excuse(seconds(1));
        m_cluster.crashNode(node);
        later(milliseconds(300), [this, node] { m_cluster.restartNode(node); });
        break;
    case Fault::UpstreamCrash:
        for (const auto &it : {url, std::string(MatrixCluster::kApplicationUrl)}) {
            world.engines.crash(it);
            later(kOutage, [&world, it] { world.engines.at(it).down = false; });
        }
        break;
    case Fault::Straggler:
        for (const auto &it : {url, std::string(MatrixCluster::kApplicationUrl)}) {
            world.engines.at(it).slowness = kSlowness;
            later(kOutage, [&world, it] { world.engines.at(it).slowness = 1; });
        }
        break;
    case Fault::UpstreamLeaving:
        m_cluster.drainEngine(engine);
        break;
    case Fault::ConnectionReset:
        world.engines.breakCalls();
        for (auto &[address, it] : world.engines.all())
            it.faults = {test::CallFault::ResetBeforeRun, test::CallFault::ResetAfterRun,
                         test::CallFault::ResetMidStream};
        break;
    case Fault::LateOrCrossed:
        for (auto &[address, it] : world.engines.all())
            it.faults = {test::CallFault::Crossed, test::CallFault::Late, test::CallFault::Crossed};
        world.engines.crossCalls();
        break;
    case Fault::StoreDown:
        world.store.faults.down = true;
        later(kOutage, [&world] { world.store.faults.down = false; });
        break;
    case Fault::StoreSlow:
        world.store.faults.latency = milliseconds(900);
        later(kOutage, [&world] { world.store.faults.latency = milliseconds(2); });
        break;
    case Fault::StoreAnswerLost:
        world.store.faults.loseWriteAnswers = 3;
        world.store.faults.delayWrites = 1;
        break;
    case Fault::Messages:
        m_cluster.excuse(kOutage);
        world.network.faults = {0.3, 0.3, 0.4, seconds(1)};
        later(kOutage, [&world] { world.network.faults = {}; });
        break;
    case Fault::OneWayPartition:
        m_cluster.excuse(kOutage);
        m_cluster.cutNode(node);
        later(kOutage, [this] { m_cluster.healNetwork(); });
        break;
    case Fault::OperatorsRace:
        race();
        break;
    case Fault::StaleVmList:
        // The list names a machine that is gone and leaves out all that are there.
        world.vms = {{NodeId("gone"), FailureDomain(MatrixCluster::kDomain), false}};
        later(seconds(15), [this] { m_cluster.listAll(); });
        break;
    }
}

void FaultInjector::race()
{
    for (int i = 0; i < MatrixCluster::kNodes; ++i) {
        if (!m_cluster.node(i).ready())
            continue;
        m_cluster.applyConfig(
                i, [i](SharedConfig &it) { it.profiles[2].maxTokens = 100U + unsigned(i); },
                [](const ApplyResultInfo &) {});
    }
}

void FaultInjector::heal()
{
    m_cluster.listAll();
    m_cluster.excuse(seconds(3));
    auto &world = m_cluster.world();
    world.store.faults = {};
    m_cluster.healNetwork();
    for (auto &[address, it] : world.engines.all()) {
        it.down = false;
        it.slowness = 1;
        it.faults.clear();
    }
    for (int i = 0; i < MatrixCluster::kNodes; ++i) {
        if (!m_cluster.node(i).alive())
            m_cluster.restartNode(i);
        m_cluster.resumeNode(i);
    }
}

} // namespace hawthornslip::matrix
