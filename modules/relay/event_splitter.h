#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornslip {

/** One whole event of a stream. */
struct StreamEvent
{
    /** All its lines with the blank one that ends it. */
    std::string_view text;
    /** The number in its `id` line. */
    std::optional<std::uint64_t> id;
};

/** Cuts the bytes of an event stream into whole events; a part of one is kept until the rest is
 * there. */
class EventSplitter
{
public:
    /** Adds @p bytes and calls @p onEvent for each event that is whole by now. */
    void add(std::string_view bytes, const std::function<void(const StreamEvent &)> &onEvent);

    /** @return bytes of an event that is not whole. */
    std::size_t pending() const { return m_incomplete.size(); }

    /** Drops what is left of the stream before. */
    void reset() { m_incomplete.clear(); }

private:
    std::string m_incomplete;
};

} // namespace hawthornslip
