#pragma once

#include "modules/membership/membership_events.h"
#include "peer.pb.h"

#include <optional>

/** Translates between the membership module and the messages of proto/peer.proto. */
namespace hawthornslip::membership {

/** A message and the node that gets it. */
struct Outgoing
{
    NodeId to;
    peer::Envelope message;
};

/** @return the message that carries out @p action, or nothing for an action that sends none. */
std::optional<Outgoing> encode(const Action &action);

/** @return the event that @p message stands for; messages of other services are MessageReceived. */
Event decode(const NodeId &sender, const peer::Envelope &message);

} // namespace hawthornslip::membership
