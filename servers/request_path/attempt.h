#pragma once

#include "core/interfaces/clock.h"
#include "core/interfaces/http_server.h"
#include "core/interfaces/upstream_client.h"
#include "servers/admission/admission_gateway.h"
#include "servers/request_path/stream_reader.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace hawthornslip {

/** Events of an attempt since the last takeUpdate(). */
struct AttemptUpdate
{
    /** The grant or the refusal by the group owner; set in one update only. */
    std::optional<AdmissionAnswer> admission;
    bool preempted = false;
    /** Body bytes received since the last update. */
    std::string data;
    std::optional<UpstreamEnd> end;
};

/** State of an attempt; used by the request's thread only. */
struct AttemptProgress
{
    AdmissionGrant grant;
    /** Tokens relayed by earlier attempts when this one resumes a stream. */
    std::uint32_t tokensBefore = 0;
    std::uint32_t tokens = 0;
    /** From sending to the first token; zero before it. */
    Duration timeToFirstToken{0};
    TimePoint reportedAt{};
    bool idChecked = false;
    /** The answer is relayed from this attempt; the other attempts were stopped. */
    bool relayed = false;
    /** The group owner has preempted the attempt to free its upstream slot. */
    bool preempted = false;
    /** Body bytes, not yet relayed, of an answer that is not an event stream. */
    std::string pending;
    StreamReader reader;
};

/**
 * One attempt to get an answer: admission, then a call to one upstream. The request's thread
 * drives it; callbacks on other threads only record an update and wake that thread.
 */
class Attempt : public UpstreamHandler, public std::enable_shared_from_this<Attempt>
{
public:
    enum class Phase { AwaitingGrant, Granted, Sent, Stopped };

    /**
     * @param clientLink is woken after each recorded event.
     * @param bufferBytes body bytes buffered before the upstream is paused.
     */
    Attempt(AdmissionGateway &admission, const Clock &clock,
            std::shared_ptr<HttpClientConnection> clientLink, std::size_t bufferBytes);

    /** Sends the admission request. */
    void requestGrant(AdmissionParams admissionRequest);

    /** Sends the request to the granted upstream. */
    void send(UpstreamClient &client, UpstreamRequest request);

    /** @return the events since the last call; resumes a paused upstream. */
    AttemptUpdate takeUpdate();

    /**
     * Cancels the admission request or the call, and releases the grant. No effect on a stopped
     * attempt.
     */
    void stop(AttemptResult result);

    /** Releases the grant after a complete answer; the call is not cancelled. */
    void complete();

    /** Reports tokens to the group owner: the first at once, then at most once per @p interval. */
    void reportProgress(Duration interval);

    Phase phase() const { return m_phase; }
    std::uint32_t number() const { return m_admissionRequest.attempt; }
    TimePoint sentAt() const { return m_sentAt; }
    /** @return the HTTP status of the answer, 0 before its headers were received. */
    int status() const;
    /** @return the headers of the answer; valid once status() is not 0. */
    const HttpHeaders &headers() const { return m_headers; }

    /** Used by the request's thread only. */
    AttemptProgress progress;

    void onHeaders(int httpStatus, const HttpHeaders &headers) override;
    bool onData(std::string_view piece) override;
    void onEnd(const UpstreamEnd &end) override;

private:
    void release(AttemptResult result);
    void onAdmissionAnswer(const AdmissionAnswer &answer);

    AdmissionGateway &m_admission;
    const Clock &m_clock;
    const std::shared_ptr<HttpClientConnection> m_clientLink;
    const std::size_t m_bufferBytes;
    AdmissionParams m_admissionRequest;
    Phase m_phase = Phase::AwaitingGrant;
    TimePoint m_sentAt{};
    std::shared_ptr<UpstreamCall> m_call;

    mutable std::mutex m_mutex;
    AttemptUpdate m_update;
    int m_status = 0;
    HttpHeaders m_headers;
    bool m_paused = false;
    bool m_abandoned = false;
};

} // namespace hawthornslip
