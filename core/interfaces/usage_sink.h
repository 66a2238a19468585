#pragma once

#include <string>

namespace hawthornslip {

/** Counts requests that upstreams run. */
class UsageSink
{
public:
    virtual ~UsageSink() = default;

    /** Handles that an upstream has begun to run a request; called once a request. */
    virtual void onRequestBegun(const std::string &workspace) = 0;
};

} // namespace hawthornslip
