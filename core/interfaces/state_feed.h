#pragma once

#include "core/enum_names.h"
#include "core/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/** Why a call for shared state gave no result. */
enum class FeedError {
    None,
    /** No answer, or one by which nothing was done. */
    Unavailable,
    RateLimited,
    /** The changes since the revision asked for are no longer known; the list has to be read. */
    HistoryGone,
    /** The answer could not be read. */
    Malformed,
};

inline constexpr EnumNames<FeedError, 5> kFeedErrorNames = {{
        {FeedError::None, "none"},
        {FeedError::Unavailable, "unavailable"},
        {FeedError::RateLimited, "rate_limited"},
        {FeedError::HistoryGone, "history_gone"},
        {FeedError::Malformed, "malformed"},
}};

/** An object of shared state, or the news of its removal. */
template <typename Value>
struct FeedItem
{
    std::string name;
    bool removed = false;
    /** Nothing when the object is removed or cannot be read. */
    std::optional<Value> value;
    /** Why the object cannot be read. */
    std::string fault;
};

/** What a call for shared state gave. */
template <typename Value>
struct FeedResult
{
    FeedError error = FeedError::None;
    std::vector<FeedItem<Value>> items;
    /** The revision that the result shows; a watch goes on from there. */
    std::uint64_t revision = 0;
    /** More follows after the last item of a list. */
    bool hasMore = false;
};

/** Reads all objects of one kind of shared state. Callbacks run on the event loop. */
template <typename Value>
class StateFeed
{
public:
    using Done = std::function<void(FeedResult<Value>)>;

    virtual ~StateFeed() = default;

    /** Reads the objects whose names come after @p after, at most as many as one answer holds. */
    virtual void list(const std::string &after, Done done) = 0;

    /** Waits at most @p wait for changes after @p revision. */
    virtual void watch(std::uint64_t revision, Duration wait, Done done) = 0;
};

} // namespace hawthornslip
