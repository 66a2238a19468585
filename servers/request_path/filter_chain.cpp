#include "servers/request_path/filter_chain.h"

#include <utility>

namespace hawthornslip {

void FilterChain::add(std::unique_ptr<Filter> filter)
{
    m_filters.push_back(std::move(filter));
}

boost::leaf::result<void> FilterChain::process(RequestContext &context) const
{
    for (const auto &it : m_filters) {
        if (auto result = it->process(context); !result)
            return result;
    }
    return {};
}

void FilterChain::finish(RequestContext &context) const
{
    for (auto it = m_filters.rbegin(); it != m_filters.rend(); ++it)
        (*it)->finish(context);
}

} // namespace hawthornslip
