#pragma once

#include "core/profile.h"
#include "modules/config/config_fault.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornslip {

/** The result of reading a document: the configuration, which is only valid without faults. */
struct ParsedConfig
{
    SharedConfig config;
    ConfigFaults faults;

    bool ok() const { return faults.empty(); }
};

/** The shared configuration as a JSON document. */
class ConfigDocument
{
public:
    /** The version of the format that this program reads and writes. */
    static constexpr std::uint64_t kSchemaVersion = 1;
    /** The object store takes no larger value. */
    static constexpr std::size_t kMaxBytes = 1U << 20;

    /** @return @p config as a document; @p indent below 0 puts it on one line. */
    static std::string toText(const SharedConfig &config, int indent = -1);

    /**
     * Reads and checks a document, which may come from anywhere.
     *
     * @return the configuration and all faults of form and of content.
     */
    static ParsedConfig parse(std::string_view text);
};

} // namespace hawthornslip
