#pragma once

#include "core/ids.h"
#include "core/profile.h"
#include "core/time.h"
#include "modules/config/config_fault.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornslip {

namespace config {

/** A document arrived from the store or a peer, or the store accepted it from this node. */
struct DocumentReceived
{
    std::string text;
    /** Whether the store accepted it from this node, which then has to tell the others. */
    bool acceptedHere = false;
};

/** A message from a peer carried the generation that the peer has in force. */
struct GenerationSeen
{
    NodeId node;
    std::uint64_t generation = 0;
};

/** A peer requests the document in force if its generation is above @p aboveGeneration. */
struct PullReceived
{
    NodeId node;
    std::uint64_t aboveGeneration = 0;
};

using Event = std::variant<DocumentReceived, GenerationSeen, PullReceived>;

/** Put the configuration into force. */
struct Adopt
{
    std::shared_ptr<const SharedConfig> config;
    std::string text;
};

/** Request the document of @p node if its generation is above @p aboveGeneration. */
struct SendPull
{
    NodeId node;
    std::uint64_t aboveGeneration = 0;
};

/** Send the document in force to @p node. */
struct SendPush
{
    NodeId node;
};

/** Propagate the document in force to other nodes. */
struct Spread
{
    /** Whether the store accepted it from this node. */
    bool acceptedHere = false;
};

/** A document with a higher generation was refused because of its faults. */
struct Refused
{
    std::uint64_t generation = 0;
    ConfigFaults faults;
};

using Action = std::variant<Adopt, SendPull, SendPush, Spread, Refused>;
using Actions = std::vector<Action>;

} // namespace config

/** Decides which configuration is in force: the valid document with the highest generation. */
class ConfigAdopter
{
public:
    /** Handles @p event at time @p now. @return the actions to carry out, in order. */
    config::Actions handle(const config::Event &event, TimePoint now);

    /** @return the generation in force; 0 before a document was adopted. */
    std::uint64_t generation() const { return m_generation; }

private:
    config::Actions on(const config::DocumentReceived &event, TimePoint now);
    config::Actions on(const config::GenerationSeen &event, TimePoint now);
    config::Actions on(const config::PullReceived &event, TimePoint now);

    std::uint64_t m_generation = 0;
    /** The generation last refused for its faults; it is not pulled again. */
    std::uint64_t m_refusedGeneration = 0;
    std::optional<TimePoint> m_lastPull;
    std::uint64_t m_pulledGeneration = 0;
    /** When the document in force was last sent to each peer. */
    std::map<NodeId, TimePoint> m_lastPush;
};

} // namespace hawthornslip
