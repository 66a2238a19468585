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

/** A document arrived from the store or a peer, or was just accepted here. */
struct DocumentReceived
{
    std::string text;
    /** Whether this node had the store accept it, so that others must be told. */
    bool acceptedHere = false;
};

/** A peer's message carried the generation that it has in force. */
struct GenerationSeen
{
    NodeId node;
    std::uint64_t generation = 0;
};

/** A peer asks for the document. */
struct PullReceived
{
    NodeId node;
    std::uint64_t aboveGeneration = 0;
};

using Event = std::variant<DocumentReceived, GenerationSeen, PullReceived>;

/** The configuration is in force from now on. */
struct Adopt
{
    std::shared_ptr<const SharedConfig> config;
    std::string text;
};

/** Ask @p node for its document. */
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

/** Tell other nodes about the document in force. */
struct Spread
{
    /** Whether this node had the store accept it, and so is the first to know. */
    bool acceptedHere = false;
};

/** A document was refused; it has a higher generation and faults. */
struct Refused
{
    std::uint64_t generation = 0;
    ConfigFaults faults;
};

using Action = std::variant<Adopt, SendPull, SendPush, Spread, Refused>;
using Actions = std::vector<Action>;

} // namespace config

/** Decides which configuration is in force: the highest generation seen, never a lower one. */
class ConfigAdopter
{
public:
    /** Takes @p event at @p now. @return what to do, in order. */
    config::Actions handle(const config::Event &event, TimePoint now);

    /** @return the generation in force; 0 before the first. */
    std::uint64_t generation() const { return m_generation; }

private:
    config::Actions on(const config::DocumentReceived &event, TimePoint now);
    config::Actions on(const config::GenerationSeen &event, TimePoint now);
    config::Actions on(const config::PullReceived &event, TimePoint now);

    std::uint64_t m_generation = 0;
    /** The generation last refused for its faults; it is not asked for again. */
    std::uint64_t m_refusedGeneration = 0;
    std::optional<TimePoint> m_lastPull;
    std::uint64_t m_pulledGeneration = 0;
    /** When the document in force was last sent to a peer. */
    std::map<NodeId, TimePoint> m_lastPush;
};

} // namespace hawthornslip
