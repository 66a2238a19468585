#pragma once

#include "core/enum_names.h"
#include "core/state_position.h"
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
    /** The node that was asked in place of the store did not answer; another source is next. */
    ReaderUnavailable,
};

inline constexpr EnumNames<FeedError, 6> kFeedErrorNames = {{
        {FeedError::None, "none"},
        {FeedError::Unavailable, "unavailable"},
        {FeedError::RateLimited, "rate_limited"},
        {FeedError::HistoryGone, "history_gone"},
        {FeedError::Malformed, "malformed"},
        {FeedError::ReaderUnavailable, "reader_unavailable"},
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
    /** The object as the store sent it, so that it can be passed on; empty when removed. */
    std::string encoded{};
};

/** The result of a list or watch call. */
template <typename Value>
struct FeedResult
{
    FeedError error = FeedError::None;
    std::vector<FeedItem<Value>> items;
    /** Revision of the store for this result; the next watch continues from it. */
    std::uint64_t revision = 0;
    /** The era that the answer names, also a failed one; nothing when it names none. */
    std::optional<std::uint64_t> era{};
    /** The list has another page after the last item. */
    bool hasMore = false;
    /** Set by another node: upper bound for the time since the store confirmed this result. */
    std::optional<Duration> age{};
    /** Set by another node: the store has an older state, so that watching it continues nothing. */
    bool isStoreBehind = false;
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

    /** Long poll: waits at most @p wait for changes after @p from. */
    virtual void watch(StatePosition from, Duration wait, Done done) = 0;

    /**
     * Decides whether the next watch goes to another node in place of the store.
     *
     * @return the length of that watch, or nothing when it goes to the store.
     */
    virtual std::optional<Duration> chooseRelay() { return std::nullopt; }
};

} // namespace hawthornslip
