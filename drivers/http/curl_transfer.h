#pragma once

#include "core/interfaces/upstream_client.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

struct curl_slist;

namespace hawthornslip {

class AnswerParser;
class CurlUpstreamClient;

/** One call on the loop of a CurlUpstreamClient; belongs to the loop's thread but for its creation.
 */
class CurlTransfer : public std::enable_shared_from_this<CurlTransfer>
{
public:
    using SteadyTime = std::chrono::steady_clock::time_point;

    CurlTransfer(UpstreamRequest request, std::shared_ptr<UpstreamHandler> handler);
    ~CurlTransfer();

    CurlTransfer(const CurlTransfer &) = delete;
    CurlTransfer &operator=(const CurlTransfer &) = delete;

    /** Prepares the call. @return the libcurl handle. */
    void *prepare();
    void *easy() const { return m_easy; }

    /** Continues after the handler refused a piece. */
    void unpause();

    /** @return the result once a time-out has passed. */
    std::optional<UpstreamResult> expired(SteadyTime now) const;

    /** @return when expired() has to be asked again. */
    SteadyTime nextExpiry() const;

    /** Tells the handler how the call ended. */
    void end(const UpstreamEnd &end);

    /** @return the result for libcurl's code @p code. */
    UpstreamResult resultOf(int code) const;

    /** @return true from the head of the answer to its end, unless the handler paused it. */
    bool isReading() const { return m_headersDone && !m_paused; }

    /** Notes the state of the connection before libcurl closes @p socket or keeps it for reuse. */
    void onSocketReleased(int socket);

    /** @return the status of the answer, 0 before it arrived. */
    int httpStatus() const { return m_status; }

private:
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *self);
    /** Reads a line of the head. @return false to end the transfer. */
    bool readHeaderLine(std::string_view line);
    /** Reads a part of the body. @return false to end the transfer. */
    bool readBody(std::string_view bytes);
    bool nothingSent() const;
    bool isRequestWritten() const;
    /** @return true when the answer is whole and the connection can serve no other request. */
    bool isDoneBeforeRequest() const;

    UpstreamRequest m_request;
    std::shared_ptr<UpstreamHandler> m_handler;
    void *m_easy = nullptr;
    curl_slist *m_headerList = nullptr;
    std::unique_ptr<AnswerParser> m_parser;
    /** Bytes that the parser did not take yet. */
    std::string m_in;
    /** Bytes of a refused part of the body, which libcurl passes once more. */
    std::size_t m_readAhead = 0;
    /** The peer had acknowledged all that was written when libcurl released the socket. */
    bool m_isAcknowledged = true;
    int m_status = 0;
    bool m_headersDone = false;
    bool m_firstByte = false;
    bool m_paused = false;
    SteadyTime m_start;
    SteadyTime m_lastActivity;
};

} // namespace hawthornslip
