#include "servers/gateway/upstream_limits.h"

#include "core/logger.h"
#include "modules/ownership/rendezvous_hash.h"

#include <utility>

namespace hawthornslip {

namespace {

// A limit that changes with each answer does not fill the log.
constexpr double kLinesPerSecond = 5;
constexpr double kLinesBurst = 100;

} // namespace

UpstreamLimits::UpstreamLimits(EventLoop &loop, Apply apply)
    : m_loop(loop)
    , m_apply(std::move(apply))
    , m_lines(kLinesPerSecond, kLinesBurst, loop.now())
{}

void UpstreamLimits::onAnswer(const UpstreamId &upstream, const ResponseMeta &answer)
{
    if (answer.isRequestLimitUnreadable && !answer.requestLimit)
        return;
    const std::uint64_t hash = rendezvousMemberHash(upstream.value);
    if (!m_limits.onAnswer(hash, answer.requestLimit, m_loop.now()))
        return;
    m_apply(hash, answer.requestLimit);
    if (m_news)
        m_news();
    if (!m_lines.tryTake(1, m_loop.now()))
        return;
    if (answer.requestLimit)
        logEvent(LogLevel::Info, "upstream_limited",
                 {{"upstream", upstream.value}, {"requests_per_second", *answer.requestLimit}});
    else
        logEvent(LogLevel::Info, "upstream_unlimited", {{"upstream", upstream.value}});
}

void UpstreamLimits::applyAll() const
{
    for (const auto &it : m_limits.all())
        m_apply(it.upstream, it.requestsPerSecond);
}

void UpstreamLimits::onPeerLimits(const std::vector<LimitNotice> &notices, NewsOrigin origin)
{
    for (const std::uint64_t it : m_limits.expire(m_loop.now()))
        m_apply(it, std::nullopt);
    for (const auto &it : notices) {
        if (m_limits.onPeer(it, origin))
            m_apply(it.upstream, it.requestsPerSecond);
    }
}

} // namespace hawthornslip
