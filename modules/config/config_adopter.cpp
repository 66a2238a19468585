#include "modules/config/config_adopter.h"

#include "modules/config/config_document.h"

#include <utility>

namespace hawthornslip {

namespace {

using namespace config; // NOLINT(google-build-using-namespace)

// A pull without a result is repeated after this time, to the next peer that reports a higher
// generation.
constexpr auto kPullRetryInterval = milliseconds(300);
// Lets a peer repeat its pull after a lost answer, but bounds how often this node sends to it.
constexpr auto kMinPushInterval = milliseconds(200);

} // namespace

Actions ConfigAdopter::handle(const Event &event, TimePoint now)
{
    return std::visit([&](const auto &it) { return on(it, now); }, event);
}

Actions ConfigAdopter::on(const DocumentReceived &event, TimePoint)
{
    ParsedConfig parsed = ConfigDocument::parse(event.text);
    const std::uint64_t generation = parsed.config.generation;
    if (!parsed.ok()) {
        if (generation <= m_generation || generation == m_refusedGeneration)
            return {};
        m_refusedGeneration = generation;
        return {Refused{generation, std::move(parsed.faults)}};
    }
    // The store watch may deliver the document before the store confirms this node's write.
    if (generation == m_generation && event.acceptedHere)
        return {Spread{true}};
    if (generation <= m_generation)
        return {};
    m_generation = generation;
    m_lastPush.clear();
    return {Adopt{std::make_shared<const SharedConfig>(std::move(parsed.config)), event.text},
            Spread{event.acceptedHere}};
}

Actions ConfigAdopter::on(const GenerationSeen &event, TimePoint now)
{
    if (event.generation <= m_generation || event.generation == m_refusedGeneration)
        return {};
    const bool waiting = m_lastPull && now - *m_lastPull < kPullRetryInterval;
    if (waiting && event.generation <= m_pulledGeneration)
        return {};
    m_lastPull = now;
    m_pulledGeneration = event.generation;
    return {SendPull{event.node, m_generation}};
}

Actions ConfigAdopter::on(const PullReceived &event, TimePoint now)
{
    if (event.aboveGeneration >= m_generation)
        return {};
    const auto last = m_lastPush.find(event.node);
    if (last != m_lastPush.end() && now - last->second < kMinPushInterval)
        return {};
    m_lastPush[event.node] = now;
    return {SendPush{event.node}};
}

} // namespace hawthornslip
