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

/** What happened to an attempt since it was last looked at. */
struct AttemptNews
{
    /** The answer of the owner, once. */
    std::optional<AdmissionAnswer> admission;
    bool preempted = false;
    /** The body's bytes since the last look. */
    std::string data;
    std::optional<UpstreamEnd> end;
};

/** What the request's own thread knows of an attempt's answer. */
struct AttemptProgress
{
    AdmissionGrant grant;
    /** Tokens before this attempt, of a stream that resumed. */
    std::uint32_t tokensBefore = 0;
    std::uint32_t tokens = 0;
    /** From sending to the first token; zero before it. */
    Duration firstToken{0};
    TimePoint reportedAt{};
    bool idChecked = false;
    /** The first token arrived and the answer is relayed from this attempt. */
    bool relayed = false;
    /** The owner wants the upstream's slot back. */
    bool preempted = false;
    /** Body bytes of an answer that is not relayed as events. */
    std::string pending;
    StreamReader reader;
};

/**
 * One try to get an answer: admission, then a call to one upstream. The thread of the request
 * drives it; callbacks of the control thread and of the upstream client only leave news.
 */
class Attempt : public UpstreamHandler, public std::enable_shared_from_this<Attempt>
{
public:
    /** Where the attempt stands. */
    enum class Phase { Asking, Granted, Sent, Stopped };

    /**
     * @param waker is woken at each piece of news.
     * @param bufferBytes bound on the bytes taken from the upstream before it is paused.
     */
    Attempt(AdmissionGateway &admission, const Clock &clock, std::shared_ptr<HttpClientLink> waker,
            std::size_t bufferBytes);

    /** Asks for a grant. */
    void ask(AdmissionParams ask);

    /** Sends the request under the grant that came. */
    void send(UpstreamClient &client, UpstreamRequest request);

    /** @return the news since the last call; continues a paused upstream. */
    AttemptNews takeNews();

    /** Withdraws the ask or cancels the call, and gives the grant back. Only the first call counts.
     */
    void stop(AttemptResult result);

    /** Gives the grant back after the answer was complete; the call ends by itself. */
    void complete();

    /** Reports tokens to the owner, at most once in @p interval but for the first token. */
    void reportProgress(Duration interval);

    Phase phase() const { return m_phase; }
    std::uint32_t number() const { return m_ask.attempt; }
    TimePoint sentAt() const { return m_sentAt; }
    /** @return the status of the answer, 0 before its headers came. */
    int status() const;
    /** @return the headers of the answer; valid once status() is not 0. */
    const HttpHeaders &headers() const { return m_headers; }

    /** The part that only the request's thread uses. */
    AttemptProgress progress;

    void onHeaders(int httpStatus, const HttpHeaders &headers) override;
    bool onData(std::string_view piece) override;
    void onEnd(const UpstreamEnd &end) override;

private:
    void release(AttemptResult result);
    void answered(const AdmissionAnswer &answer);

    AdmissionGateway &m_admission;
    const Clock &m_clock;
    const std::shared_ptr<HttpClientLink> m_waker;
    const std::size_t m_bufferBytes;
    AdmissionParams m_ask;
    Phase m_phase = Phase::Asking;
    TimePoint m_sentAt{};
    std::shared_ptr<UpstreamCall> m_call;

    mutable std::mutex m_mutex;
    AttemptNews m_news;
    int m_status = 0;
    HttpHeaders m_headers;
    bool m_paused = false;
    bool m_abandoned = false;
};

} // namespace hawthornslip
