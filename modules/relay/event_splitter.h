#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornslip {

/** One complete server-sent event. */
struct StreamEvent
{
    /** All lines of the event, including the blank line that ends it. */
    std::string_view text;
    /** The number in the `id` field. */
    std::optional<std::uint64_t> id;
};

/** Splits a server-sent event stream into complete events and buffers an incomplete one. */
class EventSplitter
{
public:
    /** Longest event; a longer one is no event of a sound upstream. */
    static constexpr std::size_t kMaxEventBytes = 1 << 20;

    /** Adds @p bytes and calls @p onEvent for each event that they complete. */
    void add(std::string_view bytes, const std::function<void(const StreamEvent &)> &onEvent);

    /** @return the number of buffered bytes of an incomplete event. */
    std::size_t pending() const { return m_incomplete.size(); }

    /** Discards the buffered bytes of the previous stream. */
    void reset() { m_incomplete.clear(); }

private:
    std::string m_incomplete;
};

} // namespace hawthornslip
