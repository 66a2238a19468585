#pragma once

#include "servers/request_path/request_error.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <string_view>
#include <vector>

namespace hawthornslip {

struct RequestContext;

/** One step of the request path. Instances are shared by all requests and hold no request state. */
class Filter
{
public:
    virtual ~Filter() = default;

    /** @return the name of the step, for logs and metrics. */
    virtual std::string_view name() const = 0;

    /** Handles @p context; an error (a RequestError) ends the request. */
    virtual boost::leaf::result<void> process(RequestContext &context) = 0;

    /**
     * Called in reverse order once the answer was sent or the caller left. It is called for every
     * filter, also for those that were not reached, so that refusals are accounted as well.
     */
    virtual void finish(RequestContext & /*context*/) {}
};

/** The filters of a request in their order. */
class FilterChain
{
public:
    /** Appends @p filter; all filters are added before the first request. */
    void add(std::unique_ptr<Filter> filter);

    /**
     * Runs the filters until one fails.
     *
     * @return nothing, or the RequestError of the filter that failed.
     */
    boost::leaf::result<void> process(RequestContext &context) const;

    /** Ends the request in all filters; required once after process(). */
    void finish(RequestContext &context) const;

private:
    std::vector<std::unique_ptr<Filter>> m_filters;
};

} // namespace hawthornslip
