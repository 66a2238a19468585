// With NDEBUG the checks of tomlplusplus turn into undefined behaviour on bad input, so this
// translation unit keeps them and makes them throw.
#undef NDEBUG
#include "drivers/toml/toml_document.h"

namespace {

[[noreturn]] void throwParserCheckFailed()
{
    throw hawthornslip::TomlError(0, "the parser rejected the input");
}

} // namespace

#define TOML_ASSERT(expr) \
    do { \
        if (!(expr)) \
            throwParserCheckFailed(); \
    } while (false)
#define TOML_HEADER_ONLY 1
#define TOML_ENABLE_FORMATTERS 0
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wshadow"
#include <toml++/toml.h>
#pragma GCC diagnostic pop

namespace hawthornslip {

namespace {

constexpr std::size_t kMaxFileBytes = 1U << 20;

/** Non-ASCII characters reach unreachable code in the parser, so they never get there. */
void requireAscii(std::string_view text)
{
    std::uint32_t line = 1;
    for (const char it : text) {
        const auto byte = static_cast<unsigned char>(it);
        if (byte > 0x7e || (byte < 0x20 && byte != '\n' && byte != '\t' && byte != '\r'))
            throw TomlError(line, "only printable ASCII characters are allowed");
        if (it == '\n')
            ++line;
    }
}

std::uint32_t lineOf(const toml::node &node)
{
    return static_cast<std::uint32_t>(node.source().begin.line);
}

std::vector<std::string> convertArray(const toml::array &array)
{
    std::vector<std::string> texts;
    texts.reserve(array.size());
    for (const auto &it : array) {
        const auto text = it.value_exact<std::string>();
        if (!text)
            throw TomlError(lineOf(it), "lists may hold only strings");
        texts.push_back(*text);
    }
    return texts;
}

TomlValue convertValue(const toml::node &node)
{
    TomlValue converted;
    converted.line = lineOf(node);
    if (const auto *array = node.as_array())
        converted.value = convertArray(*array);
    else if (const auto text = node.value_exact<std::string>())
        converted.value = *text;
    else if (const auto flag = node.value_exact<bool>())
        converted.value = *flag;
    else if (const auto n = node.value_exact<std::int64_t>())
        converted.value = *n;
    else if (const auto real = node.value_exact<double>())
        converted.value = *real;
    else
        throw TomlError(converted.line, "a value of this type is not used in settings");
    return converted;
}

TomlDocument convertDocument(const toml::table &root)
{
    TomlDocument document;
    for (const auto &[name, node] : root) {
        const std::string key(name.str());
        const auto *section = node.as_table();
        if (section == nullptr) {
            document.sections[""][key] = convertValue(node);
            continue;
        }
        document.sectionLines[key] = lineOf(node);
        auto &values = document.sections[key];
        for (const auto &[inner, value] : *section)
            values[std::string(inner.str())] = convertValue(value);
    }
    return document;
}

} // namespace

TomlDocument parseToml(std::string_view text)
{
    if (text.size() > kMaxFileBytes)
        throw TomlError(0, "the file is larger than 1 MB");
    requireAscii(text);
    try {
        return convertDocument(toml::parse(text));
    } catch (const toml::parse_error &error) {
        const auto line = static_cast<std::uint32_t>(error.source().begin.line);
        throw TomlError(line, std::string(error.description()));
    }
}

} // namespace hawthornslip
