#pragma once

#include "modules/membership/membership_events.h"
#include "peer.pb.h"

#include <optional>

/** Converts between the membership module and the messages of proto/peer.proto. */
namespace hawthornslip::membership {

/** A message and its recipient. */
struct OutgoingMessage
{
    NodeId to;
    peer::Envelope message;
};

/** @return the message for @p action, or nothing for an action that sends none. */
std::optional<OutgoingMessage> encode(const Action &action);

/** @return the event for @p message; a message of another service gives MessageReceived. */
Event decode(const NodeId &sender, const peer::Envelope &message);

} // namespace hawthornslip::membership
