#pragma once

#include "core/interfaces/metrics.h"
#include "core/interfaces/peer_transport.h"
#include "core/interfaces/vm_list.h"
#include "modules/membership/membership_protocol.h"
#include "servers/membership/membership_source.h"
#include "servers/peer/control_loop.h"
#include "servers/peer/peer_bus.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hawthornslip {

/** Location of this node and settings of discovery and failure detection. */
struct MembershipServiceOptions
{
    FailureDomain domain;
    std::string region;
    /** Addresses that are candidates in addition to those on the VM list. */
    std::vector<NodeId> seeds;
    Duration vmListInterval = seconds(5);
    DetectorSettings detector;
};

/** Tracks the live nodes by running the membership protocol over the peer bus. */
class MembershipService : public MembershipSource
{
public:
    /**
     * Registers with @p bus. All references must outlive this object, and @p loop must be stopped
     * before it is destroyed.
     *
     * @param seed seed of the random engine; must differ on each start of the process.
     */
    MembershipService(ControlLoop &loop, PeerBus &bus, PeerTransport &transport, VmList &vmList,
                      Metrics &metrics, std::uint64_t seed, MembershipServiceOptions options);

    /** Starts discovery and probing of the other nodes; may be called from any thread. */
    void start();

    /** Announces to all nodes that this one is draining; may be called from any thread. */
    void announceLeaving();

    /**
     * Announces to all nodes that this one is stopped and ends probing; the last call before the
     * process stops. May be called from any thread.
     */
    void announceStopped();

    const std::vector<LiveNode> &liveNodes() const override { return m_liveNodes; }
    const std::vector<NodeId> &ownerCandidates() const override { return m_ownerCandidates; }
    void subscribe(Listener listener) override;

    /** @return the other nodes on the VM list and among the seeds. Control thread only. */
    const std::vector<NodeId> &candidates() const { return m_protocol.candidates(); }

    /** @return true once the VM list was read; StaticVmList stands in if the platform has none. */
    bool candidatesKnown() const { return m_vmListRead; }

private:
    void runOnLoop(ControlLoop::Task task);
    void handleEvent(const membership::Event &event);
    void perform(const membership::Action &action);
    void readVmList();
    void onVmList(const std::optional<std::vector<VmEntry>> &entries);
    void updateLiveNodes();

    ControlLoop &m_loop;
    PeerBus &m_bus;
    PeerTransport &m_transport;
    VmList &m_vmList;
    Metrics &m_metrics;
    MembershipServiceOptions m_options;
    MembershipProtocol m_protocol;
    std::vector<LiveNode> m_liveNodes;
    std::vector<NodeId> m_ownerCandidates;
    std::vector<Listener> m_listeners;
    bool m_vmListRead = false;
    bool m_stopped = false;
};

} // namespace hawthornslip
