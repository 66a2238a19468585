#include "servers/request_path/body_scanner.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>

namespace hawthornslip {

namespace {

constexpr std::size_t kPromptStartCharacters = 1024;
// No request needs a deeper document, which would only cost the engines memory.
constexpr int kMaxDepth = 64;

/** Collects the fields from the parser's events; a callback that returns false stops parsing. */
class BodySaxHandler : public nlohmann::json_sax<nlohmann::json>
{
public:
    BodyFields fields;
    std::string error;
    bool isObject = false;

    bool null() override { return true; }
    bool boolean(bool value) override
    {
        if (m_depth == 1 && m_topKey == "stream")
            fields.stream = value;
        else
            return rejectIfTyped();
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override { return rejectIfTyped(); }
    bool number_unsigned(number_unsigned_t value) override
    {
        if (m_depth == 1 && (m_topKey == "max_tokens" || m_topKey == "max_completion_tokens")) {
            constexpr number_unsigned_t kLimit = std::numeric_limits<std::uint32_t>::max();
            fields.maxTokens = static_cast<std::uint32_t>(std::min(value, kLimit));
            return true;
        }
        return rejectIfTyped();
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override
    {
        return rejectIfTyped();
    }
    bool string(string_t &value) override
    {
        if (m_depth == 1 && m_topKey == "model")
            fields.model = value;
        else if (m_depth == 1 && m_topKey == "profile")
            fields.profile = value;
        else if (m_topKey == "messages" || m_topKey == "prompt")
            addPromptText(value);
        else
            return rejectIfTyped();
        return true;
    }
    bool binary(binary_t & /*value*/) override { return true; }
    bool start_object(std::size_t /*size*/) override
    {
        isObject = isObject || m_depth == 0;
        return openContainer();
    }
    bool key(string_t &name) override
    {
        if (m_depth == 1) {
            m_topKey = name;
            fields.reservedField = fields.reservedField || name == "resume_after_tokens";
        }
        m_key = name;
        return true;
    }
    bool end_object() override { return closeContainer(); }
    bool start_array(std::size_t /*size*/) override { return openContainer(); }
    bool end_array() override { return closeContainer(); }
    bool parse_error(std::size_t position, const std::string & /*token*/,
                     const nlohmann::detail::exception & /*exception*/) override
    {
        error = "the body is not valid JSON near byte " + std::to_string(position);
        return false;
    }

private:
    bool openContainer()
    {
        if (m_depth == 1 && isTypedField())
            return rejectIfTyped();
        if (++m_depth <= kMaxDepth)
            return true;
        error = "the body is nested too deeply";
        return false;
    }

    bool closeContainer()
    {
        --m_depth;
        return true;
    }

    bool isTypedField() const
    {
        return m_topKey == "model" || m_topKey == "profile" || m_topKey == "stream" ||
               m_topKey == "max_tokens" || m_topKey == "max_completion_tokens";
    }

    // Accepts a value of a type that the router does not read, unless the field requires a type.
    bool rejectIfTyped()
    {
        if (m_depth != 1 || !isTypedField())
            return true;
        error = "the field " + m_topKey + " has the wrong type";
        return false;
    }

    void addPromptText(const std::string &value)
    {
        if (m_key == "role" || m_key == "type")
            return;
        fields.promptCharacters += value.size();
        const auto remaining = kPromptStartCharacters - fields.promptStart.size();
        fields.promptStart.append(value, 0, remaining);
    }

    int m_depth = 0;
    std::string m_topKey;
    std::string m_key;
};

} // namespace

std::optional<BodyFields> scanBody(std::string_view body, std::string &error)
{
    BodySaxHandler sax;
    const bool parsed = nlohmann::json::sax_parse(body, &sax);
    if (parsed && sax.isObject)
        return sax.fields;
    error = sax.error.empty() ? "the body is not a JSON object" : sax.error;
    return std::nullopt;
}

} // namespace hawthornslip
