#pragma once

#include "core/enum_names.h"
#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

/** A randomized soak of real gateway processes against stand-ins. */
namespace hawthornslip::soak {

/** What a request is, by the first part of its path. */
enum class Kind { Order, Read, Chat, Draft };

/** @return the kind of a request to @p path. */
Kind kindOf(const std::string &path);

/** @return events of the stream that answers request @p id, at whichever upstream it goes on. */
std::size_t streamLength(const std::string &id);

/** Bounds that the promises hold within. */
struct Bounds
{
    Duration revokeWithin = seconds(5);
    Duration drainWithin = seconds(2);
    Duration applyWithin = seconds(2);
    /** A gateway is calm this long after the last fault that touched it. */
    Duration calmAfter = seconds(4);
    double repeatRatio = 0.2;
    Duration repeatWindow = seconds(10);
};

/** How a request ended on its caller's connection. */
enum class WireEnd {
    /** The caller did not look. */
    Unknown,
    /** An answer began. */
    Answered,
    /** Without an answer, by a reset: the caller knows that the gateway left it unread. */
    Reset,
    /** Written whole, and the connection ended without an answer and without a reset. */
    Closed,
    /** Written whole, and neither an answer nor an end of the connection came. */
    Open,
};

inline constexpr EnumNames<WireEnd, 5> kWireEndNames = {{
        {WireEnd::Unknown, "unknown"},
        {WireEnd::Answered, "answered"},
        {WireEnd::Reset, "reset"},
        {WireEnd::Closed, "closed"},
        {WireEnd::Open, "open"},
}};

/** What a caller saw of one request. */
struct CallerOutcome
{
    std::string id;
    Kind kind = Kind::Order;
    std::size_t gateway = 0;
    TimePoint sentAt{};
    TimePoint endedAt{};
    /** 0 without an answer. */
    int status = 0;
    /** The answer ended properly. */
    bool isWhole = false;
    std::string body;
    WireEnd wireEnd = WireEnd::Unknown;
};

/**
 * Checks the promises from what callers and upstreams saw: an order runs at most once, a refusal
 * that says so did not run, a request that was read gets an answer, answers are whole and belong to
 * their request, streams have no gap, revoked keys and drained upstreams get nothing, changes take
 * effect, repeats stay in budget.
 */
class Judge
{
public:
    explicit Judge(Bounds bounds)
        : m_bounds(bounds)
    {}

    /** Notes a fault that touches a gateway until @p until. @param planned a stop by signal. */
    void onFault(std::size_t gateway, TimePoint until, bool planned = false);
    /** Notes a fault that touches all gateways. */
    void onFaultOfAll(TimePoint until) { m_allTroubledUntil = std::max(m_allTroubledUntil, until); }

    /** Notes that @p gateway starts anew or is paused until then, which excuses what it forgets. */
    void onInterrupted(std::size_t gateway, TimePoint until)
    {
        m_interruptedUntil[gateway] = std::max(m_interruptedUntil[gateway], until);
    }

    /** Notes that the process of @p gateway is killed, with the requests that it holds. */
    void onKilled(std::size_t gateway, TimePoint at) { m_kills[gateway].push_back(at); }

    /** Notes that the store acknowledged the end of @p key. */
    void onKeyRevoked(const std::string &key, TimePoint at) { m_revoked[key] = at; }
    /** Notes that the store acknowledged that @p upstream drains. */
    void onDraining(const std::string &upstream, TimePoint at) { m_draining[upstream] = at; }
    /** Notes that @p gateway has passed on an answer in which @p upstream says that it leaves. */
    void onLeavingSeen(std::size_t gateway, const std::string &upstream, TimePoint at)
    {
        m_leavingSeen.emplace(std::pair(gateway, upstream), at);
    }
    /** Notes that the store acknowledged that orders now go to service @p name only. */
    void onServiceMoved(const std::string &name, TimePoint at)
    {
        m_movedTo = name;
        m_movedAt = at;
    }

    /** Notes a request that a caller sends. */
    void onSent(const std::string &id, const std::string &key, TimePoint at);
    /** Notes that a request reached an upstream. */
    void onArrival(const std::string &id, const std::string &upstream, std::size_t gateway,
                   TimePoint at);
    /** Notes that an upstream began to work on a request. */
    void onRun(const std::string &id, Kind kind, const std::string &service, TimePoint at);
    /** Notes how a request ended for its caller. */
    void onOutcome(const CallerOutcome &outcome);
    /** Notes what @p gateway tells of a request that it dropped. */
    void onDropTold(std::size_t gateway, const std::string &told);

    /** Checks what can be known only at the end. */
    void finish();

    /** @return what was broken, a line each. */
    const std::vector<std::string> &violations() const { return m_violations; }
    /** @return requests by status, for the report. */
    const std::map<int, int> &statuses() const { return m_statuses; }
    /** @return requests of kept callers by their end on the connection, for the report. */
    const std::map<WireEnd, int> &wireEnds() const { return m_wireEnds; }

private:
    struct Sent
    {
        std::string key;
        TimePoint at{};
        int arrivals = 0;
        int runs = 0;
    };

    bool isCalm(std::size_t gateway, TimePoint at) const;
    bool isUndisturbed(std::size_t gateway, TimePoint at) const;
    bool wasKilled(std::size_t gateway, TimePoint from, TimePoint to) const;
    void checkWireEnd(const CallerOutcome &outcome);
    void checkPlannedStop(const CallerOutcome &outcome);
    void checkAnswer(const CallerOutcome &outcome);
    void checkStream(const CallerOutcome &outcome);
    void checkLeaving(const Sent &sent, const std::string &id, const std::string &upstream,
                      std::size_t gateway);
    void checkBudget(TimePoint now);
    void report(const std::string &text);

    Bounds m_bounds;
    /** By gateway, unplanned faults and stops by signal. */
    std::map<std::size_t, TimePoint> m_troubledUntil;
    std::map<std::size_t, TimePoint> m_stoppedUntil;
    std::map<std::size_t, TimePoint> m_interruptedUntil;
    std::map<std::size_t, std::vector<TimePoint>> m_kills;
    TimePoint m_allTroubledUntil{};
    std::map<std::string, TimePoint> m_revoked;
    std::map<std::string, TimePoint> m_draining;
    /** By gateway and upstream. */
    std::map<std::pair<std::size_t, std::string>, TimePoint> m_leavingSeen;
    std::string m_movedTo;
    TimePoint m_movedAt = TimePoint::max();
    std::map<std::string, Sent> m_sent;
    std::vector<CallerOutcome> m_refused;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
    std::map<int, int> m_statuses;
    std::map<WireEnd, int> m_wireEnds;
    std::vector<std::string> m_violations;
};

} // namespace hawthornslip::soak
