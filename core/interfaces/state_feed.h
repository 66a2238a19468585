#pragma once

#include "core/enum_names.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** Why a list or watch call failed. */
enum class FeedError {
    None,
    /** No response, or the store could not process the call. */
    Unavailable,
    RateLimited,
    /** The requested revision is no longer in the change history; the list has to be read again. */
    HistoryGone,
    /** The response could not be parsed. */
    Malformed,
};

inline constexpr EnumNames<FeedError, 5> kFeedErrorNames = {{
        {FeedError::None, "none"},
        {FeedError::Unavailable, "unavailable"},
        {FeedError::RateLimited, "rate_limited"},
        {FeedError::HistoryGone, "history_gone"},
        {FeedError::Malformed, "malformed"},
}};

/** An object of shared state, or the notice of its removal. */
template <typename Value>
struct FeedItem
{
    std::string name;
    bool removed = false;
    /** Empty when the object was removed or could not be decoded. */
    std::optional<Value> value;
    /** Why the object could not be decoded. */
    std::string fault;
};

/** The result of a list or watch call. */
template <typename Value>
struct FeedResult
{
    FeedError error = FeedError::None;
    std::vector<FeedItem<Value>> items;
    /** The store revision of this result; the next watch continues from it. */
    std::uint64_t revision = 0;
    /** The list has another page after the last item. */
    bool hasMore = false;
};

/** Lists and watches all objects of one kind. Callbacks run on the event loop. */
template <typename Value>
class StateFeed
{
public:
    using Done = std::function<void(FeedResult<Value>)>;

    virtual ~StateFeed() = default;

    /** Reads the next page of objects, those whose names sort after @p after. */
    virtual void list(const std::string &after, Done done) = 0;

    /** Long poll: waits at most @p wait for changes after @p revision. */
    virtual void watch(std::uint64_t revision, Duration wait, Done done) = 0;
};

} // namespace hawthornslip
