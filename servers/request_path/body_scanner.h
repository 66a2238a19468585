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
    /** Characters of the prompt, for an estimate of its tokens. */
    std::size_t promptCharacters = 0;
    /** Start of the prompt, for cache affinity. */
    std::string promptStart;
    /** The caller set a field that belongs to the router. */
    bool reservedField = false;
};

/**
 * Reads the top-level fields of a language request without building a document.
 *
 * @param error is set to what is wrong when the result is empty.
 * @return nothing when @p body is no JSON object or a field has the wrong type.
 */
std::optional<BodyFields> scanBody(std::string_view body, std::string &error);

} // namespace hawthornslip
