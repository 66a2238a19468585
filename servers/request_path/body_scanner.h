#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornslip {

/** The fields of a language request that the router needs. */
struct BodyFields
{
    std::string model;
    std::string profile;
    bool stream = false;
    std::uint32_t maxTokens = 0;
    /** Size of the prompt text in bytes of UTF-8, for an estimate of its tokens. */
    std::size_t promptCharacters = 0;
    /** Start of the prompt, for prefix cache affinity. */
    std::string promptStart;
    /** The caller set a field that only the router may set (`resume_after_tokens`). */
    bool reservedField = false;
};

/**
 * Reads the top-level fields of a language request without building a document.
 *
 * @param error receives the error message when the result is empty.
 * @return the fields, or nothing when @p body is not a JSON object, is nested too deeply or has a
 *         field of the wrong type.
 */
std::optional<BodyFields> scanBody(std::string_view body, std::string &error);

} // namespace hawthornslip
