#include "drivers/http/curl_upstream_client.h"

#include "drivers/http/curl_transfer.h"

#include <curl/curl.h>
#include <pthread.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hawthornslip {

namespace {

constexpr int kEventsPerWait = 256;
constexpr long kIdleConnections = 1024;

} // namespace

/** The caller's side of a transfer. */
class CurlCall : public UpstreamCall
{
public:
    CurlCall(std::function<void()> cancel, std::function<void()> resume)
        : m_cancel(std::move(cancel))
        , m_resume(std::move(resume))
    {}

    void cancel() override { m_cancel(); }
    void resume() override { m_resume(); }

private:
    std::function<void()> m_cancel;
    std::function<void()> m_resume;
};

CurlUpstreamClient::CurlUpstreamClient(std::string caFile)
    : m_caFile(std::move(caFile))
{
    static const CURLcode kInitialised = curl_global_init(CURL_GLOBAL_ALL);
    static_cast<void>(kInitialised);
    m_multi = curl_multi_init();
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETFUNCTION, &CurlUpstreamClient::onSocket);
    curl_multi_setopt(m_multi, CURLMOPT_SOCKETDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERFUNCTION, &CurlUpstreamClient::onTimer);
    curl_multi_setopt(m_multi, CURLMOPT_TIMERDATA, this);
    curl_multi_setopt(m_multi, CURLMOPT_MAXCONNECTS, kIdleConnections);
    m_epoll = epoll_create1(EPOLL_CLOEXEC);
    m_event = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = m_event;
    epoll_ctl(m_epoll, EPOLL_CTL_ADD, m_event, &event);
    m_thread = std::thread([this] { runLoop(); });
}

CurlUpstreamClient::~CurlUpstreamClient()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    eventfd_write(m_event, 1);
    m_thread.join();
    curl_multi_cleanup(m_multi);
    close(m_epoll);
    close(m_event);
}

std::shared_ptr<UpstreamCall> CurlUpstreamClient::send(UpstreamRequest request,
                                                       std::shared_ptr<UpstreamHandler> handler)
{
    auto transfer = std::make_shared<CurlTransfer>(std::move(request), std::move(handler));
    std::weak_ptr<CurlTransfer> weak = transfer;
    post([this, transfer = std::move(transfer)] { begin(transfer); });
    return std::make_shared<CurlCall>(
            [this, weak] {
                post([this, weak] {
                    if (const auto it = weak.lock())
                        finish(it, {UpstreamResult::Cancelled, it->httpStatus(), "cancelled"});
                });
            },
            [this, weak] {
                post([weak] {
                    if (const auto it = weak.lock())
                        it->unpause();
                });
            });
}

void CurlUpstreamClient::post(Task task)
{
    bool first = false;
    {
        const std::lock_guard lock(m_mutex);
        first = m_tasks.empty();
        m_tasks.push_back(std::move(task));
    }
    if (first)
        eventfd_write(m_event, 1);
}

void CurlUpstreamClient::runLoop()
{
    pthread_setname_np(pthread_self(), "upstream-io");
    std::array<epoll_event, kEventsPerWait> events{};
    int running = 0;
    while (true) {
        const int n = epoll_wait(m_epoll, events.data(), kEventsPerWait, nextTimeout());
        for (int i = 0; i < n; ++i) {
            const auto &it = events[static_cast<std::size_t>(i)];
            if (it.data.fd == m_event) {
                eventfd_t ignored = 0;
                eventfd_read(m_event, &ignored);
                continue;
            }
            int what = (it.events & (EPOLLIN | EPOLLHUP)) != 0 ? CURL_CSELECT_IN : 0;
            what |= (it.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0;
            what |= (it.events & EPOLLERR) != 0 ? CURL_CSELECT_ERR : 0;
            curl_multi_socket_action(m_multi, it.data.fd, what, &running);
        }
        readMessages();
        runTasks();
        runTimers();
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            break;
    }
    while (!m_transfers.empty()) {
        const auto transfer = m_transfers.begin()->second;
        finish(transfer, {UpstreamResult::Cancelled, transfer->httpStatus(), "client stopped"});
    }
    m_timers.clear();
}

void CurlUpstreamClient::runTasks()
{
    std::vector<Task> tasks;
    {
        const std::lock_guard lock(m_mutex);
        tasks.swap(m_tasks);
    }
    for (const auto &it : tasks)
        it();
}

void CurlUpstreamClient::runTimers()
{
    const auto now = std::chrono::steady_clock::now();
    if (m_curlTimer <= now) {
        int running = 0;
        m_curlTimer = SteadyTime::max();
        curl_multi_socket_action(m_multi, CURL_SOCKET_TIMEOUT, 0, &running);
        readMessages();
    }
    while (!m_timers.empty() && m_timers.begin()->first <= now) {
        const auto transfer = m_timers.begin()->second.lock();
        m_timers.erase(m_timers.begin());
        if (!transfer || m_transfers.count(transfer->easy()) == 0)
            continue;
        if (const auto result = transfer->expired(now))
            finish(transfer, {*result, transfer->httpStatus(), "time-out"});
        else
            schedule(transfer, transfer->nextExpiry());
    }
}

int CurlUpstreamClient::nextTimeout() const
{
    SteadyTime next = m_curlTimer;
    if (!m_timers.empty())
        next = std::min(next, m_timers.begin()->first);
    if (next == SteadyTime::max())
        return -1;
    const auto left = next - std::chrono::steady_clock::now();
    // Rounded up, so that a timer is due when the wait ends.
    const auto millis = std::chrono::ceil<std::chrono::milliseconds>(left).count();
    return static_cast<int>(std::max<std::int64_t>(millis, 0));
}

void CurlUpstreamClient::readMessages()
{
    int left = 0;
    while (const CURLMsg *message = curl_multi_info_read(m_multi, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        const auto it = m_transfers.find(message->easy_handle);
        if (it == m_transfers.end())
            continue;
        const auto transfer = it->second;
        const CURLcode code = message->data.result;
        finish(transfer,
               {transfer->resultOf(code), transfer->httpStatus(), curl_easy_strerror(code)});
    }
}

void CurlUpstreamClient::begin(const std::shared_ptr<CurlTransfer> &transfer)
{
    void *easy = transfer->prepare();
    if (!m_caFile.empty())
        curl_easy_setopt(easy, CURLOPT_CAINFO, m_caFile.c_str());
    m_transfers.emplace(easy, transfer);
    curl_multi_add_handle(m_multi, easy);
    schedule(transfer, transfer->nextExpiry());
}

void CurlUpstreamClient::finish(const std::shared_ptr<CurlTransfer> &transfer,
                                const UpstreamEnd &end)
{
    if (m_transfers.erase(transfer->easy()) == 0)
        return;
    // Closes the connection when the answer is not complete, which cancels the upstream's work.
    curl_multi_remove_handle(m_multi, transfer->easy());
    transfer->end(end);
}

void CurlUpstreamClient::schedule(const std::shared_ptr<CurlTransfer> &transfer, SteadyTime when)
{
    m_timers.emplace(when, transfer);
}

int CurlUpstreamClient::onSocket(void *easy, int socket, int what, void *self, void *known)
{
    auto &client = *static_cast<CurlUpstreamClient *>(self);
    const auto it = client.m_transfers.find(easy);
    const auto transfer = it == client.m_transfers.end() ? nullptr : it->second;
    if (what == CURL_POLL_REMOVE) {
        if (transfer)
            transfer->onSocketReleased(socket);
        epoll_ctl(client.m_epoll, EPOLL_CTL_DEL, socket, nullptr);
        return 0;
    }
    // libcurl would write the rest of the request before it tells that the answer broke off.
    if (what == CURL_POLL_OUT && transfer && transfer->isReading())
        client.post([&client, transfer] {
            client.finish(transfer, {UpstreamResult::Broken, transfer->httpStatus(),
                                     "connection closed early"});
        });
    epoll_event event{};
    event.events = (what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U;
    event.events |= (what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U;
    event.data.fd = socket;
    const int operation = known == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
    if (epoll_ctl(client.m_epoll, operation, socket, &event) != 0)
        epoll_ctl(client.m_epoll, operation == EPOLL_CTL_ADD ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
                  socket, &event);
    // Any value but null marks the socket as known.
    curl_multi_assign(client.m_multi, socket, self);
    return 0;
}

int CurlUpstreamClient::onTimer(void * /*multi*/, long millis, void *self)
{
    auto &client = *static_cast<CurlUpstreamClient *>(self);
    client.m_curlTimer =
            millis < 0 ? SteadyTime::max()
                       : std::chrono::steady_clock::now() + std::chrono::milliseconds(millis);
    return 0;
}

} // namespace hawthornslip
