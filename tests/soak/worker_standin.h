#pragma once

#include "drivers/asio/asio_http_server.h"
#include "tests/soak/judge.h"

#include <memory>
#include <random>
#include <string>

namespace hawthornslip::soak {

/** A back end that serves orders, reads and streams, with faults on command. */
class WorkerStandin : public RequestSink
{
public:
    WorkerStandin(AsioEventLoop &loop, Judge &judge, std::string id, std::string service,
                  std::uint64_t seed);
    ~WorkerStandin() override;

    /** Listens on a free port. @return the port. */
    std::uint16_t start();

    /** Fails this share of the requests until @p until, in a way drawn for each. */
    void failUntil(TimePoint until, double share)
    {
        m_failUntil = until;
        m_failShare = share;
    }
    /** Refuses requests as if it were full until @p until. */
    void fullUntil(TimePoint until) { m_fullUntil = until; }

    /** Sends a second answer that nobody asked for after half of the answers until @p until. */
    void sendExtraUntil(TimePoint until) { m_extraUntil = until; }

    /** Says in all answers from now on that it leaves. */
    void beginLeaving() { m_isLeaving = true; }

    const std::string &id() const { return m_id; }
    const std::string &service() const { return m_service; }

    std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                            std::shared_ptr<ResponseWriter> writer) override;
    CallerLimits limits() const override { return {}; }
    bool isStopping() const override { return false; }
    void onBadInput(int, std::string_view) override {}

private:
    class Run;
    friend class Run;

    bool draw(double share);

    AsioEventLoop &m_loop;
    Judge &m_judge;
    std::string m_id;
    std::string m_service;
    std::mt19937_64 m_random;
    AsioHttpServer m_server;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    TimePoint m_failUntil{};
    double m_failShare = 0;
    TimePoint m_fullUntil{};
    TimePoint m_extraUntil{};
    bool m_isLeaving = false;
};

} // namespace hawthornslip::soak
