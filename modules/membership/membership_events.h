#pragma once

#include "core/ids.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/** What goes into the membership modules and what comes out of them. */
namespace hawthornslip {

/**
 * The state of a node. With the same incarnation and refutation the later value wins; Suspect is
 * never stored, it asks the receiver to check the node itself.
 */
enum class MemberState { Alive, Leaving, Dead, Suspect };

/** A statement about one node. */
struct MemberUpdate
{
    NodeId node;
    /** Start time of the process in microseconds, so that a restart has a higher one. */
    std::uint64_t incarnation = 0;
    /** Raised by the node itself when others take it for dead. */
    std::uint32_t refutation = 0;
    MemberState state = MemberState::Alive;
    FailureDomain domain;
    std::string region;

    bool operator==(const MemberUpdate &) const = default;
};

namespace membership {

/** Time passed; to be given every kTickInterval of the failure detector. */
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
    /** The node that answered when the sender only passes the answer on. */
    NodeId target;
    std::vector<MemberUpdate> updates;
};

/** A node asks for an indirect probe. */
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

/** Any other message arrived. */
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

/** The node is gone: its connection can be closed. */
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
