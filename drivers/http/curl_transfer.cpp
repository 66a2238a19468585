#include "drivers/http/curl_transfer.h"

#include "drivers/asio/http_message_parser.h"
#include "drivers/asio/socket_options.h"

#include <boost/beast/http/error.hpp>
#include <curl/curl.h>

#include <algorithm>

namespace hawthornslip {

namespace {

namespace http = boost::beast::http;

// Unfinished line of a chunk, or unfinished trailers.
constexpr std::size_t kMaxUnfinishedBytes = 16 << 10;

std::unique_ptr<AnswerParser> makeParser(const UpstreamRequest &request)
{
    auto parser = std::make_unique<AnswerParser>();
    parser->skip(request.method == "HEAD");
    return parser;
}

} // namespace

CurlTransfer::CurlTransfer(UpstreamRequest request, std::shared_ptr<UpstreamHandler> handler)
    : m_request(std::move(request))
    , m_handler(std::move(handler))
    , m_parser(makeParser(m_request))
    , m_start(std::chrono::steady_clock::now())
    , m_lastActivity(m_start)
{}

CurlTransfer::~CurlTransfer()
{
    if (m_easy != nullptr)
        curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headerList);
}

void *CurlTransfer::prepare()
{
    m_easy = curl_easy_init();
    curl_easy_setopt(m_easy, CURLOPT_URL, m_request.url.c_str());
    curl_easy_setopt(m_easy, CURLOPT_PROTOCOLS_STR, "http,https");
    // No proxy from the environment may come between the router and an upstream.
    curl_easy_setopt(m_easy, CURLOPT_PROXY, "");
    curl_easy_setopt(m_easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(m_easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(m_easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(m_easy, CURLOPT_CONNECTTIMEOUT_MS, toMillis(m_request.connectTimeout));
    curl_easy_setopt(m_easy, CURLOPT_CUSTOMREQUEST, m_request.method.c_str());
    if (m_request.method == "HEAD")
        curl_easy_setopt(m_easy, CURLOPT_NOBODY, 1L);
    if (!m_request.content().empty() || m_request.method == "POST" || m_request.method == "PUT") {
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(m_request.content().size()));
        curl_easy_setopt(m_easy, CURLOPT_POSTFIELDS, m_request.content().data());
    }
    if (m_request.sendOnce) {
        // libcurl repeats a request whose kept-alive connection closed without an answer, but
        // never on a connection of its own.
        curl_easy_setopt(m_easy, CURLOPT_FRESH_CONNECT, 1L);
    }
    // Waiting for "100 Continue" would delay large requests, and a default content type would
    // change calls to applications.
    m_headerList = curl_slist_append(m_headerList, "Expect:");
    m_headerList = curl_slist_append(m_headerList, "Accept:");
    const bool typed = std::any_of(m_request.headers.begin(), m_request.headers.end(),
                                   [](const auto &it) { return it.first == "content-type"; });
    if (!typed)
        m_headerList = curl_slist_append(m_headerList, "Content-Type:");
    for (const auto &[name, value] : m_request.headers) {
        // libcurl removes a header that has no value unless it is written with a semicolon.
        const std::string line = value.empty() ? name + ';' : name + ": " + value;
        m_headerList = curl_slist_append(m_headerList, line.c_str());
    }
    curl_easy_setopt(m_easy, CURLOPT_HTTPHEADER, m_headerList);
    // The parser reads the chunks.
    curl_easy_setopt(m_easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(m_easy, CURLOPT_HEADERFUNCTION, &CurlTransfer::onHeader);
    curl_easy_setopt(m_easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(m_easy, CURLOPT_WRITEFUNCTION, &CurlTransfer::onBody);
    curl_easy_setopt(m_easy, CURLOPT_WRITEDATA, this);
    return m_easy;
}

void CurlTransfer::unpause()
{
    if (!m_paused)
        return;
    m_paused = false;
    m_lastActivity = std::chrono::steady_clock::now();
    curl_easy_pause(m_easy, CURLPAUSE_CONT);
}

std::optional<UpstreamResult> CurlTransfer::expired(SteadyTime now) const
{
    if (now >= m_start + m_request.totalTimeout)
        return UpstreamResult::TotalTimeout;
    if (!m_firstByte && m_request.firstByteTimeout.count() > 0 &&
        now >= m_start + m_request.firstByteTimeout)
        return UpstreamResult::FirstByteTimeout;
    if (m_firstByte && !m_paused && m_request.idleTimeout.count() > 0 &&
        now >= m_lastActivity + m_request.idleTimeout)
        return UpstreamResult::IdleTimeout;
    return std::nullopt;
}

CurlTransfer::SteadyTime CurlTransfer::nextExpiry() const
{
    SteadyTime next = m_start + m_request.totalTimeout;
    if (!m_firstByte && m_request.firstByteTimeout.count() > 0)
        next = std::min<SteadyTime>(next, m_start + m_request.firstByteTimeout);
    // Also armed before the first byte and while paused: expired() decides when it is due.
    if (m_request.idleTimeout.count() > 0) {
        const auto from =
                m_firstByte && !m_paused ? m_lastActivity : std::chrono::steady_clock::now();
        next = std::min<SteadyTime>(next, from + m_request.idleTimeout);
    }
    return next;
}

void CurlTransfer::end(const UpstreamEnd &end)
{
    const auto handler = std::move(m_handler);
    if (handler)
        handler->onEnd(end);
}

bool CurlTransfer::nothingSent() const
{
    // libcurl adds to the request size as soon as the first byte was handed to the socket.
    long requestBytes = 0;
    curl_easy_getinfo(m_easy, CURLINFO_REQUEST_SIZE, &requestBytes);
    return requestBytes == 0;
}

bool CurlTransfer::isRequestWritten() const
{
    curl_off_t n = 0;
    curl_easy_getinfo(m_easy, CURLINFO_SIZE_UPLOAD_T, &n);
    return static_cast<std::size_t>(n) >= m_request.content().size();
}

void CurlTransfer::onSocketReleased(int socket)
{
    m_isAcknowledged = unacknowledgedBytes(socket) == 0;
}

bool CurlTransfer::isDoneBeforeRequest() const
{
    return m_parser->is_done() && !isRequestWritten();
}

UpstreamResult CurlTransfer::resultOf(int code) const
{
    const bool isTaken = m_headersDone && m_readAhead == 0;
    if (isTaken && m_parser->is_done())
        return UpstreamResult::Complete;
    if (code != CURLE_OK)
        return nothingSent() ? UpstreamResult::ConnectFailed : UpstreamResult::Broken;
    // libcurl takes any end of the connection for the end of a head, or of a body without a length.
    // A peer that has not read the request did not end its answer but its process.
    const bool isEnded = isTaken && m_parser->need_eof() && isRequestWritten() && m_isAcknowledged;
    return isEnded ? UpstreamResult::Complete : UpstreamResult::Broken;
}

std::size_t CurlTransfer::onHeader(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<CurlTransfer *>(self);
    transfer.m_lastActivity = std::chrono::steady_clock::now();
    // Any other number ends the transfer.
    return transfer.readHeaderLine(std::string_view(data, size * count)) ? size * count : 0;
}

bool CurlTransfer::readHeaderLine(std::string_view line)
{
    constexpr int kFirstFinalStatus = 200;
    m_in += line;
    AnswerParser::Error ec;
    const std::size_t n = m_parser->read(m_in, ec);
    if (!m_parser->is_header_done())
        return ec == http::error::need_more;
    m_in.erase(0, n);
    if (m_parser->status < kFirstFinalStatus) {
        m_parser = makeParser(m_request);
        return true;
    }
    m_headersDone = true;
    m_status = m_parser->status;
    m_handler->onHeaders(m_status, m_parser->headers);
    return !isDoneBeforeRequest();
}

std::size_t CurlTransfer::onBody(char *data, std::size_t size, std::size_t count, void *self)
{
    auto &transfer = *static_cast<CurlTransfer *>(self);
    transfer.m_firstByte = true;
    transfer.m_lastActivity = std::chrono::steady_clock::now();
    const std::string_view bytes(data, size * count);
    if (!transfer.readBody(bytes.substr(std::min(transfer.m_readAhead, bytes.size()))))
        return 0;
    transfer.m_readAhead = 0;
    if (!transfer.m_parser->body.empty() && !transfer.m_handler->onData(transfer.m_parser->body)) {
        transfer.m_readAhead = bytes.size();
        transfer.m_paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    transfer.m_parser->body.clear();
    return transfer.isDoneBeforeRequest() ? 0 : bytes.size();
}

bool CurlTransfer::readBody(std::string_view bytes)
{
    m_in += bytes;
    AnswerParser::Error ec;
    while (!ec && !m_in.empty() && !m_parser->is_done())
        m_in.erase(0, m_parser->read(m_in, ec));
    const bool isSound = !ec || ec == http::error::need_more;
    return isSound && m_in.size() <= kMaxUnfinishedBytes;
}

} // namespace hawthornslip
