#include "servers/membership/membership_service.h"

#include "core/logger.h"
#include "core/metric_names.h"
#include "servers/membership/membership_codec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hawthornslip {

namespace {

MemberUpdate initialSelfUpdate(const PeerBus &bus, const MembershipServiceOptions &options)
{
    MemberUpdate self;
    self.node = bus.self();
    self.incarnation = bus.incarnation();
    self.domain = options.domain;
    self.region = options.region;
    return self;
}

} // namespace

MembershipService::MembershipService(ControlLoop &loop, PeerBus &bus, PeerTransport &transport,
                                     VmList &vmList, Metrics &metrics, std::uint64_t seed,
                                     MembershipServiceOptions options)
    : m_loop(loop)
    , m_bus(bus)
    , m_transport(transport)
    , m_vmList(vmList)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_protocol(initialSelfUpdate(bus, m_options), seed, loop.now(), m_options.detector)
{
    updateLiveNodes();
    m_bus.observe([this](const NodeId &sender, const peer::Envelope &message) {
        if (sender != m_bus.self())
            handleEvent(membership::decode(sender, message));
    });
}

void MembershipService::start()
{
    m_loop.post([this] {
        handleEvent(membership::CandidatesListed{m_options.seeds});
        readVmList();
    });
    m_loop.every(m_options.detector.tickInterval, [this] { handleEvent(membership::Tick{}); });
    m_loop.every(m_options.vmListInterval, [this] { readVmList(); });
}

void MembershipService::announceLeaving()
{
    runOnLoop([this] { handleEvent(membership::LeaveRequested{}); });
}

void MembershipService::announceStopped()
{
    runOnLoop([this] {
        handleEvent(membership::StopRequested{});
        m_stopped = true;
    });
}

void MembershipService::runOnLoop(ControlLoop::Task task)
{
    // A posted task would be dropped if the process stops right after the call.
    if (m_loop.onLoopThread())
        task();
    else
        m_loop.post(std::move(task));
}

void MembershipService::subscribe(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

void MembershipService::handleEvent(const membership::Event &event)
{
    if (m_stopped)
        return;
    for (const auto &it : m_protocol.handle(event, m_loop.now()))
        perform(it);
}

void MembershipService::perform(const membership::Action &action)
{
    if (auto outgoing = membership::encode(action)) {
        m_bus.send(outgoing->to, std::move(outgoing->message));
    } else if (const auto *close = std::get_if<membership::ClosePeer>(&action)) {
        m_transport.disconnect(close->node);
    } else if (const auto *taken = std::get_if<membership::AddressTaken>(&action)) {
        logEvent(LogLevel::Error, "address_taken",
                 {{"node", m_bus.self().value}, {"incarnation", taken->incarnation}});
    } else {
        updateLiveNodes();
        // Iterates by index, since a listener may subscribe others.
        for (std::size_t i = 0; i < m_listeners.size(); ++i)
            m_listeners[i]();
    }
}

void MembershipService::readVmList()
{
    m_vmList.fetch([this](const std::optional<std::vector<VmEntry>> &entries) {
        m_loop.post([this, entries] { onVmList(entries); });
    });
}

void MembershipService::onVmList(const std::optional<std::vector<VmEntry>> &entries)
{
    // Without an answer the last list stays in use, since it only names candidates.
    if (!entries)
        return;
    m_vmListRead = true;
    std::set<NodeId> nodes(m_options.seeds.begin(), m_options.seeds.end());
    for (const auto &it : *entries)
        nodes.insert(it.node);
    handleEvent(membership::CandidatesListed{{nodes.begin(), nodes.end()}});
}

void MembershipService::updateLiveNodes()
{
    m_liveNodes.clear();
    m_ownerCandidates.clear();
    for (const auto &[node, member] : m_protocol.table().members()) {
        if (!member.live())
            continue;
        const bool leaving = member.update.state == MemberState::Leaving;
        m_liveNodes.push_back({node, member.update.incarnation, member.update.domain, leaving});
        if (!leaving)
            m_ownerCandidates.push_back(node);
    }
    const auto dead = m_protocol.table().members().size() - m_liveNodes.size();
    m_metrics.gauge(metric::kMembers, {{"state", "live"}}, static_cast<double>(m_liveNodes.size()));
    m_metrics.gauge(metric::kMembers, {{"state", "leaving"}},
                    static_cast<double>(m_liveNodes.size() - m_ownerCandidates.size()));
    m_metrics.gauge(metric::kMembers, {{"state", "dead"}}, static_cast<double>(dead));
}

} // namespace hawthornslip
