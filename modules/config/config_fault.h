#pragma once

#include <string>
#include <vector>

namespace hawthornslip {

/** A syntax or validation error in a configuration document. */
struct ConfigFault
{
    /** The field, for example `profiles[2].tier`; empty for the document as a whole. */
    std::string path;
    std::string message;

    bool operator==(const ConfigFault &) const = default;
};

using ConfigFaults = std::vector<ConfigFault>;

/** Maximum faults listed per document; a malicious one could have a fault in each byte. */
inline constexpr std::size_t kMaxConfigFaults = 500;

} // namespace hawthornslip
