#include "drivers/http/ulfius_http_server.h"

#include "core/caller_limits.h"
#include "core/file_text.h"
#include "core/logger.h"
#include "drivers/http/connection_table.h"
#include "drivers/http/ulfius_messages.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <cstdarg>
#include <cstring>
#include <optional>
#include <string_view>

namespace hawthornslip {

namespace {

// Connections above the bound that still get an error answer instead of waiting in the backlog.
constexpr std::size_t kRefusedConnections = 64;
// libmicrohttpd keeps the headers and its own tables of them in the same memory pool.
constexpr std::size_t kConnectionPoolExtra = 32 << 10;
constexpr std::size_t kThreadStackBytes = 512 << 10;
constexpr int kListenBacklog = 1024;

MHD_OptionItem option(MHD_OPTION name, std::intptr_t value, void *pointer = nullptr)
{
    return {name, value, pointer};
}

/** @return why a request ended, or nothing if it was answered. */
std::optional<ConnectionEndCause> causeOf(MHD_RequestTerminationCode code)
{
    switch (code) {
    case MHD_REQUEST_TERMINATED_COMPLETED_OK:
        return std::nullopt;
    case MHD_REQUEST_TERMINATED_TIMEOUT_REACHED:
        return ConnectionEndCause::IdleTimeout;
    case MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN:
        return ConnectionEndCause::ListenerClosed;
    case MHD_REQUEST_TERMINATED_READ_ERROR:
    case MHD_REQUEST_TERMINATED_CLIENT_ABORT:
        return ConnectionEndCause::CallerClosed;
    case MHD_REQUEST_TERMINATED_WITH_ERROR:
        break;
    }
    return ConnectionEndCause::AnswerBroken;
}

/** @return true if the message @p format of libmicrohttpd means that it closed a new connection. */
bool endsNewConnection(std::string_view format)
{
    // There is no notification for it.
    return format.find("connection limit") != std::string_view::npos ||
           format.starts_with("Failed to create a thread");
}

template <typename Function>
std::intptr_t address(Function *function)
{
    return reinterpret_cast<std::intptr_t>(function);
}

} // namespace

UlfiusHttpServer::UlfiusHttpServer(HttpServerSettings settings)
    : m_settings(std::move(settings))
    , m_connections(std::make_unique<ConnectionTable>(seconds(idleSeconds()),
                                                      !m_settings.tls.certificate.empty()))
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

void UlfiusHttpServer::onConnectionEnd(EndHandler handler)
{
    m_connectionEnd = std::move(handler);
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
        auto &server = *static_cast<UlfiusHttpServer *>(self);
        if (code == MHD_CONNECTION_NOTIFY_STARTED)
            server.m_connections->opened(connection);
        else
            server.connectionClosed(connection);
    };
    Completed *completed = [](void *self, MHD_Connection *connection, void **context,
                              MHD_RequestTerminationCode code) {
        mhd_request_completed(nullptr, connection, context, code);
        static_cast<UlfiusHttpServer *>(self)->requestCompleted(connection, causeOf(code));
    };
    using Logger = void(void *, const char *, va_list);
    Logger *logger = [](void *self, const char *format, va_list /*values*/) {
        if (endsNewConnection(format))
            static_cast<UlfiusHttpServer *>(self)->connectionDropped();
    };
    std::vector<MHD_OptionItem> options = {
            option(MHD_OPTION_EXTERNAL_LOGGER, address(logger), this),
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
                     MHD_USE_POLL | MHD_USE_ITC | MHD_USE_ERROR_LOG;
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
    HttpRequest request = convertRequest(from, headerBytes);
    const auto *address = reinterpret_cast<const sockaddr_in *>(from.client_address);
    const auto entry =
            address == nullptr ? ConnectionTable::Entry{} : m_connections->begin(*address);
    if (entry.connection == nullptr) {
        logEvent(LogLevel::Error, "connection_unknown", {{"client", request.clientAddress}});
        auto refused = reject(HttpRejection::HandlerFailed, request);
        refused.close = true;
        fillResponse(response, refused, {});
        return U_CALLBACK_COMPLETE;
    }
    ++m_active;
    const bool isLast = asksForClose(from);
    // The idle time-out does not count while a handler works; it starts afresh with the answer,
    // where it bounds how long the client does not read.
    MHD_set_connection_option(entry.connection, MHD_CONNECTION_OPTION_TIMEOUT, 0U);
    auto answered = answer(std::move(request), std::make_shared<SocketClientLink>(entry.socket),
                           headerBytes);
    restartIdleTimeout(entry.connection, idleSeconds());
    if (!m_accepting)
        answered.close = true;
    m_connections->answered(entry.connection, isLast || answered.close);
    const unsigned promised = isLast || answered.close ? 0 : promisedSeconds();
    fillResponse(response, answered,
                 {entry.connection, idleSeconds(), promised,
                  [this, it = entry.connection] { m_connections->answerBroke(it); }});
    return U_CALLBACK_COMPLETE;
}

unsigned UlfiusHttpServer::promisedSeconds() const
{
    const auto span = reusableFor(seconds(idleSeconds()));
    return static_cast<unsigned>(std::chrono::floor<std::chrono::seconds>(span).count());
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

void UlfiusHttpServer::requestCompleted(MHD_Connection *connection,
                                        std::optional<ConnectionEndCause> cause)
{
    if (!m_connections->end(connection, cause))
        return;
    const std::lock_guard lock(m_mutex);
    if (--m_active == 0)
        m_idle.notify_all();
}

void UlfiusHttpServer::connectionClosed(MHD_Connection *connection)
{
    const auto end = m_connections->closed(connection);
    if (end && m_connectionEnd)
        m_connectionEnd(*end);
}

void UlfiusHttpServer::connectionDropped() const
{
    // Nothing was read of it.
    if (m_connectionEnd)
        m_connectionEnd({ConnectionEndCause::TooManyConnections, RequestAtEnd::Unread, 0});
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
    if (const std::size_t n = m_active; n > 0)
        logEvent(LogLevel::Warning, "requests_cut", {{"port", m_port}, {"requests", n}});
    m_connections->beginClose();
    // Cuts connections that are still open, therefore the wait.
    ulfius_stop_framework(m_instance.get());
    ulfius_clean_instance(m_instance.get());
    m_instance.reset();
}

} // namespace hawthornslip
