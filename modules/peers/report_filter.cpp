#include "modules/peers/report_filter.h"

namespace hawthornslip {

namespace {

// Reports that hold a change; a datagram is lost now and then, two in a row seldom.
constexpr int kRepeats = 2;
// Unchanged loads in each report, so that a loss of all repeats heals within seconds.
constexpr std::size_t kRefreshed = 2;

} // namespace

std::vector<NodeLoad> ReportFilter::select(const std::vector<NodeLoad> &all)
{
    std::vector<NodeLoad> chosen;
    for (std::size_t i = 0; i < all.size(); ++i) {
        Sent &sent = m_sent[all[i].upstreamHash];
        if (sent.load != all[i])
            sent = Sent{all[i], kRepeats};
        const bool isTurn = (i + all.size() - m_turn % all.size()) % all.size() < kRefreshed;
        if (sent.repeats > 0 || isTurn)
            chosen.push_back(all[i]);
        sent.repeats -= sent.repeats > 0 ? 1 : 0;
    }
    m_turn += kRefreshed;
    return chosen;
}

} // namespace hawthornslip
