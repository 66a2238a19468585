#include "servers/membership/membership_service.h"

#include "core/logger.h"
#include "core/metric_names.h"
#include "servers/membership/membership_codec.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hawthornslip {

namespace {

MemberUpdate selfOf(const PeerBus &bus, const MembershipServiceOptions &options)
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
    , m_protocol(selfOf(bus, m_options), seed, loop.now(), m_options.detector)
{
    refresh();
    m_bus.observe([this](const NodeId &sender, const peer::Envelope &message) {
        if (sender != m_bus.self())
            give(membership::decode(sender, message));
    });
}

void MembershipService::start()
{
    m_loop.post([this] {
        give(membership::CandidatesListed{m_options.seeds});
        readVmList();
    });
    m_loop.every(m_options.detector.tickInterval, [this] { give(membership::Tick{}); });
    m_loop.every(m_options.vmListInterval, [this] { readVmList(); });
}

void MembershipService::announceLeaving()
{
    runOnLoop([this] { give(membership::LeaveRequested{}); });
}

void MembershipService::announceStopped()
{
    runOnLoop([this] {
        give(membership::StopRequested{});
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

void MembershipService::give(const membership::Event &event)
{
    if (m_stopped)
        return;
    for (const auto &it : m_protocol.handle(event, m_loop.now()))
        carryOut(it);
}

void MembershipService::carryOut(const membership::Action &action)
{
    if (auto outgoing = membership::encode(action)) {
        m_bus.send(outgoing->to, std::move(outgoing->message));
    } else if (const auto *close = std::get_if<membership::ClosePeer>(&action)) {
        m_transport.disconnect(close->node);
    } else if (const auto *taken = std::get_if<membership::AddressTaken>(&action)) {
        logEvent(LogLevel::Error, "address_taken",
                 {{"node", m_bus.self().value}, {"incarnation", taken->incarnation}});
    } else {
        refresh();
        // Iterates by index, since a listener may subscribe others.
        for (std::size_t i = 0; i < m_listeners.size(); ++i)
            m_listeners[i]();
    }
}

void MembershipService::readVmList()
{
    m_vmList.fetch([this](const std::optional<std::vector<VmEntry>> &entries) {
        m_loop.post([this, entries] { takeVmList(entries); });
    });
}

void MembershipService::takeVmList(const std::optional<std::vector<VmEntry>> &entries)
{
    // Without an answer the last list stays in use, since it only names candidates.
    if (!entries)
        return;
    m_listRead = true;
    std::set<NodeId> nodes(m_options.seeds.begin(), m_options.seeds.end());
    for (const auto &it : *entries)
        nodes.insert(it.node);
    give(membership::CandidatesListed{{nodes.begin(), nodes.end()}});
}

void MembershipService::refresh()
{
    m_live.clear();
    m_owners.clear();
    for (const auto &[node, member] : m_protocol.table().members()) {
        if (!member.live())
            continue;
        const bool leaving = member.update.state == MemberState::Leaving;
        m_live.push_back({node, member.update.incarnation, member.update.domain, leaving});
        if (!leaving)
            m_owners.push_back(node);
    }
    const auto dead = m_protocol.table().members().size() - m_live.size();
    m_metrics.gauge(metric::kMembers, {{"state", "live"}}, static_cast<double>(m_live.size()));
    m_metrics.gauge(metric::kMembers, {{"state", "leaving"}},
                    static_cast<double>(m_live.size() - m_owners.size()));
    m_metrics.gauge(metric::kMembers, {{"state", "dead"}}, static_cast<double>(dead));
}

} // namespace hawthornslip
