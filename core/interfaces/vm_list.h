#pragma once

#include "core/ids.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** An entry of the platform's VM list. */
struct VmEntry
{
    NodeId node;
    FailureDomain domain;
    bool leaving = false;

    bool operator==(const VmEntry &) const = default;
};

/** The platform's VM list. It may be out of date, so its entries are only candidate nodes. */
class VmList
{
public:
    using Callback = std::function<void(const std::optional<std::vector<VmEntry>> &)>;

    virtual ~VmList() = default;

    /** Reads the list; @p done receives nothing when the call fails. */
    virtual void fetch(Callback done) = 0;
};

} // namespace hawthornslip
