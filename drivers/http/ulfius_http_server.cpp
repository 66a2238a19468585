#include "drivers/http/ulfius_http_server.h"

#include "core/ascii.h"
#include "core/file_text.h"
#include "core/logger.h"
#include "drivers/http/connection_table.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstring>

namespace hawthornslip {

namespace {

// Connections above the bound that still get an error answer instead of waiting in the backlog.
constexpr std::size_t kRefusedConnections = 64;
// libmicrohttpd keeps the headers and its own tables of them in the same memory pool.
constexpr std::size_t kConnectionPoolExtra = 32 << 10;
constexpr std::size_t kThreadStackBytes = 512 << 10;
constexpr std::size_t kStreamBlockBytes = 16 << 10;
constexpr int kListenBacklog = 1024;

std::string textOf(const char *text)
{
    return text == nullptr ? std::string() : std::string(text);
}

HttpRequest convert(const _u_request &from, std::size_t &headerBytes)
{
    HttpRequest request;
    request.method = textOf(from.http_verb);
    const std::string url = textOf(from.http_url);
    headerBytes = url.size();
    const auto mark = url.find('?');
    request.path = url.substr(0, mark);
    if (mark != std::string::npos)
        request.query = url.substr(mark + 1);
    const char **names = u_map_enum_keys(from.map_header);
    for (int i = 0; names != nullptr && names[i] != nullptr; ++i) {
        request.headers.emplace_back(toLowerAscii(names[i]),
                                     textOf(u_map_get(from.map_header, names[i])));
        headerBytes += request.headers.back().first.size() + request.headers.back().second.size();
    }
    if (from.binary_body != nullptr)
        request.body.assign(static_cast<const char *>(from.binary_body), from.binary_body_length);
    if (from.client_address != nullptr) {
        const auto *address = reinterpret_cast<const sockaddr_in *>(from.client_address);
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
        request.clientAddress =
                std::string(text.data()) + ':' + std::to_string(ntohs(address->sin_port));
    }
    return request;
}

// libmicrohttpd counts the idle time afresh when the time-out is set after it was off.
void restartIdleTimeout(MHD_Connection *connection, unsigned seconds)
{
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
    MHD_set_connection_option(connection, MHD_CONNECTION_OPTION_TIMEOUT, seconds);
}

/** A streamed answer and the connection that it is sent on. */
struct ConnectionStream
{
    std::unique_ptr<HttpBodySource> source;
    MHD_Connection *connection;
    unsigned idleSeconds;

    HttpBodyRead read(char *room, std::size_t size) const
    {
        using Clock = std::chrono::steady_clock;
        const auto start = Clock::now();
        const auto result = source->read(room, size);
        // The wait for a piece is not the client's silence. Short waits are not worth the call.
        if (Clock::now() - start >= std::chrono::milliseconds(500))
            restartIdleTimeout(connection, idleSeconds);
        return result;
    }
};

ssize_t readStream(void *stream, std::uint64_t /*offset*/, char *room, std::size_t size)
{
    const auto result = static_cast<const ConnectionStream *>(stream)->read(room, size);
    switch (result.state) {
    case HttpBodyRead::State::More:
        return static_cast<ssize_t>(result.bytes);
    case HttpBodyRead::State::End:
        return U_STREAM_END;
    case HttpBodyRead::State::Broken:
        break;
    }
    return U_STREAM_ERROR;
}

void freeStream(void *stream)
{
    delete static_cast<ConnectionStream *>(stream);
}

void fill(_u_response &response, HttpResponse &answer, MHD_Connection *connection,
          unsigned idleSeconds)
{
    for (const auto &[name, value] : answer.headers)
        ulfius_add_header_to_response(&response, name.c_str(), value.c_str());
    if (answer.close)
        ulfius_add_header_to_response(&response, "Connection", "close");
    const auto status = static_cast<unsigned>(answer.status);
    if (answer.stream) {
        ulfius_set_stream_response(
                &response, status, &readStream, &freeStream, U_STREAM_SIZE_UNKNOWN,
                kStreamBlockBytes,
                new ConnectionStream{std::move(answer.stream), connection, idleSeconds});
    } else if (answer.body.empty()) {
        ulfius_set_empty_body_response(&response, status);
    } else {
        ulfius_set_binary_body_response(&response, status, answer.body.data(), answer.body.size());
    }
}

MHD_OptionItem option(MHD_OPTION name, std::intptr_t value, void *pointer = nullptr)
{
    return {name, value, pointer};
}

template <typename Function>
std::intptr_t address(Function *function)
{
    return reinterpret_cast<std::intptr_t>(function);
}

} // namespace

UlfiusHttpServer::UlfiusHttpServer(HttpServerSettings settings)
    : m_settings(std::move(settings))
    , m_connections(std::make_unique<ConnectionTable>())
{}

UlfiusHttpServer::~UlfiusHttpServer()
{
    stop(Duration(0));
}

void UlfiusHttpServer::route(std::string method, std::string pathPrefix, Handler handler)
{
    m_routes.push_back({std::move(method), std::move(pathPrefix), std::move(handler)});
    std::stable_sort(m_routes.begin(), m_routes.end(), [](const Route &a, const Route &b) {
        return a.prefix.size() > b.prefix.size();
    });
}

void UlfiusHttpServer::onRejection(RejectionHandler handler)
{
    m_rejection = std::move(handler);
}

bool UlfiusHttpServer::start()
{
    Tls tls;
    if (!readTlsFiles(tls) || !openListenSocket())
        return false;
    m_running = startFramework(tls);
    m_accepting = m_running;
    if (!m_running) {
        close(m_listenSocket);
        m_listenSocket = -1;
    }
    return m_running;
}

bool UlfiusHttpServer::openListenSocket()
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_settings.listen.port);
    if (inet_pton(AF_INET, m_settings.listen.ip.c_str(), &address.sin_addr) != 1)
        return false;
    m_listenSocket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listenSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    socklen_t length = sizeof address;
    if (m_listenSocket < 0 ||
        bind(m_listenSocket, reinterpret_cast<sockaddr *>(&address), sizeof address) != 0 ||
        listen(m_listenSocket, kListenBacklog) != 0 ||
        getsockname(m_listenSocket, reinterpret_cast<sockaddr *>(&address), &length) != 0) {
        logEvent(LogLevel::Error, "listen_failed",
                 {{"address", m_settings.listen.ip},
                  {"port", m_settings.listen.port},
                  {"error", std::strerror(errno)}});
        if (m_listenSocket >= 0)
            close(m_listenSocket);
        m_listenSocket = -1;
        return false;
    }
    m_port = ntohs(address.sin_port);
    return true;
}

bool UlfiusHttpServer::readTlsFiles(Tls &tls) const
{
    if (m_settings.tls.certificate.empty() && m_settings.tls.key.empty())
        return true;
    tls.certificate = readFileText(m_settings.tls.certificate).value_or("");
    tls.key = readFileText(m_settings.tls.key).value_or("");
    if (!tls.certificate.empty() && !tls.key.empty())
        return true;
    logEvent(LogLevel::Error, "tls_files_unreadable",
             {{"certificate", m_settings.tls.certificate}, {"key", m_settings.tls.key}});
    return false;
}

bool UlfiusHttpServer::startFramework(const Tls &tls)
{
    m_instance = std::make_unique<_u_instance>();
    ulfius_init_instance(m_instance.get(), m_port, nullptr, nullptr);
    // One byte above the bound shows that a body was too large; ulfius cuts bodies silently.
    m_instance->max_post_body_size = m_settings.maxBodyBytes + std::size_t{1};
    m_instance->allowed_post_processor = U_POST_PROCESS_NONE;
    // Invalid values have to be seen to be refused.
    m_instance->check_utf8 = 0;
    ulfius_set_default_endpoint(
            m_instance.get(),
            +[](const _u_request *request, _u_response *response, void *self) {
                return static_cast<UlfiusHttpServer *>(self)->handle(*request, *response);
            },
            this);

    using Notify = void(void *, MHD_Connection *, void **, MHD_ConnectionNotificationCode);
    using Completed = void(void *, MHD_Connection *, void **, MHD_RequestTerminationCode);
    Notify *notify = [](void *self, MHD_Connection *connection, void ** /*context*/,
                        MHD_ConnectionNotificationCode code) {
        auto &table = *static_cast<UlfiusHttpServer *>(self)->m_connections;
        code == MHD_CONNECTION_NOTIFY_STARTED ? table.opened(connection) : table.closed(connection);
    };
    Completed *completed = [](void *self, MHD_Connection *connection, void **context,
                              MHD_RequestTerminationCode code) {
        mhd_request_completed(nullptr, connection, context, code);
        static_cast<UlfiusHttpServer *>(self)->requestCompleted(connection);
    };
    std::vector<MHD_OptionItem> options = {
            option(MHD_OPTION_NOTIFY_COMPLETED, address(completed), this),
            option(MHD_OPTION_NOTIFY_CONNECTION, address(notify), this),
            option(MHD_OPTION_URI_LOG_CALLBACK, address(&ulfius_uri_logger)),
            option(MHD_OPTION_LISTEN_SOCKET, m_listenSocket),
            option(MHD_OPTION_CONNECTION_LIMIT,
                   static_cast<std::intptr_t>(m_settings.maxConnections + kRefusedConnections)),
            option(MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                   static_cast<std::intptr_t>(2 * m_settings.maxHeaderBytes +
                                              kConnectionPoolExtra)),
            option(MHD_OPTION_CONNECTION_TIMEOUT, static_cast<std::intptr_t>(idleSeconds())),
            option(MHD_OPTION_THREAD_STACK_SIZE, kThreadStackBytes),
    };
    // poll() is required: select() fails on descriptors above 1023.
    unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
                     MHD_USE_POLL | MHD_USE_ITC;
    if (!tls.key.empty()) {
        flags |= MHD_USE_TLS;
        options.push_back(option(MHD_OPTION_HTTPS_MEM_KEY, 0, const_cast<char *>(tls.key.c_str())));
        options.push_back(
                option(MHD_OPTION_HTTPS_MEM_CERT, 0, const_cast<char *>(tls.certificate.c_str())));
    }
    options.push_back(option(MHD_OPTION_END, 0));
    if (ulfius_start_framework_with_mhd_options(m_instance.get(), flags, options.data()) == U_OK)
        return true;
    logEvent(LogLevel::Error, "listener_start_failed", {{"port", m_port}});
    ulfius_clean_instance(m_instance.get());
    m_instance.reset();
    return false;
}

int UlfiusHttpServer::handle(const _u_request &from, _u_response &response)
{
    std::size_t headerBytes = 0;
    HttpRequest request = convert(from, headerBytes);
    const auto *address = reinterpret_cast<const sockaddr_in *>(from.client_address);
    const auto entry =
            address == nullptr ? ConnectionTable::Entry{} : m_connections->begin(*address);
    if (entry.connection == nullptr)
        return U_CALLBACK_ERROR;
    ++m_active;
    // The idle time-out does not count while a handler works; it starts afresh with the answer,
    // where it bounds how long the client does not read.
    MHD_set_connection_option(entry.connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
    auto answered = answer(std::move(request), std::make_shared<SocketClientLink>(entry.socket),
                           headerBytes);
    restartIdleTimeout(entry.connection, idleSeconds());
    if (!m_accepting)
        answered.close = true;
    fill(response, answered, entry.connection, idleSeconds());
    return U_CALLBACK_COMPLETE;
}

unsigned UlfiusHttpServer::idleSeconds() const
{
    return static_cast<unsigned>(
            std::chrono::ceil<std::chrono::seconds>(m_settings.idleTimeout).count());
}

HttpResponse UlfiusHttpServer::answer(HttpRequest request,
                                      const std::shared_ptr<HttpClientConnection> &link,
                                      std::size_t headerBytes) const
{
    if (m_connections->size() > m_settings.maxConnections) {
        auto refused = reject(HttpRejection::TooManyConnections, request);
        refused.close = true;
        return refused;
    }
    if (headerBytes > m_settings.maxHeaderBytes)
        return reject(HttpRejection::HeadersTooLarge, request);
    if (request.body.size() > m_settings.maxBodyBytes)
        return reject(HttpRejection::BodyTooLarge, request);
    try {
        return dispatch(std::move(request), link);
    } catch (const std::exception &error) {
        logEvent(LogLevel::Error, "handler_failed", {{"error", error.what()}});
        return reject(HttpRejection::HandlerFailed, {});
    }
}

HttpResponse UlfiusHttpServer::dispatch(HttpRequest request,
                                        const std::shared_ptr<HttpClientConnection> &link) const
{
    bool pathKnown = false;
    for (const auto &it : m_routes) {
        const bool matches = it.prefix.back() == '/' ? request.path.starts_with(it.prefix)
                                                     : request.path == it.prefix;
        if (!matches)
            continue;
        if (it.method == "*" || it.method == request.method)
            return it.handler(std::move(request), link);
        pathKnown = true;
    }
    return reject(pathKnown ? HttpRejection::MethodNotAllowed : HttpRejection::UnknownRoute,
                  request);
}

HttpResponse UlfiusHttpServer::reject(HttpRejection reason, const HttpRequest &request) const
{
    if (m_rejection)
        return m_rejection(reason, request);
    HttpResponse plain;
    switch (reason) {
    case HttpRejection::UnknownRoute:
        plain.status = 404;
        break;
    case HttpRejection::MethodNotAllowed:
        plain.status = 405;
        break;
    case HttpRejection::BodyTooLarge:
        plain.status = 413;
        break;
    case HttpRejection::HeadersTooLarge:
        plain.status = 431;
        break;
    case HttpRejection::TooManyConnections:
        plain.status = 503;
        break;
    case HttpRejection::HandlerFailed:
        plain.status = 500;
        break;
    }
    return plain;
}

void UlfiusHttpServer::requestCompleted(MHD_Connection *connection)
{
    if (!m_connections->end(connection))
        return;
    const std::lock_guard lock(m_mutex);
    if (--m_active == 0)
        m_idle.notify_all();
}

void UlfiusHttpServer::stopAccepting()
{
    if (!m_running || !m_accepting.exchange(false))
        return;
    const int socket = MHD_quiesce_daemon(m_instance->mhd_daemon);
    if (socket != MHD_INVALID_SOCKET) {
        // The listener's thread may still poll the socket, which would keep it open after close().
        shutdown(socket, SHUT_RDWR);
        close(socket);
    }
    m_listenSocket = -1;
}

void UlfiusHttpServer::stop(Duration grace)
{
    if (!m_running)
        return;
    stopAccepting();
    {
        std::unique_lock lock(m_mutex);
        m_idle.wait_for(lock, grace, [this] { return m_active == 0; });
    }
    m_running = false;
    // Cuts connections that are still open, therefore the wait.
    ulfius_stop_framework(m_instance.get());
    ulfius_clean_instance(m_instance.get());
    m_instance.reset();
}

} // namespace hawthornslip
