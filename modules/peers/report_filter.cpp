#include "modules/peers/report_filter.h"

namespace hawthornslip {

namespace {

// Number of reports that contain a change; losing two datagrams in a row is rare.
constexpr int kRepeats = 2;
// Loads sent in round-robin order per report, so that a change whose reports were all lost is
// corrected within seconds.
constexpr std::size_t kRefreshed = 2;

} // namespace

std::vector<NodeLoad> ReportFilter::select(const std::vector<NodeLoad> &all)
{
    std::vector<NodeLoad> chosen;
    for (std::size_t i = 0; i < all.size(); ++i) {
        Sent &sent = m_sent[all[i].upstream];
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
