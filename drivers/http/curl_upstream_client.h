#pragma once

#include "core/interfaces/upstream_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <vector>

namespace hawthornslip {

class CurlTransfer;

/**
 * Sends calls with libcurl on one event loop thread. Connections are kept alive. All timers run on
 * the loop, with a resolution of a millisecond.
 */
class CurlUpstreamClient : public UpstreamClient
{
public:
    /** @param caFile certificates to trust for `https://`; empty trusts those of the system. */
    explicit CurlUpstreamClient(std::string caFile = {});
    /** Cancels the calls in progress and joins the thread. */
    ~CurlUpstreamClient() override;

    CurlUpstreamClient(const CurlUpstreamClient &) = delete;
    CurlUpstreamClient &operator=(const CurlUpstreamClient &) = delete;

    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override;

private:
    friend class CurlTransfer;
    using Task = std::function<void()>;
    using SteadyTime = std::chrono::steady_clock::time_point;
    using Timers = std::multimap<SteadyTime, std::weak_ptr<CurlTransfer>>;

    void post(Task task);
    void runLoop();
    void runTasks();
    void runTimers();
    int nextTimeout() const;
    void readMessages();
    void begin(const std::shared_ptr<CurlTransfer> &transfer);
    /** Removes the transfer from the loop and tells its handler. */
    void finish(const std::shared_ptr<CurlTransfer> &transfer, const UpstreamEnd &end);
    void schedule(const std::shared_ptr<CurlTransfer> &transfer, SteadyTime when);
    static int onSocket(void *easy, int socket, int what, void *self, void *known);
    static int onTimer(void *multi, long millis, void *self);

    const std::string m_caFile;
    void *m_multi = nullptr;
    int m_epoll = -1;
    int m_event = -1;
    std::mutex m_mutex;
    std::vector<Task> m_tasks;
    bool m_stopping = false;
    /** The members below belong to the loop's thread. */
    std::unordered_map<void *, std::shared_ptr<CurlTransfer>> m_transfers;
    Timers m_timers;
    SteadyTime m_curlTimer = SteadyTime::max();
    std::thread m_thread;
};

} // namespace hawthornslip
