#pragma once

#include "servers/request_path/filter_chain.h"
#include "servers/request_path/path_services.h"

namespace hawthornslip {

/** Records the metrics and the access log entry of each request. */
class AccountFilter : public Filter
{
public:
    explicit AccountFilter(const PathServices &services)
        : m_services(services)
    {}

    std::string_view name() const override { return "account"; }
    boost::leaf::result<void> process(RequestContext &context) override;
    void finish(RequestContext &context) override;

private:
    const PathServices &m_services;
};

} // namespace hawthornslip
