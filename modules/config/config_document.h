#pragma once

#include "core/profile.h"
#include "modules/config/config_fault.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornslip {

/** The result of parsing a document; the configuration is valid only if there are no faults. */
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
    /** Largest document in bytes; the object store accepts no larger value. */
    static constexpr std::size_t kMaxBytes = 1U << 20;

    /** @return @p config as JSON text; a negative @p indent writes it on one line. */
    static std::string toText(const SharedConfig &config, int indent = -1);

    /**
     * Parses and validates a document, which may come from an untrusted source.
     *
     * @return the configuration and all syntax and validation faults.
     */
    static ParsedConfig parse(std::string_view text);
};

} // namespace hawthornslip
