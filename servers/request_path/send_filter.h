#pragma once

#include "servers/request_path/filter_chain.h"

namespace hawthornslip {

/** Sends the request to the granted upstream. */
class SendFilter : public Filter
{
public:
    std::string_view name() const override { return "send"; }
    boost::leaf::result<void> process(RequestContext &context) override;
};

} // namespace hawthornslip
