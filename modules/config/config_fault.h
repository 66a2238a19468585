#pragma once

#include <string>
#include <vector>

namespace hawthornslip {

/** One thing that is wrong with a configuration document. */
struct ConfigFault
{
    /** Where, for example `profiles[2].tier`; empty for the document as a whole. */
    std::string path;
    std::string message;

    bool operator==(const ConfigFault &) const = default;
};

using ConfigFaults = std::vector<ConfigFault>;

/** Faults reported for one document; a hostile one could hold a fault in each byte. */
inline constexpr std::size_t kMaxConfigFaults = 500;

} // namespace hawthornslip
