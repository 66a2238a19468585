#include "modules/limits/request_share.h"

#include <cmath>

namespace hawthornslip {

namespace {

// Long enough for some requests at each node, short enough to follow callers that move.
constexpr Duration kTimeConstant = seconds(5);

double decayed(double value, Duration elapsed)
{
    return value * std::exp(-toSeconds(elapsed) / toSeconds(kTimeConstant));
}

} // namespace

void RequestShare::onRequest(TimePoint now)
{
    m_own = decayed(m_own, now - m_ownAt) + 1;
    m_ownAt = now;
}

void RequestShare::onPeers(std::uint64_t requests, TimePoint now)
{
    // Decays at reports only: peers that are not heard are assumed to get as many as before.
    m_peers = decayed(m_peers, now - m_peersAt) + static_cast<double>(requests);
    m_peersAt = now;
}

double RequestShare::value(TimePoint now) const
{
    const double own = decayed(m_own, now - m_ownAt);
    const double all = own + m_peers;
    return all > 0 ? own / all : 1;
}

} // namespace hawthornslip
