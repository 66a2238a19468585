#include "servers/membership/upstream_vm_filter.h"

#include <unordered_map>
#include <utility>

namespace hawthornslip {

namespace {

using UpstreamsByAddress = std::unordered_multimap<std::string, UpstreamId>;

UpstreamsByAddress indexByAddress(const SharedConfig &config)
{
    UpstreamsByAddress index;
    for (const auto &it : config.upstreams)
        index.emplace(authorityOf(it.url), it.id);
    return index;
}

} // namespace

std::string authorityOf(const std::string &url)
{
    const auto scheme = url.find("://");
    if (scheme == std::string::npos)
        return {};
    const auto start = scheme + 3;
    std::string authority = url.substr(start, url.find_first_of("/?#", start) - start);
    if (authority.find(':') == std::string::npos)
        authority += url.starts_with("https") ? ":443" : ":80";
    return authority;
}

UpstreamVmFilter::UpstreamVmFilter(VmList &list, const ConfigSource &config, Listener leaving)
    : m_list(list)
    , m_config(config)
    , m_onLeaving(std::move(leaving))
{}

void UpstreamVmFilter::fetch(Callback done)
{
    m_list.fetch([this, done = std::move(done)](const auto &entries) {
        // Without an answer the last reported leaving upstreams remain valid.
        if (!entries) {
            done(entries);
            return;
        }
        const auto index = indexByAddress(*m_config.current());
        std::vector<VmEntry> nodes;
        std::vector<UpstreamId> leaving;
        for (const auto &it : *entries) {
            const auto [first, last] = index.equal_range(it.node.value);
            if (first == last)
                nodes.push_back(it);
            for (auto found = first; it.leaving && found != last; ++found)
                leaving.push_back(found->second);
        }
        m_onLeaving(std::move(leaving));
        done(nodes);
    });
}

} // namespace hawthornslip
