#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** Events and actions of the membership protocol. */
namespace hawthornslip {

/**
 * The state of a node. For equal incarnation and refutation the higher value takes precedence.
 * Suspect is never stored; it asks the receiver to check the node itself.
 */
enum class MemberState { Alive, Leaving, Dead, Suspect };

/** The state of one node as reported by itself or by another node. */
struct MemberUpdate
{
    NodeId node;
    /** Start time of the process in microseconds, so that a restart has a higher one. */
    std::uint64_t incarnation = 0;
    /** Raised by the node itself when another node reports it dead. */
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    FailureDomain domain;
    std::string region;

    bool operator==(const MemberUpdate &) const = default;
};

namespace membership {

/** Periodic timer; to be sent every DetectorSettings::tickInterval. */
struct Tick
{};

/** The nodes that the VM list and the seeds name. */
struct CandidatesListed
{
    std::vector<NodeId> nodes;
};

/** A Probe arrived. */
struct ProbeReceived
{
    NodeId sender;
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;
    std::uint32_t digest = 0;
    std::vector<MemberUpdate> updates;
};

/** A ProbeAck arrived. */
struct AckReceived
{
    NodeId sender;
    std::uint64_t incarnation = 0;
    std::uint64_t nonce = 0;
    std::uint32_t digest = 0;
    /** For an indirect probe: the probed node, whose answer the sender forwards. Else empty. */
    NodeId target;
    std::vector<MemberUpdate> updates;
};

/** A ProbeRequest arrived: @p sender asks this node to probe @p target on its behalf. */
struct ProbeRequestReceived
{
    NodeId sender;
    std::uint64_t nonce = 0;
    NodeId target;
};

/** A MemberUpdates message arrived. */
struct UpdatesReceived
{
    NodeId sender;
    std::uint64_t incarnation = 0;
    std::vector<MemberUpdate> updates;
    bool fullStateWanted = false;
};

/** A message of another service arrived. */
struct MessageReceived
{
    NodeId sender;
    std::uint64_t incarnation = 0;
};

/** This node starts to drain. */
struct LeaveRequested
{};

/** This node is about to exit. */
struct StopRequested
{};

using Event = std::variant<Tick, CandidatesListed, ProbeReceived, AckReceived, ProbeRequestReceived,
                           UpdatesReceived, MessageReceived, LeaveRequested, StopRequested>;

struct SendProbe
{
    NodeId to;
    std::uint64_t nonce = 0;
    std::uint32_t digest = 0;
    /** The node that asked for an indirect probe, or empty. */
    NodeId onBehalfOf;
    std::vector<MemberUpdate> updates;
};

struct SendAck
{
    NodeId to;
    std::uint64_t nonce = 0;
    std::uint32_t digest = 0;
    NodeId target;
    std::vector<MemberUpdate> updates;
};

struct SendProbeRequest
{
    NodeId to;
    std::uint64_t nonce = 0;
    NodeId target;
};

struct SendUpdates
{
    NodeId to;
    std::vector<MemberUpdate> updates;
    bool fullStateWanted = false;
};

/** The node is dead; its connection can be closed. */
struct ClosePeer
{
    NodeId node;
};

/** The set of live nodes, or the state of one, changed. */
struct LiveNodesChanged
{};

/** Another process with a higher incarnation uses this node's address. */
struct AddressTaken
{
    std::uint64_t incarnation = 0;
};

using Action = std::variant<SendProbe, SendAck, SendProbeRequest, SendUpdates, ClosePeer,
                            LiveNodesChanged, AddressTaken>;
using Actions = std::vector<Action>;

} // namespace membership

} // namespace hawthornslip
