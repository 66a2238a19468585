#pragma once

#include "modules/lifecycle/node_lifecycle.h"
#include "servers/config/config_service.h"
#include "servers/membership/membership_service.h"
#include "servers/peer/control_loop.h"
#include "servers/peer/peer_bus.h"

#include <atomic>
#include <cstddef>
#include <functional>

namespace hawthornslip {

/** Callbacks of LifecycleService into its node. */
struct LifecycleHooks
{
    /** Returns the number of unfinished requests and streams; called on the loop's thread. */
    std::function<std::size_t()> active;
    /** Called on the loop's thread on each change of the phase; may be empty. */
    std::function<void(NodePhase)> phaseChanged;
};

/** Runs the lifecycle of this node: feeds NodeLifecycle with events and performs its actions. */
class LifecycleService
{
public:
    /**
     * Registers with @p bus and @p config. All references must outlive this object, and @p loop
     * must be stopped before it is destroyed.
     *
     * @param balancerNotice time that new requests are still taken while draining, so that the
     *        load balancer can notice.
     */
    LifecycleService(ControlLoop &loop, PeerBus &bus, MembershipService &membership,
                     ConfigService &config, Duration balancerNotice, LifecycleHooks hooks);

    /** Starts the periodic check of the node's state; may be called from any thread. */
    void start();

    /** Begins a graceful stop, which ends in the phase Stopped; may be called from any thread. */
    void requestStop();

    /** @return the current phase, for `/readyz`; may be called from any thread. */
    NodePhase phase() const { return m_phase.load(); }

    /** @return true while new requests are taken; may be called from any thread. */
    bool takesRequests() const { return m_takesRequests.load(); }

private:
    void tick();
    void handleEvent(const lifecycle::Event &event);
    void perform(const lifecycle::Action &action);

    ControlLoop &m_loop;
    PeerBus &m_bus;
    MembershipService &m_membership;
    ConfigService &m_config;
    LifecycleHooks m_hooks;
    NodeLifecycle m_lifecycle;
    std::atomic<NodePhase> m_phase{NodePhase::Starting};
    std::atomic<bool> m_takesRequests{false};
};

} // namespace hawthornslip
