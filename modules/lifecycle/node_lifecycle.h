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

/** The phases of a node, in order. */
enum class NodePhase { Starting, Ready, Draining, Stopped };

inline constexpr EnumNames<NodePhase, 4> kNodePhaseNames = {{
        {NodePhase::Starting, "starting"},
        {NodePhase::Ready, "ready"},
        {NodePhase::Draining, "draining"},
        {NodePhase::Stopped, "stopped"},
}};

namespace lifecycle {

/** The object store returned the result of a configuration read. */
struct StoreRead
{
    /** Whether the store has a configuration document. */
    bool present = false;
};

/** The nodes from the VM list and the seeds, without this one. */
struct CandidatesListed
{
    std::vector<NodeId> nodes;
};

/** A node reported its active configuration generation. */
struct GenerationReported
{
    NodeId node;
    std::uint64_t generation = 0;
};

/** This node activated a configuration generation. */
struct GenerationAdopted
{
    std::uint64_t generation = 0;
};

/** A graceful shutdown was requested. */
struct StopRequested
{};

/** Periodic timer event. */
struct Tick
{
    /** Requests and streams in progress. */
    std::size_t active = 0;
};

using Event = std::variant<StoreRead, CandidatesListed, GenerationReported, GenerationAdopted,
                           StopRequested, Tick>;

/** The node entered a new phase. */
struct PhaseChanged
{
    NodePhase phase = NodePhase::Starting;
};

/** Tell the other nodes that this one no longer takes ownership of groups. */
struct AnnounceLeaving
{};

/** Refuse new requests: the notice period for the load balancer is over. */
struct RefuseNewRequests
{};

/** Tell the other nodes that this one has stopped. */
struct AnnounceStopped
{};

using Action = std::variant<PhaseChanged, AnnounceLeaving, RefuseNewRequests, AnnounceStopped>;
using Actions = std::vector<Action>;

} // namespace lifecycle

/**
 * State machine for startup and graceful shutdown of a node. The node becomes ready once it has
 * read the configuration from the store. During a store outage it becomes ready once a majority of
 * the deployment, itself included, has reported its generation and the highest one is active here.
 */
class NodeLifecycle
{
public:
    /** @param balancerNotice how long new requests are accepted after the node becomes unready. */
    explicit NodeLifecycle(Duration balancerNotice);

    /** Processes @p event at @p now. @return the actions to perform, in order. */
    lifecycle::Actions handle(const lifecycle::Event &event, TimePoint now);

    NodePhase phase() const { return m_phase; }

    /** @return true while new requests are accepted. */
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
