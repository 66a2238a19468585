#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornslip::standin {

/** What an engine reads from the body of a completion request. */
struct Prompt
{
    std::string model;
    std::string text;
    /** The caller's own mark, from the field `user`. */
    std::string marker;
    bool streamed = false;
    std::uint32_t resumeAfter = 0;
    /** Length of the answer: `[answer_tokens=N]` in the text, at most `max_tokens`. */
    std::uint32_t tokens = 0;
};

/** @return the prompt in @p body, or nothing when the body is not valid. */
std::optional<Prompt> readPrompt(const std::string &body);

/** @return the number after `[name=` in @p text, or @p otherwise. */
std::uint32_t promptNumber(const std::string &text, const std::string &name,
                           std::uint32_t otherwise);

} // namespace hawthornslip::standin
