#include "tests/matrix/matrix_cluster.h"

#include "servers/security/key_hasher.h"

#include <algorithm>
#include <utility>

namespace hawthornslip::matrix {

namespace {

Profile profile(const std::string &name, int tier, bool idempotent)
{
    Profile it;
    it.name = ProfileName(name);
    it.tier = tier;
    it.idempotent = idempotent;
    it.resumable = idempotent;
    it.totalTimeout = seconds(20);
    it.firstTokenTarget = seconds(1);
    return it;
}

} // namespace

MatrixCluster::MatrixCluster(std::uint64_t seed)
    : m_world(seed)
    , m_random(seed)
{
    m_world.engines.onRun = [this](const auto &url, const auto &request, const auto &tag) {
        noteRun(url, request, tag);
    };
    m_world.engines.onOrder = [this](const auto &url, const auto &order) { noteOrder(url, order); };
    m_nodes.resize(kNodes);
    listAll();
    for (int i = 0; i < kNodes; ++i)
        startNode(i);
    run(milliseconds(100));
    node(0).config.apply(ConfigDocument::toText(*makeConfig()), [this](const auto &it) {
        require(it.status == ApplyStatus::Accepted, "start", "the first configuration was refused");
        accepted(it.generation, it.author);
    });
    require(runUntil([this] { return settled(); }, seconds(20)), "start",
            "the nodes did not become ready");
}

MatrixCluster::~MatrixCluster()
{
    onStage = nullptr;
    onPut = nullptr;
    for (const auto &it : m_nodes)
        it->crash();
    m_callers.clear();
}

std::shared_ptr<const SharedConfig> MatrixCluster::makeConfig()
{
    auto config = std::make_shared<SharedConfig>();
    config->generation = 1;
    config->author = "first";
    config->profiles = {profile("pickup", 0, true), profile("chat", 1, true),
                        profile("batch", 2, true), profile("order", 0, false)};
    Workspace workspace;
    workspace.id = WorkspaceId("w");
    workspace.keyHashes = {KeyHasher::hash(kWorkspaceKey)};
    config->workspaces = {workspace};
    for (int i = 0; i < kEngines; ++i) {
        Upstream it;
        it.id = UpstreamId("engine" + std::to_string(i));
        it.url = engineUrl(i);
        it.domain = FailureDomain(kDomain);
        it.models = {ModelName("m")};
        // Placement has to load model x on the other engines when there is demand for it.
        if (i == 0)
            it.models.emplace_back("x");
        it.checksFencing = i != 1;
        it.maxConcurrency = 4;
        config->upstreams.push_back(it);
    }
    Upstream orders;
    orders.id = UpstreamId("orders");
    orders.kind = UpstreamKind::Application;
    orders.url = kApplicationUrl;
    orders.domain = FailureDomain(kDomain);
    orders.models = {ModelName("app:orders")};
    config->upstreams.push_back(orders);
    return config;
}

void MatrixCluster::startNode(int n)
{
    auto &place = m_nodes[static_cast<std::size_t>(n)];
    if (place)
        m_graveyard.push_back(std::move(place));
    place = std::make_unique<MatrixNode>(m_world, NodeId("n" + std::to_string(n)),
                                         FailureDomain(kDomain), ++m_lastIncarnation);
    place->stage = [this, n](Stage stage, const RequestId &request) { reached(n, stage, request); };
    place->store.onPut = [this, n](const std::string &key, const std::string &value) {
        if (onPut)
            onPut(n, key, value);
    };
    place->rates.onTake = [this, n] {
        if (m_runningCaller != nullptr)
            reached(n, Stage::Classify, m_runningCaller->request);
    };
}

void MatrixCluster::reached(int n, Stage stage, const RequestId &request)
{
    if (!onStage)
        return;
    onStage(stage, n, request);
    if (m_runningCaller != nullptr)
        m_runningCaller->thread().giveWay();
}

MatrixCaller &MatrixCluster::call(int n, CallerAsk ask)
{
    if (ask.profile == "order")
        m_once.insert(ask.tag);
    std::string id = std::to_string(++m_lastRequest);
    id.insert(0, 32 - id.size(), '0');
    m_callers.push_back(
            std::make_unique<MatrixCaller>(m_world, node(n), std::move(ask), RequestId(id)));
    return *m_callers.back();
}

int MatrixCluster::pending() const
{
    return static_cast<int>(std::count_if(m_callers.begin(), m_callers.end(), [](const auto &it) {
        return it->end == CallerEnd::Pending;
    }));
}

void MatrixCluster::run(Duration span)
{
    runUntil([] { return false; }, span);
}

bool MatrixCluster::runUntil(const std::function<bool()> &done, Duration span)
{
    const auto end = m_world.events.now() + span;
    while (true) {
        while (runDue()) {
        }
        checkCallers();
        checkLease();
        checkConfig();
        finishStops();
        if (done())
            return true;
        if (m_world.events.now() >= end)
            return false;
        m_world.events.moveTo(nextEvent(end));
    }
}

bool MatrixCluster::runDue()
{
    bool busy = m_world.events.runOne();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (m_nodes[i]->runs())
            busy = m_nodes[i]->loop.runDue() > 0 || busy;
    }
    for (std::size_t i = m_firstOpen; i < m_callers.size(); ++i) {
        auto &caller = *m_callers[i];
        if (!caller.node().runs() || !caller.thread().due(m_world.events.now()))
            continue;
        m_runningCaller = &caller;
        caller.thread().resume();
        m_runningCaller = nullptr;
        busy = true;
    }
    return busy;
}

TimePoint MatrixCluster::nextEvent(TimePoint end) const
{
    auto next = std::min(end, m_world.events.next().value_or(end));
    for (const auto &it : m_nodes) {
        if (it->runs())
            next = std::min(next, it->loop.nextTimer().value_or(end));
    }
    for (std::size_t i = m_firstOpen; i < m_callers.size(); ++i) {
        auto &caller = *m_callers[i];
        if (caller.node().runs() && !caller.thread().ended())
            next = std::min(next, caller.thread().wakeAt());
    }
    return next;
}

void MatrixCluster::crashNode(int n)
{
    auto &it = node(n);
    if (!it.alive())
        return;
    it.crash();
    for (std::size_t i = m_firstOpen; i < m_callers.size(); ++i) {
        if (&m_callers[i]->node() == &it)
            m_callers[i]->crash();
    }
}

void MatrixCluster::restartNode(int n)
{
    if (node(n).alive())
        crashNode(n);
    startNode(n);
}

void MatrixCluster::pauseNode(int n)
{
    if (!node(n).runs())
        return;
    node(n).setPaused(true);
}

void MatrixCluster::resumeNode(int n)
{
    if (!node(n).paused())
        return;
    node(n).setPaused(false);
}

void MatrixCluster::stopNode(int n)
{
    if (!node(n).runs())
        return;
    node(n).stopping = true;
    node(n).membership.announceLeaving();
    node(n).placement.stop();
}

void MatrixCluster::cutNode(int n)
{
    for (int i = 0; i < kNodes; ++i) {
        if (i != n)
            m_world.network.cut.insert({node(n).self, node(i).self});
    }
}

void MatrixCluster::healNetwork()
{
    m_world.network.cut.clear();
    m_world.network.faults = {};
}

void MatrixCluster::listAll()
{
    m_world.vms.clear();
    for (int i = 0; i < kNodes; ++i)
        m_world.vms.push_back({NodeId("n" + std::to_string(i)), FailureDomain(kDomain), false});
}

void MatrixCluster::drainEngine(int n)
{
    int at = 0;
    while (at < kNodes - 1 && !node(at).ready())
        ++at;
    const auto drain = [n](SharedConfig &config) {
        config.upstreams[static_cast<std::size_t>(n)].state = UpstreamState::Draining;
    };
    applyConfig(at, drain, [this, n](const ApplyResultInfo &it) {
        if (it.status == ApplyStatus::Accepted)
            m_drainedAt[engineUrl(n)] = m_world.events.now();
    });
}

void MatrixCluster::applyConfig(int n, const std::function<void(SharedConfig &)> &change,
                                std::function<void(const ApplyResultInfo &)> done)
{
    SharedConfig next = *node(n).config.current();
    ++next.generation;
    next.author = "operator" + std::to_string(++m_lastOperator);
    change(next);
    node(n).config.apply(ConfigDocument::toText(next),
                         [this, author = next.author, generation = next.generation,
                          done = std::move(done)](const ApplyResultInfo &it) {
                             if (it.status == ApplyStatus::Accepted)
                                 accepted(generation, author);
                             done(it);
                         });
}

void MatrixCluster::accepted(std::uint64_t generation, const std::string &author)
{
    const auto [it, isNew] = m_authors.emplace(generation, author);
    require(isNew || it->second == author, "I8",
            "two operators were told that generation " + std::to_string(generation) + " is theirs");
    if (generation <= m_accepted)
        return;
    m_accepted = generation;
    m_acceptedAt = m_world.events.now();
}

void MatrixCluster::excuse(Duration span)
{
    m_excusedUntil = std::max(m_excusedUntil, m_world.events.now() + span);
}

bool MatrixCluster::settled() const
{
    const auto running = static_cast<std::size_t>(std::count_if(
            m_nodes.begin(), m_nodes.end(), [](const auto &it) { return it->runs(); }));
    return std::all_of(m_nodes.begin(), m_nodes.end(), [&](const auto &it) {
        return !it->runs() ||
               (it->config.generation() > 0 && it->membership.liveNodes().size() == running);
    });
}

} // namespace hawthornslip::matrix
