#pragma once

#include "core/time.h"

#include <cstdint>

namespace hawthornslip {

/** Engine time of one workspace at one service within the last seconds. */
struct WorkspaceUse
{
    /** Result of workspaceKey() for its name. */
    std::uint32_t workspace = 0;
    /** Engine time of the requests that arrived. */
    Duration asked{0};
    /** Engine time of the requests that were sent to engines. */
    Duration given{0};

    bool operator==(const WorkspaceUse &) const = default;
};

} // namespace hawthornslip
