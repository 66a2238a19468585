#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/state_feed.h"
#include "core/interfaces/upstream_client.h"
#include "core/logger.h"
#include "servers/state/state_codec.h"
#include "servers/state/state_kind.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hawthornslip {

/** Chooses the node that is asked for shared state in place of the store. */
class StateReaderSource
{
public:
    virtual ~StateReaderSource() = default;

    /** @return the address of the reader to ask, or nothing to call the store. */
    virtual std::optional<std::string> reader() = 0;

    /**
     * Records that @p reader cannot be used.
     *
     * @param refused it answered that it does not read from the store itself at present.
     */
    virtual void onReaderFailed(const std::string &reader, bool refused) = 0;
};

/** Dependencies of a relayed feed; all must outlive it. */
struct RelayedFeedParts
{
    EventLoop &loop;
    UpstreamClient &client;
    StateReaderSource &readers;
};

/** Reads shared state from a reader node where there is one, otherwise from the store. */
template <typename Value>
class RelayedFeed : public StateFeed<Value>
{
public:
    using Done = typename StateFeed<Value>::Done;
    /** Decodes an object that a reader passed on. */
    using Decode = std::function<FeedItem<Value>(const StateObject &object)>;

    /**
     * @param store reads the same kind from the store.
     * @param watch length of a watch at a reader, which bounds how late its loss is noticed.
     */
    RelayedFeed(StateKind kind, RelayedFeedParts parts, std::unique_ptr<StateFeed<Value>> store,
                Decode decode, Duration watch)
        : m_kind(kind)
        , m_parts(parts)
        , m_store(std::move(store))
        , m_decode(std::move(decode))
        , m_watch(watch)
    {}

    void list(const std::string &after, Done done) override
    {
        // Only the store's lists have several pages.
        const auto reader = after.empty() ? m_parts.readers.reader() : std::nullopt;
        m_isRelayed = reader.has_value();
        if (reader)
            call(*reader, std::nullopt, kListWait, std::move(done));
        else
            m_store->list(after, std::move(done));
    }

    void watch(StatePosition from, Duration wait, Done done) override
    {
        m_isRelayed = m_nextReader.has_value();
        m_position = from;
        if (m_nextReader)
            call(*std::exchange(m_nextReader, std::nullopt), from, wait, std::move(done));
        else
            m_store->watch(from, wait, std::move(done));
    }

    std::optional<Duration> chooseRelay() override
    {
        m_nextReader = m_parts.readers.reader();
        return m_nextReader ? std::optional(m_watch) : std::nullopt;
    }

    /** @return true when the last call went to another node instead of the store. */
    bool isRelayed() const { return m_isRelayed; }

private:
    // Added to a call's wait. The answer of a reader takes a few milliseconds.
    static constexpr Duration kReplyTimeout = milliseconds(400);
    // A reader that starts at the same time has read its own list within this time. Shorter than
    // the time after which a follower gives a list up.
    static constexpr Duration kListWait = milliseconds(80);

    /** Collects a reader's reply, within a limit. */
    class Handler : public UpstreamHandler
    {
    public:
        using Reply = std::function<void(int status, std::optional<StateReply> reply)>;

        explicit Handler(Reply done)
            : m_done(std::move(done))
        {}

        void onHeaders(int, const std::vector<std::pair<std::string, std::string>> &) override {}

        bool onData(std::string_view piece) override
        {
            m_isTooLong = m_isTooLong || m_body.size() + piece.size() > kMaxReplyBytes;
            if (!m_isTooLong)
                m_body += piece;
            return true;
        }

        void onEnd(const UpstreamEnd &end) override
        {
            constexpr int kOk = 200;
            const bool isWhole =
                    end.result == UpstreamResult::Complete && end.httpStatus == kOk && !m_isTooLong;
            m_done(end.httpStatus, isWhole ? decodeState(m_body) : std::nullopt);
        }

    private:
        static constexpr std::size_t kMaxReplyBytes = 16 << 20;

        Reply m_done;
        std::string m_body;
        bool m_isTooLong = false;
    };

    void call(const std::string &reader, std::optional<StatePosition> after, Duration wait,
              Done done)
    {
        UpstreamRequest request;
        request.method = "GET";
        request.url = fmt::format("http://{}/state/{}", reader, nameOf(kStateKindNames, m_kind));
        request.url += fmt::format("?wait_ms={}", toMillis(wait));
        if (after)
            request.url += fmt::format("&after={}", after->revision);
        if (after && after->era != 0)
            request.url += fmt::format("&era={}", after->era);
        request.headers = {{"Host", "state"}};
        request.connectTimeout = kReplyTimeout;
        request.totalTimeout = wait + kReplyTimeout;
        request.reuseWithin = kStateReuseWithin;
        const TimePoint sentAt = m_parts.loop.now();
        m_parts.client.send(
                std::move(request),
                std::make_shared<Handler>([this, reader, after, sentAt,
                                           done = std::move(done)](int status, const auto &reply) {
                    // A list older than what this node knows would bring removed objects back.
                    const bool isUsable = reply && positionOf(*reply) >= m_position;
                    done(isUsable ? toResult(after, sentAt, *reply) : toFailure(reader, status));
                }));
    }

    /** @return the position of @p reply; readers of older builds name no era. */
    StatePosition positionOf(const StateReply &reply) const
    {
        StatePosition position = reply.changes.position;
        if (position.era == 0)
            position.era = m_position.era;
        return position;
    }

    FeedResult<Value> toFailure(const std::string &reader, int status)
    {
        constexpr int kUnavailable = 503;
        m_parts.readers.onReaderFailed(reader, status == kUnavailable);
        logEvent(LogLevel::Info, "state_reader_failed",
                 {{"kind", nameOf(kStateKindNames, m_kind)},
                  {"reader", reader},
                  {"status", status}});
        FeedResult<Value> result;
        result.error = FeedError::ReaderUnavailable;
        return result;
    }

    FeedResult<Value> toResult(std::optional<StatePosition> after, TimePoint sentAt,
                               const StateReply &reply)
    {
        FeedResult<Value> result;
        const StatePosition position = positionOf(reply);
        result.era = position.era;
        if (after && reply.changes.isComplete) {
            result.error = FeedError::HistoryGone;
            return result;
        }
        for (const auto &it : reply.changes.objects)
            result.items.push_back(m_decode(it));
        result.revision = position.revision;
        result.isStoreBehind = reply.isStoreBehind;
        m_position = position;
        // Includes the whole time that the call took outside the reader, so that the confirmation
        // never appears younger than it is.
        const Duration transfer = m_parts.loop.now() - sentAt - reply.held;
        result.age = reply.age + std::max(Duration(0), transfer);
        return result;
    }

    StateKind m_kind;
    RelayedFeedParts m_parts;
    std::unique_ptr<StateFeed<Value>> m_store;
    Decode m_decode;
    Duration m_watch;
    std::optional<std::string> m_nextReader;
    bool m_isRelayed = false;
    /** Position of what the follower of this feed knows. */
    StatePosition m_position;
};

} // namespace hawthornslip
