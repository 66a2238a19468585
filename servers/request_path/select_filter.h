#pragma once

#include "servers/request_path/filter_chain.h"

namespace hawthornslip {

/** Looks up the granted upstream in the configuration. */
class SelectFilter : public Filter
{
public:
    std::string_view name() const override { return "select"; }
    boost::leaf::result<void> process(RequestContext &context) override;
};

} // namespace hawthornslip
