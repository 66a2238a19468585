#pragma once

#include "servers/request_path/answer_output.h"
#include "servers/request_path/attempt.h"
#include "servers/request_path/attempt_failure.h"
#include "servers/request_path/path_services.h"
#include "servers/request_path/request_context.h"

#include <boost/leaf/result.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornslip {

/**
 * Runs the attempts of one request: the first one, retries, hedges and resumed streams. The
 * request's thread waits for updates and processes those of each attempt.
 */
class RequestRun
{
public:
    RequestRun(RequestContext &context, const PathServices &services);
    /** Cancels the attempts in progress. */
    ~RequestRun();

    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /** Requests the first grant and waits for it. */
    boost::leaf::result<void> admit();

    /** Looks up the granted upstream; requests another grant if it is not configured. */
    boost::leaf::result<void> select();

    /** Sends the first attempt. */
    boost::leaf::result<void> send();

    /** Waits for the complete answer, or the start of a stream. */
    boost::leaf::result<void> awaitAnswer();

    /** Waits for the next part of the streamed answer and writes it to @p buffer. */
    HttpBodyRead read(char *buffer, std::size_t size);

    /**
     * Ends the request. If it holds a claim and was sent, blocks until the outcome is known, so
     * that the caller can query it.
     */
    void finish();

    /** @return the recorded stream for a repeated key, or an empty string when it is too large. */
    const std::string &recorded() const { return m_output.recorded(); }

private:
    using AttemptRef = std::shared_ptr<Attempt>;

    void processUpdates();
    void processAttempt(const AttemptRef &attempt);
    void onAdmissionRefused(const AttemptRef &attempt, const RequestError &refusal);
    void onEnd(const AttemptRef &attempt, const UpstreamEnd &end);
    void onPreempt(const AttemptRef &attempt);
    void onEventData(const AttemptRef &attempt, const std::string &data);
    void onBodyData(const AttemptRef &attempt, const std::string &data);
    void onBodyComplete(const AttemptRef &attempt);

    void startAttempt();
    std::string urlOf(const Attempt &attempt) const;
    std::string versionOf(const Attempt &attempt) const;
    /** @return false if no upstream is left that may continue what the caller has. */
    bool mayGoOnElsewhere() const;
    void failUnknownUpstream(const AttemptRef &attempt);
    void sendAttempt(const AttemptRef &attempt);
    bool checkHeaderId(const AttemptRef &attempt);
    void countMismatches(std::uint32_t n);
    void relayFrom(const AttemptRef &attempt);
    void startStream(const AttemptRef &attempt);
    void attemptFailed(const AttemptRef &attempt, const AttemptFailure &failure);
    bool mayRetry(const AttemptFailure &failure);
    bool mayResume() const;
    bool relayStarted() const;
    void succeed(const AttemptRef &attempt);
    void fail(RequestError error);
    void onCallerDisconnected();
    void stopAll(AttemptResult result);
    void remove(const AttemptRef &attempt);
    bool isActive(const AttemptRef &attempt) const;
    bool anySent() const;
    bool continuesWithoutCaller() const;
    void hedgeIfDue();
    void countHedge(std::string_view result);
    bool isEventStream(const Attempt &attempt) const;
    bool idempotent() const { return m_context.profile->idempotent; }
    void waitForUpdate(Duration atMost);
    Duration untilNextTimer() const;
    boost::leaf::result<void> errorResult() const;

    RequestContext &m_context;
    const PathServices &m_services;
    std::vector<AttemptRef> m_attempts;
    std::vector<UpstreamId> m_excludedUpstreams;
    /** Software version that brought the first part of the relayed answer. */
    std::optional<std::string> m_beganVersion;
    std::optional<RequestError> m_lastError;
    std::optional<RequestError> m_error;
    std::uint32_t m_retries = 0;
    std::optional<Duration> m_hedgeDelay;
    AttemptRef m_hedge;
    bool m_sendOnGrant = false;
    /** An ended attempt may have run at an upstream. */
    bool m_mayHaveRun = false;
    bool m_done = false;
    bool m_streamBroken = false;
    bool m_callerGone = false;
    TimePoint m_lastOutput{};
    AnswerOutput m_output;
};

} // namespace hawthornslip
