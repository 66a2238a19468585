#include "tests/standins/http_host.h"

#include "core/ascii.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstring>

namespace hawthornslip::standin {

namespace {

constexpr std::size_t kThreadStackBytes = 256 << 10;
constexpr int kListenBacklog = 512;
constexpr std::size_t kStreamBlockBytes = 16 << 10;

/** A streamed answer between two calls of its reader. */
struct StreamState
{
    std::shared_ptr<BodySource> source;
    std::string rest;
};

ssize_t readStream(void *data, uint64_t /*offset*/, char *buf, size_t max)
{
    auto *state = static_cast<StreamState *>(data);
    if (state->rest.empty()) {
        bool failed = false;
        state->rest = state->source->next(failed);
        if (failed)
            return U_STREAM_ERROR;
        if (state->rest.empty())
            return U_STREAM_END;
    }
    const std::size_t n = std::min(max, state->rest.size());
    std::memcpy(buf, state->rest.data(), n);
    state->rest.erase(0, n);
    return static_cast<ssize_t>(n);
}

void freeStream(void *data)
{
    delete static_cast<StreamState *>(data);
}

std::map<std::string, std::string> toMap(const _u_map *map, bool lowerNames)
{
    std::map<std::string, std::string> result;
    const char **keys = u_map_enum_keys(map);
    for (int i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
        const char *value = u_map_get(map, keys[i]);
        result[lowerNames ? toLowerAscii(keys[i]) : keys[i]] = value == nullptr ? "" : value;
    }
    return result;
}

HttpCall toCall(const _u_request *request)
{
    HttpCall call;
    call.method = request->http_verb;
    const std::string url = request->url_path != nullptr ? request->url_path : request->http_url;
    call.path = url.substr(0, url.find('?'));
    call.query = toMap(request->map_url, false);
    call.headers = toMap(request->map_header, true);
    if (request->binary_body != nullptr)
        call.body.assign(static_cast<const char *>(request->binary_body),
                         request->binary_body_length);
    if (request->client_address != nullptr)
        call.clientPort = ntohs(reinterpret_cast<sockaddr_in *>(request->client_address)->sin_port);
    return call;
}

void writeReply(const HttpReply &reply, _u_response *response)
{
    for (const auto &[name, value] : reply.headers)
        ulfius_add_header_to_response(response, name.c_str(), value.c_str());
    const auto status = static_cast<unsigned int>(reply.status);
    if (reply.stream == nullptr) {
        ulfius_set_binary_body_response(response, status, reply.body.data(), reply.body.size());
        return;
    }
    auto *state = new StreamState{reply.stream, {}};
    ulfius_set_stream_response(response, status, readStream, freeStream, U_STREAM_SIZE_UNKNOWN,
                               kStreamBlockBytes, state);
}

} // namespace

std::string HttpCall::header(const std::string &name) const
{
    const auto it = headers.find(name);
    return it == headers.end() ? std::string() : it->second;
}

HttpReply jsonReply(int status, const std::string &body)
{
    return {status, {{"Content-Type", "application/json"}}, body, nullptr};
}

HttpHost::HttpHost(Handler handler)
    : m_handler(std::move(handler))
    , m_instance(std::make_unique<_u_instance>())
{}

HttpHost::~HttpHost()
{
    stop();
}

std::string HttpHost::url() const
{
    return "http://127.0.0.1:" + std::to_string(m_port);
}

bool HttpHost::openSocket(std::uint16_t port)
{
    m_socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // Accepted connections inherit this; without it each token waits for the previous one's ACK.
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (bind(m_socket, generic, length) != 0 || listen(m_socket, kListenBacklog) != 0 ||
        getsockname(m_socket, generic, &length) != 0) {
        close(m_socket);
        m_socket = -1;
        return false;
    }
    m_port = ntohs(address.sin_port);
    return true;
}

bool HttpHost::start(std::uint16_t port)
{
    if (m_running)
        return true;
    if (!openSocket(port != 0 ? port : m_port))
        return false;
    ulfius_init_instance(m_instance.get(), m_port, nullptr, nullptr);
    m_instance->check_utf8 = 0;
    m_instance->allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(m_instance.get(), &HttpHost::handle, this);
    auto *changed = reinterpret_cast<void *>(&HttpHost::connectionChanged);
    MHD_OptionItem options[] = {
            {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(mhd_request_completed),
             nullptr},
            {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr},
            {MHD_OPTION_LISTEN_SOCKET, m_socket, nullptr},
            {MHD_OPTION_NOTIFY_CONNECTION, reinterpret_cast<intptr_t>(changed), this},
            {MHD_OPTION_THREAD_STACK_SIZE, static_cast<intptr_t>(kThreadStackBytes), nullptr},
            {MHD_OPTION_END, 0, nullptr}};
    const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD |
                           MHD_USE_POLL | MHD_USE_ITC;
    if (ulfius_start_framework_with_mhd_options(m_instance.get(), flags, options) != U_OK) {
        ulfius_clean_instance(m_instance.get());
        close(m_socket);
        return false;
    }
    m_running = true;
    return true;
}

void HttpHost::stop()
{
    if (!m_running.exchange(false))
        return;
    cutAll();
    ulfius_stop_framework(m_instance.get());
    ulfius_clean_instance(m_instance.get());
}

void HttpHost::cutAll()
{
    // New connections are refused before the open ones are cut, so that none slips in between.
    shutdown(m_socket, SHUT_RDWR);
    const std::lock_guard lock(m_mutex);
    for (const auto &[port, fd] : m_connections)
        shutdown(fd, SHUT_RDWR);
}

void HttpHost::cutConnection(std::uint16_t clientPort)
{
    const std::lock_guard lock(m_mutex);
    if (const auto it = m_connections.find(clientPort); it != m_connections.end())
        shutdown(it->second, SHUT_RDWR);
}

bool HttpHost::peerClosed(std::uint16_t clientPort) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_connections.find(clientPort);
    if (it == m_connections.end())
        return true;
    pollfd entry{it->second, POLLRDHUP, 0};
    return poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void HttpHost::connectionChanged(void *self, MHD_Connection *connection, void ** /*context*/,
                                 int code)
{
    auto *host = static_cast<HttpHost *>(self);
    const auto *fd = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    const auto *client = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (fd == nullptr || client == nullptr || client->client_addr == nullptr)
        return;
    const auto port = ntohs(reinterpret_cast<sockaddr_in *>(client->client_addr)->sin_port);
    const std::lock_guard lock(host->m_mutex);
    if (code == MHD_CONNECTION_NOTIFY_STARTED)
        host->m_connections[port] = fd->connect_fd;
    else
        host->m_connections.erase(port);
}

int HttpHost::handle(const _u_request *request, _u_response *response, void *self)
{
    auto *host = static_cast<HttpHost *>(self);
    writeReply(host->m_handler(toCall(request)), response);
    return U_CALLBACK_COMPLETE;
}

} // namespace hawthornslip::standin
