#pragma once

#include "core/time.h"
#include "modules/freshness/state_log.h"

#include <optional>
#include <string>

namespace hawthornslip {

/** Answer of a node that passes shared state on to another one. */
struct StateReply
{
    StateChanges changes;
    /** Time since the store confirmed the state to the answering node, when it answers. */
    Duration age{0};
    /** How long the answering node held the call. */
    Duration held{0};
    /** The store has an older state than this reply. */
    bool isStoreBehind = false;
};

/** @return the bytes of @p reply on the wire. */
std::string encodeState(const StateReply &reply);

/** @return the reply, or nothing when @p bytes are not a valid one. */
std::optional<StateReply> decodeState(const std::string &bytes);

} // namespace hawthornslip
