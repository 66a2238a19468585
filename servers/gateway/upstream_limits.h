#pragma once

#include "core/ids.h"
#include "core/interfaces/event_loop.h"
#include "core/interfaces/wire_dialect.h"
#include "modules/limits/token_bucket.h"
#include "servers/peers/peer_limits.h"

#include <functional>
#include <optional>

namespace hawthornslip {

/** The limits of requests that upstreams name in their answers, shared with the other nodes. */
class UpstreamLimits : public PeerLimits
{
public:
    using Apply = std::function<void(std::uint64_t, std::optional<double>)>;

    /** @param apply is called with the hash of an upstream's id when its limit has changed. */
    UpstreamLimits(EventLoop &loop, Apply apply);

    /** Records what an answer of @p upstream says about its limit. */
    void onAnswer(const UpstreamId &upstream, const ResponseMeta &answer);

    /** Applies all limits in force, for upstreams that were not known before. */
    void applyAll() const;

    /** Sets the callback for a change that the other nodes should get soon. */
    void onNews(std::function<void()> task) { m_news = std::move(task); }

    std::vector<LimitNotice> limitsForReport() override { return m_limits.takeForReport(); }
    std::vector<LimitNotice> limitsForSummary() override { return m_limits.takeForSummary(); }
    void onPeerLimits(const std::vector<LimitNotice> &notices, NewsOrigin origin) override;

private:
    EventLoop &m_loop;
    Apply m_apply;
    NamedLimits m_limits;
    TokenBucket m_lines;
    std::function<void()> m_news;
};

} // namespace hawthornslip
