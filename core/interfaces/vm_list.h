#pragma once

#include "core/ids.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** A VM as the platform lists it. */
struct VmEntry
{
    NodeId node;
    FailureDomain domain;
    bool leaving = false;

    bool operator==(const VmEntry &) const = default;
};

/** The platform's list of VMs. It lags, so it only names candidates. */
class VmList
{
public:
    using Callback = std::function<void(const std::optional<std::vector<VmEntry>> &)>;

    virtual ~VmList() = default;

    /** Reads the list; @p done gets nothing when the platform did not answer. */
    virtual void fetch(Callback done) = 0;
};

} // namespace hawthornslip
