#include "tests/standins/prompt.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>

namespace hawthornslip::standin {

namespace {

constexpr std::uint32_t kDefaultTokens = 40;
constexpr std::uint32_t kDefaultMaxTokens = 4096;

} // namespace

std::uint32_t promptNumber(const std::string &text, const std::string &name,
                           std::uint32_t otherwise)
{
    const std::string mark = "[" + name + "=";
    const auto at = text.find(mark);
    if (at == std::string::npos)
        return otherwise;
    return static_cast<std::uint32_t>(std::strtoul(text.c_str() + at + mark.size(), nullptr, 10));
}

std::optional<Prompt> readPrompt(const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    try {
        Prompt prompt;
        prompt.model = json.value("model", "default");
        prompt.text = json.value("prompt", "");
        for (const auto &message : json.value("messages", nlohmann::json::array()))
            prompt.text += message.value("content", "");
        prompt.marker = json.value("user", "");
        prompt.streamed = json.value("stream", false);
        prompt.resumeAfter = json.value("resume_after_tokens", 0U);
        prompt.tokens = std::min(promptNumber(prompt.text, "answer_tokens", kDefaultTokens),
                                 json.value("max_tokens", kDefaultMaxTokens));
        return prompt;
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace hawthornslip::standin
