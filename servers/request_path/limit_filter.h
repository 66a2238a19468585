#pragma once

#include "servers/request_path/filter_chain.h"
#include "servers/request_path/path_services.h"

namespace hawthornslip {

/** Enforces the body size limit and the request rate of the workspace. */
class LimitFilter : public Filter
{
public:
    explicit LimitFilter(const PathServices &services)
        : m_services(services)
    {}

    std::string_view name() const override { return "limit"; }
    boost::leaf::result<void> process(RequestContext &context) override;

private:
    const PathServices &m_services;
};

} // namespace hawthornslip
