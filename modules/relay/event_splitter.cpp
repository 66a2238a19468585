#include "modules/relay/event_splitter.h"

#include <charconv>

namespace hawthornslip {

namespace {

std::optional<std::uint64_t> readId(std::string_view event)
{
    constexpr std::string_view kIdField = "id:";
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        if (!line.starts_with(kIdField))
            continue;
        line.remove_prefix(kIdField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc{})
            return id;
    }
    return std::nullopt;
}

/** @return the position after the first blank line at or after @p from, or npos. */
std::size_t eventEnd(std::string_view text, std::size_t from)
{
    for (auto at = text.find('\n', from); at != std::string_view::npos;
         at = text.find('\n', at + 1)) {
        const auto next = text.substr(at + 1);
        if (next.starts_with('\n'))
            return at + 2;
        if (next.starts_with("\r\n"))
            return at + 3;
    }
    return std::string_view::npos;
}

} // namespace

void EventSplitter::add(std::string_view bytes,
                        const std::function<void(const StreamEvent &)> &onEvent)
{
    // The line ends of a blank line may be split between the buffered bytes and the new ones.
    constexpr std::size_t kOverlap = 3;
    std::size_t from = m_incomplete.size() > kOverlap ? m_incomplete.size() - kOverlap : 0;
    m_incomplete += bytes;
    std::size_t start = 0;
    for (auto end = eventEnd(m_incomplete, from); end != std::string_view::npos;
         end = eventEnd(m_incomplete, from)) {
        const auto text = std::string_view(m_incomplete).substr(start, end - start);
        onEvent({text, readId(text)});
        start = end;
        from = end;
    }
    m_incomplete.erase(0, start);
}

} // namespace hawthornslip
