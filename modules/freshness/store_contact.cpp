#include "modules/freshness/store_contact.h"

#include <algorithm>

namespace hawthornslip {

void StoreContact::onFailed(TimePoint startedAt, TimePoint silentSince, TimePoint now)
{
    // A watch may have begun long before the store's last answer to another call.
    silentSince = std::max(silentSince, m_answeredAt);
    if (!m_awaySince) {
        m_awaySince = silentSince;
        m_firstFailureAt = now;
        m_isOutage = false;
        return;
    }
    m_awaySince = std::min(*m_awaySince, silentSince);
    m_isOutage = m_isOutage || startedAt >= m_firstFailureAt;
}

void StoreContact::onAnswered(TimePoint now)
{
    if (m_awaySince && m_isOutage)
        m_lastOutage = {now, now - *m_awaySince};
    m_awaySince.reset();
    m_answeredAt = now;
}

Duration StoreContact::awaySince(TimePoint since) const
{
    return m_lastOutage.endedAt >= since ? m_lastOutage.length : Duration(0);
}

} // namespace hawthornslip
