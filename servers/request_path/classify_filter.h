#pragma once

#include "servers/request_path/filter_chain.h"
#include "servers/request_path/path_services.h"

namespace hawthornslip {

/** Validates body and headers, and determines profile, model, deadline and idempotency key. */
class ClassifyFilter : public Filter
{
public:
    explicit ClassifyFilter(const PathServices &services)
        : m_services(services)
    {}

    std::string_view name() const override { return "classify"; }
    boost::leaf::result<void> process(RequestContext &context) override;

private:
    boost::leaf::result<void> classifyLanguage(RequestContext &context, std::string &profile) const;
    boost::leaf::result<void> classifyApplication(RequestContext &context) const;
    boost::leaf::result<void> setDeadline(RequestContext &context) const;
    boost::leaf::result<void> setIdempotencyKey(RequestContext &context) const;

    const PathServices &m_services;
};

} // namespace hawthornslip
