#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace hawthornslip {

/** The phases of a node, in their order. */
enum class NodePhase { Starting, Ready, Draining, Stopped };

inline constexpr EnumNames<NodePhase, 4> kNodePhaseNames = {{
        {NodePhase::Starting, "starting"},
        {NodePhase::Ready, "ready"},
        {NodePhase::Draining, "draining"},
        {NodePhase::Stopped, "stopped"},
}};

namespace lifecycle {

/** The object store answered a read of the configuration. */
struct StoreRead
{
    /** Whether there was a document. */
    bool present = false;
};

/** The nodes that the VM list and the seeds name, without this one. */
struct CandidatesListed
{
    std::vector<NodeId> nodes;
};

/** A node reported the generation that it has in force. */
struct GenerationReported
{
    NodeId node;
    std::uint64_t generation = 0;
};

/** This node put a generation in force. */
struct GenerationAdopted
{
    std::uint64_t generation = 0;
};

/** The node is asked to stop in an orderly way. */
struct StopRequested
{};

/** Time passed. */
struct Tick
{
    /** Requests and streams that are not finished. */
    std::size_t active = 0;
};

using Event = std::variant<StoreRead, CandidatesListed, GenerationReported, GenerationAdopted,
                           StopRequested, Tick>;

/** The node entered another phase. */
struct PhaseChanged
{
    NodePhase phase = NodePhase::Starting;
};

/** Tell the other nodes that this one takes no ownership any more. */
struct AnnounceLeaving
{};

/** Refuse new requests from now on: the load balancer had its time to notice. */
struct RefuseNewRequests
{};

/** Tell the other nodes that this one is gone. */
struct AnnounceStopped
{};

using Action = std::variant<PhaseChanged, AnnounceLeaving, RefuseNewRequests, AnnounceStopped>;
using Actions = std::vector<Action>;

} // namespace lifecycle

/**
 * Decides when a node is ready and how it stops. It is ready once it has read the configuration
 * from the store. While the store is out it is ready once a majority of the deployment, itself
 * included, has told its generation and the highest of them is in force here.
 */
class NodeLifecycle
{
public:
    /** @param balancerNotice how long new requests are taken after the node turned unready. */
    explicit NodeLifecycle(Duration balancerNotice);

    /** Takes @p event at @p now. @return what to do, in order. */
    lifecycle::Actions handle(const lifecycle::Event &event, TimePoint now);

    NodePhase phase() const { return m_phase; }

    /** @return true while new requests are taken. */
    bool takesRequests() const { return m_takesRequests; }

private:
    void on(const lifecycle::StoreRead &event, TimePoint now);
    void on(const lifecycle::CandidatesListed &event, TimePoint now);
    void on(const lifecycle::GenerationReported &event, TimePoint now);
    void on(const lifecycle::GenerationAdopted &event, TimePoint now);
    void on(const lifecycle::StopRequested &event, TimePoint now);
    void on(const lifecycle::Tick &event, TimePoint now);

    void enter(NodePhase phase);
    void becomeReadyIfPossible();
    bool hasStoreConfiguration() const;
    bool hasMajorityConfiguration() const;

    Duration m_balancerNotice;
    NodePhase m_phase = NodePhase::Starting;
    bool m_takesRequests = false;
    std::optional<bool> m_storeHasDocument;
    std::optional<std::vector<NodeId>> m_candidates;
    std::map<NodeId, std::uint64_t> m_reportedGenerations;
    std::uint64_t m_generation = 0;
    TimePoint m_refuseFrom;
    lifecycle::Actions m_actions;
};

} // namespace hawthornslip
