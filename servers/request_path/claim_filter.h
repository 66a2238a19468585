#pragma once

#include "servers/request_path/filter_chain.h"
#include "servers/request_path/path_services.h"

namespace hawthornslip {

/**
 * Claims the idempotency key of a non-idempotent request and records its outcome. A repeated key
 * gets the stored answer.
 */
class ClaimFilter : public Filter
{
public:
    explicit ClaimFilter(const PathServices &services)
        : m_services(services)
    {}

    std::string_view name() const override { return "claim"; }
    boost::leaf::result<void> process(RequestContext &context) override;
    void finish(RequestContext &context) override;

private:
    boost::leaf::result<void> claim(RequestContext &context);

    const PathServices &m_services;
};

} // namespace hawthornslip
