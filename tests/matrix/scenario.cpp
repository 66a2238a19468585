#include "tests/matrix/scenario.h"

#include <algorithm>
#include <utility>

namespace hawthornslip::matrix {

namespace {

constexpr int kRepeats = 4;
constexpr int kClaimOwner = MatrixCluster::kNodes - 1;

/** One scenario in progress. */
class Scenario
{
public:
    Scenario(std::uint64_t seed, TargetKind target, std::vector<Strike> strikes)
        : m_cluster(seed)
        , m_injector(m_cluster)
        , m_target(target)
        , m_strikes(std::move(strikes))
    {}

    ScenarioResult run()
    {
        const bool queues = std::any_of(m_strikes.begin(), m_strikes.end(),
                                        [](const auto &it) { return it.stage == Stage::Queue; });
        chooseKey();
        startLoad(queues ? 16 : 2);
        m_cluster.run(milliseconds(5));
        m_cluster.onStage = [this](Stage stage, int node, const RequestId &request) {
            reached(stage, node, request);
        };
        // A fault of the claim owner before the request: another owner serves the claim, and the
        // first one comes back with an old copy of the shard.
        const bool early = m_strikes.front().where == Where::ClaimOwner &&
                           m_strikes.front().stage == Stage::Accept;
        if (early) {
            strikeAt(Stage::Accept, 0);
            m_cluster.run(seconds(5));
        }
        m_first = &m_cluster.call(0, targetAsk());
        if (early)
            sendDuplicates();
        m_cluster.runUntil([this] { return m_first->end != CallerEnd::Pending; }, seconds(60));
        // Faults that strike after the end of the request still take their time.
        m_cluster.run(milliseconds(50));
        repeatKeyed();
        m_cluster.runUntil([this] { return m_cluster.pending() == 0; }, seconds(60));
        m_cluster.onStage = nullptr;
        m_injector.heal();
        m_cluster.run(seconds(12));
        checkServed();
        return {m_cluster.violation(), m_struck};
    }

private:
    CallerAsk targetAsk() const
    {
        switch (m_target) {
        case TargetKind::Order:
            return {"order", m_key, m_key, false, true};
        case TargetKind::OrderStream:
            return {"order", m_key, m_key, true, false};
        case TargetKind::Pickup:
            return {"pickup", "target", "", true, false};
        case TargetKind::Batch:
            break;
        }
        return {"batch", "target", "", true, false};
    }

    // The key's shard is owned by the last node, and that owner has a copy of the shard from the
    // claim of another key, so that it may be out of date when it comes back from a fault.
    void chooseKey()
    {
        const auto &claims = m_cluster.node(0).claims;
        const auto shardOf = [](const std::string &key) {
            return ClaimService::shardOf(ClaimService::keyHash(WorkspaceId("w"), key));
        };
        int n = 0;
        const auto &owner = m_cluster.node(kClaimOwner).self;
        while (claims.ownerOf(shardOf("target" + std::to_string(n))) != owner)
            ++n;
        m_key = "target" + std::to_string(n);
        n = 0;
        while (shardOf("warm" + std::to_string(n)) != shardOf(m_key))
            ++n;
        const auto warm = "warm" + std::to_string(n);
        const auto &caller = m_cluster.call(1, {"order", warm, warm, false, true});
        m_cluster.runUntil([&] { return caller.end != CallerEnd::Pending; }, seconds(5));
        m_cluster.run(seconds(1));
    }

    // Callers whose connection is slow send the same key again, to whichever node they reach.
    void sendDuplicates()
    {
        if (targetAsk().key.empty())
            return;
        int node = 1;
        for (const auto delay : {milliseconds(1), milliseconds(900), seconds(5), seconds(8),
                                 seconds(12), seconds(30)}) {
            m_cluster.world().events.after(delay, [this, node] {
                for (int i = 0; i < MatrixCluster::kNodes; ++i) {
                    const int at = (node + i) % MatrixCluster::kNodes;
                    if (!m_cluster.node(at).ready())
                        continue;
                    m_cluster.call(at, targetAsk());
                    return;
                }
            });
            node = (node + 1) % MatrixCluster::kNodes;
        }
    }

    void startLoad(int perNode)
    {
        static const std::string kProfiles[] = {"batch", "chat", "pickup"};
        for (int i = 0; i < perNode * MatrixCluster::kNodes; ++i) {
            const auto tag = "load" + std::to_string(i);
            const int node = i % MatrixCluster::kNodes;
            if (i % 5 == 4)
                m_cluster.call(node, {"order", tag, tag, false, true});
            else
                m_cluster.call(node, {kProfiles[i % 3], tag, "", true, false});
        }
    }

    void reached(Stage stage, int node, const RequestId &request)
    {
        if (m_first == nullptr || request != m_first->request)
            return;
        if (stage == Stage::AskOwner)
            m_cluster.world().events.after(milliseconds(5), [this] {
                if (!m_granted)
                    strikeAt(Stage::Queue, 0);
            });
        m_granted = m_granted || stage == Stage::Grant;
        strikeAt(stage, node);
    }

    void strikeAt(Stage stage, int node)
    {
        if (m_struck == m_strikes.size() || m_strikes[m_struck].stage != stage)
            return;
        const auto strike = m_strikes[m_struck++];
        if (m_struck == 1 && m_first != nullptr)
            sendDuplicates();
        int at = node;
        if (strike.where == Where::Other)
            at = (node + 1) % MatrixCluster::kNodes;
        else if (strike.where == Where::ClaimOwner)
            at = kClaimOwner;
        m_cluster.world().events.after(Duration(0), [this, strike, at] {
            m_injector.strike(strike.fault, at, engineOfTarget());
        });
    }

    int engineOfTarget()
    {
        for (int i = 0; m_first != nullptr && i < MatrixCluster::kEngines; ++i) {
            const auto &runs = m_cluster.world().engines.at(MatrixCluster::engineUrl(i)).runs;
            if (std::find(runs.begin(), runs.end(), m_first->request.value) != runs.end())
                return i;
        }
        return 0;
    }

    // Callers repeat a keyed request elsewhere until they know how it ended.
    void repeatKeyed()
    {
        if (targetAsk().key.empty())
            return;
        const MatrixCaller *last = m_first;
        bool allNotRun = last->execution == Execution::NotRun;
        for (int i = 1; i <= kRepeats && last->end != CallerEnd::Answered; ++i) {
            if (i == kRepeats) {
                m_injector.heal();
                m_cluster.run(seconds(12));
            }
            last = repeatOn(i % MatrixCluster::kNodes);
            if (last == nullptr)
                continue;
            if (i == kRepeats && allNotRun && m_cluster.runsOf(m_key) == 0 && allEndedNotRun())
                m_cluster.require(last->end == CallerEnd::Answered, "liveness",
                                  "the key of a request that was never run stays blocked, " +
                                          std::string(nameOf(last->reason)));
            allNotRun = allNotRun && last->execution == Execution::NotRun;
        }
    }

    bool allEndedNotRun() const
    {
        const auto &callers = m_cluster.callers();
        return std::all_of(callers.begin(), callers.end(), [&](const auto &it) {
            return it->ask.key != m_key || it.get() == callers.back().get() ||
                   it->execution == Execution::NotRun;
        });
    }

    const MatrixCaller *repeatOn(int node)
    {
        const auto runs = [&](int n) { return m_cluster.node(n).ready(); };
        for (int i = 0; i < MatrixCluster::kNodes && !runs(node); ++i)
            node = (node + 1) % MatrixCluster::kNodes;
        if (!runs(node))
            return nullptr;
        const auto &caller = m_cluster.call(node, targetAsk());
        m_cluster.runUntil([&] { return caller.end != CallerEnd::Pending; }, seconds(60));
        m_cluster.run(seconds(1));
        return &caller;
    }

    // I2, and that no fault leaves a class, a key or a node unusable. A refusal that names a time
    // for a repeat is allowed, as long as a repeat is served in the end.
    void checkServed()
    {
        for (int i = 0; i < MatrixCluster::kNodes; ++i) {
            if (!m_cluster.node(i).ready())
                continue;
            const auto tag = "last" + std::to_string(i);
            for (const auto *profile : {"pickup", "chat", "batch"})
                checkServed(i, {profile, tag + profile, "", true, false});
            checkServed(i, {"order", tag, tag, false, true});
        }
    }

    void checkServed(int node, const CallerAsk &ask)
    {
        const MatrixCaller *last = nullptr;
        for (int i = 0; i < 20; ++i) {
            last = &m_cluster.call(node, ask);
            m_cluster.runUntil([&] { return last->end != CallerEnd::Pending; }, seconds(30));
            if (last->end == CallerEnd::Answered)
                return;
            m_cluster.run(seconds(1));
        }
        m_cluster.require(false, "I2",
                          ask.tag + " was not served after the fault, " +
                                  std::string(nameOf(last->reason)));
    }

    MatrixCluster m_cluster;
    FaultInjector m_injector;
    TargetKind m_target;
    std::vector<Strike> m_strikes;
    std::size_t m_struck = 0;
    const MatrixCaller *m_first = nullptr;
    bool m_granted = false;
    std::string m_key;
};

} // namespace

bool reaches(TargetKind kind, Stage stage)
{
    const bool keyed = kind == TargetKind::Order || kind == TargetKind::OrderStream;
    const bool streams = kind != TargetKind::Order;
    switch (stage) {
    case Stage::Claim:
    case Stage::RecordOutcome:
        return keyed;
    case Stage::MidStream:
        return streams;
    case Stage::Queue:
        return kind == TargetKind::Batch || kind == TargetKind::OrderStream;
    default:
        return true;
    }
}

ScenarioResult runScenario(std::uint64_t seed, TargetKind target,
                           const std::vector<Strike> &strikes)
{
    return Scenario(seed, target, strikes).run();
}

} // namespace hawthornslip::matrix
