#include "servers/request_path/filter_chain.h"

#include <utility>

namespace hawthornslip {

void FilterChain::add(std::unique_ptr<Filter> filter)
{
    m_filters.push_back(std::move(filter));
}

boost::leaf::result<void> FilterChain::run(RequestContext &context) const
{
    boost::leaf::result<void> result;
    std::size_t entered = 0;
    while (entered < m_filters.size() && result) {
        result = m_filters[entered]->process(context);
        ++entered;
    }
    while (entered > 0)
        m_filters[--entered]->finish(context);
    return result;
}

} // namespace hawthornslip
