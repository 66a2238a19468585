#pragma once

#include "servers/request_path/filter_chain.h"
#include "servers/request_path/path_services.h"

namespace hawthornslip {

/** Checks the size of the request and the rate of its workspace. */
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
