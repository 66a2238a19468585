#include "servers/lifecycle/lifecycle_service.h"

#include "core/logger.h"

#include <utility>

namespace hawthornslip {

namespace {

constexpr auto kTickInterval = milliseconds(50);

} // namespace

LifecycleService::LifecycleService(ControlLoop &loop, PeerBus &bus, MembershipService &membership,
                                   ConfigService &config, Duration balancerNotice,
                                   LifecycleHooks hooks)
    : m_loop(loop)
    , m_bus(bus)
    , m_membership(membership)
    , m_config(config)
    , m_hooks(std::move(hooks))
    , m_lifecycle(balancerNotice)
{
    m_bus.observe([this](const NodeId &sender, const peer::Envelope &message) {
        if (m_lifecycle.phase() == NodePhase::Starting && sender != m_bus.self())
            handleEvent(lifecycle::GenerationReported{sender, message.config_generation()});
    });
    m_config.subscribe([this](const auto &adopted) {
        handleEvent(lifecycle::GenerationAdopted{adopted->generation});
    });
}

void LifecycleService::start()
{
    m_loop.every(kTickInterval, [this] { tick(); });
}

void LifecycleService::requestStop()
{
    m_loop.post([this] { handleEvent(lifecycle::StopRequested{}); });
}

void LifecycleService::tick()
{
    if (m_lifecycle.phase() == NodePhase::Starting) {
        if (m_config.storeAnswered())
            handleEvent(lifecycle::StoreRead{m_config.storeHasDocument()});
        if (m_membership.candidatesKnown())
            handleEvent(lifecycle::CandidatesListed{m_membership.candidates()});
    }
    handleEvent(lifecycle::Tick{m_hooks.active ? m_hooks.active() : 0});
}

void LifecycleService::handleEvent(const lifecycle::Event &event)
{
    for (const auto &it : m_lifecycle.handle(event, m_loop.now()))
        perform(it);
}

void LifecycleService::perform(const lifecycle::Action &action)
{
    m_takesRequests = m_lifecycle.takesRequests();
    if (const auto *changed = std::get_if<lifecycle::PhaseChanged>(&action)) {
        m_phase = changed->phase;
        logEvent(LogLevel::Info, "phase_changed",
                 {{"phase", nameOf(kNodePhaseNames, changed->phase)}});
        if (m_hooks.phaseChanged)
            m_hooks.phaseChanged(changed->phase);
    } else if (std::holds_alternative<lifecycle::AnnounceLeaving>(action)) {
        m_membership.announceLeaving();
    } else if (std::holds_alternative<lifecycle::AnnounceStopped>(action)) {
        m_membership.announceStopped();
    }
}

} // namespace hawthornslip
