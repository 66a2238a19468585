#include "modules/queueing/engine_room.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthornslip {

namespace {

// A node gets a few requests of each kind per second.
constexpr Duration kWindow = seconds(4);
// Share of an engine's time that prompts may use; the rest is left for decoding.
constexpr double kPrefillShare = 0.65;

} // namespace

void EngineRoom::onAsked(const EngineTime &time, TimePoint now)
{
    const double left = std::exp(-toSeconds(now - m_updatedAt) / toSeconds(kWindow));
    m_prefill = left * m_prefill + toSeconds(time.prefill);
    m_slot = left * m_slot + toSeconds(time.slot);
    m_updatedAt = now;
}

double EngineRoom::perSecond(std::size_t engines) const
{
    const double total = m_prefill + m_slot;
    // Whichever runs out first: time for prompts, or slots.
    double perEngine = std::numeric_limits<double>::infinity();
    if (m_prefill > 0)
        perEngine = std::min(perEngine, kPrefillShare * total / m_prefill);
    if (m_slot > 0)
        perEngine = std::min(perEngine, total / m_slot);
    return perEngine * static_cast<double>(engines);
}

} // namespace hawthornslip
