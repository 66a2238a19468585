#include "servers/config/config_service.h"

#include "core/logger.h"
#include "core/metric_names.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hawthornslip {

namespace {

// Limits the log lines per refused document; the operator who applies it gets all faults.
constexpr std::size_t kMaxLoggedFaults = 5;

} // namespace

ConfigService::ConfigService(ControlLoop &loop, PeerBus &bus, MembershipSource &membership,
                             ObjectStore &store, Metrics &metrics, const Clock &clock,
                             std::uint64_t seed, ConfigServiceOptions options)
    : m_loop(loop)
    , m_bus(bus)
    , m_membership(membership)
    , m_store(store)
    , m_metrics(metrics)
    , m_clock(clock)
    , m_options(options)
    , m_random(seed)
    , m_statusCollector(loop, bus, membership)
    , m_retryDelay(options.retryDelay)
{
    registerHandlers();
    setStatusProvider([] { return NodeFacts{}; });
}

void ConfigService::registerHandlers()
{
    using Body = peer::Envelope::BodyCase;
    m_bus.observe([this](const NodeId &sender, const peer::Envelope &message) {
        if (sender != m_bus.self())
            handleEvent(config::GenerationSeen{sender, message.config_generation()});
    });
    m_bus.handle(Body::kConfigPush, [this](const NodeId &, const auto &message) {
        // A push without a document only announces a generation, which observe() above handles.
        if (!message.config_push().document().empty())
            handleEvent(config::DocumentReceived{message.config_push().document(), false});
    });
    m_bus.handle(Body::kConfigPull, [this](const NodeId &sender, const auto &message) {
        handleEvent(config::PullReceived{sender, message.config_pull().above_generation()});
    });
}

void ConfigService::start()
{
    m_loop.post([this] { readStore(); });
}

void ConfigService::subscribe(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void ConfigService::setStatusProvider(std::function<NodeFacts()> provider)
{
    m_statusCollector.setProvider([this, provider = std::move(provider)] {
        NodeFacts facts = provider();
        facts.generation = m_adopter.generation();
        return facts;
    });
}

void ConfigService::readStore()
{
    m_store.get(ConfigWriter::kKey, [this](const StoreResult &result) {
        m_loop.post([this, result] { onStoreResult(result); });
    });
}

void ConfigService::watchStore()
{
    m_lastWatch = m_loop.now();
    m_store.watch(ConfigWriter::kKey, m_storeVersion, m_options.watchTimeout,
                  [this](const StoreResult &result) {
                      m_loop.post([this, result] { onStoreResult(result); });
                  });
}

void ConfigService::onStoreResult(const StoreResult &result)
{
    const bool absent = result.error == StoreError::NotFound;
    if (!result.ok() && !absent) {
        retryStore();
        return;
    }
    m_storeAnswered = true;
    // A watch that timed out returns the known version without the value.
    const bool changed = result.ok() && result.object.version > m_storeVersion;
    if (changed) {
        m_storeVersion = result.object.version;
        handleEvent(config::DocumentReceived{result.object.value, false});
    }
    // Backs off if the store answers a watch at once without a change, to avoid a tight loop.
    if (!changed && m_loop.now() - m_lastWatch < m_options.retryDelay) {
        retryStore();
        return;
    }
    m_retryDelay = m_options.retryDelay;
    watchStore();
}

void ConfigService::retryStore()
{
    // Jitter keeps the nodes from retrying all at once.
    const std::int64_t longest = m_retryDelay.count();
    const Duration wait(
            std::uniform_int_distribution<std::int64_t>(longest / 2, longest)(m_random));
    m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
    m_loop.after(wait, [this] {
        if (m_storeAnswered)
            watchStore();
        else
            readStore();
    });
}

void ConfigService::handleEvent(const config::Event &event)
{
    for (const auto &it : m_adopter.handle(event, m_loop.now()))
        perform(it);
}

void ConfigService::perform(const config::Action &action)
{
    if (const auto *adopted = std::get_if<config::Adopt>(&action)) {
        adopt(*adopted);
    } else if (const auto *pull = std::get_if<config::SendPull>(&action)) {
        peer::Envelope message;
        message.mutable_config_pull()->set_above_generation(pull->aboveGeneration);
        m_bus.send(pull->node, std::move(message));
    } else if (const auto *wanted = std::get_if<config::SendPush>(&action)) {
        push(wanted->node, true);
    } else if (std::holds_alternative<config::Spread>(action)) {
        propagate(std::get<config::Spread>(action).acceptedHere);
    } else if (const auto *refused = std::get_if<config::Refused>(&action)) {
        for (std::size_t i = 0; i < std::min(refused->faults.size(), kMaxLoggedFaults); ++i)
            logEvent(LogLevel::Error, "config_refused",
                     {{"generation", refused->generation},
                      {"path", refused->faults[i].path},
                      {"message", refused->faults[i].message}});
    }
}

void ConfigService::adopt(const config::Adopt &action)
{
    const auto &config = action.config;
    m_document = action.text;
    m_snapshot.set(config);
    m_bus.setConfigGeneration(config->generation);
    m_metrics.gauge(metric::kConfigGeneration, {}, static_cast<double>(config->generation));
    m_history.push_front({config->generation, config->author, m_clock.wallNow(), m_document});
    if (m_history.size() > m_options.historyLength)
        m_history.pop_back();
    logEvent(LogLevel::Info, "config_adopted",
             {{"generation", config->generation}, {"author", config->author}});
    for (std::size_t i = 0; i < m_listeners.size(); ++i)
        m_listeners[i](config);
}

void ConfigService::propagate(bool acceptedHere)
{
    std::vector<NodeId> others;
    for (const auto &it : m_membership.liveNodes()) {
        if (it.node != m_bus.self())
            others.push_back(it.node);
    }
    if (m_document.size() <= m_options.maxPushBytes) {
        // The node whose write the store accepted pushes it to all nodes; the others need not.
        if (acceptedHere) {
            for (const auto &it : others)
                push(it, true);
        }
        return;
    }
    // Each node notifies a random few, which pull it, so that no node sends a large document to
    // all.
    std::vector<NodeId> chosen;
    std::sample(others.begin(), others.end(), std::back_inserter(chosen), m_options.fanOut,
                m_random);
    for (const auto &it : chosen)
        push(it, false);
}

void ConfigService::push(const NodeId &node, bool withDocument)
{
    peer::Envelope message;
    message.mutable_config_push()->set_generation(m_adopter.generation());
    if (withDocument)
        message.mutable_config_push()->set_document(m_document);
    m_bus.send(node, std::move(message));
}

void ConfigService::apply(const std::string &document,
                          std::function<void(const ApplyResultInfo &)> done)
{
    m_loop.post([this, document, done = std::move(done)]() mutable {
        startApply(document, std::move(done));
    });
}

void ConfigService::startApply(const std::string &document,
                               std::function<void(const ApplyResultInfo &)> done)
{
    ParsedConfig parsed = ConfigDocument::parse(document);
    if (!parsed.ok()) {
        ApplyResultInfo info;
        info.status = ApplyStatus::Invalid;
        info.generation = m_adopter.generation();
        info.faults = std::move(parsed.faults);
        done(info);
        return;
    }
    const auto accepted = [this, document, done = std::move(done)](const ApplyResultInfo &info) {
        if (info.status == ApplyStatus::Accepted)
            handleEvent(config::DocumentReceived{document, true});
        done(info);
    };
    std::make_shared<ConfigWriter>(m_loop, m_store, document, std::move(parsed.config), current(),
                                   accepted)
            ->start();
}

void ConfigService::nodesInForce(std::uint64_t generation, Duration wait,
                                 std::function<void(const NodesInForce &)> done)
{
    m_loop.post([this, generation, wait, done = std::move(done)]() mutable {
        m_statusCollector.queryNodes(m_random(), generation, wait, std::move(done));
    });
}

std::vector<ConfigHistoryEntry> ConfigService::history() const
{
    return {m_history.begin(), m_history.end()};
}

} // namespace hawthornslip
