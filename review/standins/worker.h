#pragma once

#include "drivers/asio/asio_http_server.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace hawthornslip::review {

/** A request as it reached a worker. */
struct Arrival
{
    std::string worker;
    std::string attempt;
    std::string path;
    std::string tenant;
    std::string body;
    TimePoint at{};
};

/** A sound worker of a plain service: answers each request after some work. */
class Worker : public RequestSink
{
public:
    /** Sees each request that this worker runs. */
    using OnRun = std::function<void(const Arrival &)>;

    Worker(AsioEventLoop &loop, std::string id, Duration work, OnRun onRun);
    /** Listens on a free port. @return the port. */
    std::uint16_t start();

    /** Ends as a process does that exits: its port and its connections are closed. */
    void exit();

    /**
     * Sets how many of each ten requests it fails from now on: it runs them, and then answers 503
     * without saying that it has not run them.
     */
    void failOfTen(int requests) { m_failsOfTen = requests; }

    /** From now on all answers say that the worker leaves. */
    void sayLeaving() { m_saysLeaving = true; }

    /** @return what the worker writes into the store. */
    nlohmann::json entry(const std::string &service, const std::string &state) const;

    const std::string &id() const { return m_id; }
    /** @return requests that it works on. */
    std::size_t running() const { return m_running.size(); }

    std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                            std::shared_ptr<ResponseWriter> writer) override;
    CallerLimits limits() const override { return {}; }
    bool isStopping() const override { return false; }
    void onBadInput(int, std::string_view) override {}

private:
    bool failsNext();
    HttpHeaders answerHeaders(const std::string &attempt) const;

    AsioEventLoop &m_loop;
    std::string m_id;
    Duration m_work;
    OnRun m_onRun;
    AsioHttpServer m_server;
    std::uint16_t m_port = 0;
    bool m_saysLeaving = false;
    bool m_hasExited = false;
    int m_failsOfTen = 0;
    int m_runs = 0;
    /** Of the requests that it works on. */
    std::set<std::shared_ptr<ResponseWriter>> m_running;
};

} // namespace hawthornslip::review
