#pragma once

#include "servers/request_path/filter_chain.h"

namespace hawthornslip {

/** Waits for the answer, with retries and hedges, and sets the answer to the caller. */
class RelayFilter : public Filter
{
public:
    std::string_view name() const override { return "relay"; }
    boost::leaf::result<void> process(RequestContext &context) override;
};

} // namespace hawthornslip
