#include "modules/peers/report_filter.h"

#include <utility>

namespace hawthornslip {

namespace {

// Number of reports that contain a change; losing two datagrams in a row is rare.
constexpr int kSendsPerChange = 2;
// Loads sent in round-robin order per report, so that a change whose reports were all lost is
// corrected within seconds.
constexpr std::size_t kRefreshedPerReport = 2;

} // namespace

std::vector<NodeLoad> ReportFilter::select(const std::vector<NodeLoad> &all)
{
    std::vector<NodeLoad> selected;
    for (std::size_t i = 0; i < all.size(); ++i) {
        Sent &sent = m_sent[all[i].upstreamHash];
        NodeLoad load = all[i];
        const auto speed = std::exchange(load.speed, sent.load.speed);
        if (sent.load != load)
            sent.sendsLeft = kSendsPerChange;
        if (load.speed != speed)
            sent.speedSendsLeft = kSendsPerChange;
        load.speed = speed;
        sent.load = load;
        const bool isRefreshed =
                (i + all.size() - m_refreshStart % all.size()) % all.size() < kRefreshedPerReport;
        if (sent.sendsLeft > 0 || isRefreshed) {
            if (sent.speedSendsLeft == 0 && !isRefreshed)
                load.speed.reset();
            sent.speedSendsLeft -= sent.speedSendsLeft > 0 ? 1 : 0;
            selected.push_back(load);
        }
        sent.sendsLeft -= sent.sendsLeft > 0 ? 1 : 0;
    }
    m_refreshStart += kRefreshedPerReport;
    return selected;
}

} // namespace hawthornslip
