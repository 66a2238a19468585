#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace hawthornslip {

/** The fields of a stream event or a JSON answer that the relay needs. */
struct EventFields
{
    /** The text is one balanced JSON object. */
    bool valid = false;
    /** Raw text of the top-level `id`. */
    std::string_view id;
    /** A choice contains generated text. */
    bool hasToken = false;
    /** A choice has a finish reason. */
    bool finished = false;
    /** `usage.completion_tokens`. */
    std::optional<std::uint32_t> completionTokens;
};

/** Reads the fields from @p json in one pass without building a document. */
EventFields scanEvent(std::string_view json);

} // namespace hawthornslip
