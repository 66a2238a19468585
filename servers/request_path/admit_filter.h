#pragma once

#include "servers/request_path/filter_chain.h"
#include "servers/request_path/path_services.h"

namespace hawthornslip {

/** Requests a grant from the group owner and waits for it. */
class AdmitFilter : public Filter
{
public:
    explicit AdmitFilter(const PathServices &services)
        : m_services(services)
    {}

    std::string_view name() const override { return "admit"; }
    boost::leaf::result<void> process(RequestContext &context) override;

private:
    const PathServices &m_services;
};

} // namespace hawthornslip
