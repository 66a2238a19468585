#pragma once

#include "servers/request_path/filter_chain.h"
#include "servers/request_path/path_services.h"
#include "servers/security/key_index.h"

namespace hawthornslip {

/** Finds the workspace of a request by the key in its bearer token. */
class AuthenticateFilter : public Filter
{
public:
    explicit AuthenticateFilter(const PathServices &services)
        : m_services(services)
    {}

    std::string_view name() const override { return "authenticate"; }
    boost::leaf::result<void> process(RequestContext &context) override;

private:
    const PathServices &m_services;
    KeyIndexCache m_index;
};

} // namespace hawthornslip
