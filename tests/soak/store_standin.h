#pragma once

#include "drivers/asio/asio_http_server.h"

#include <nlohmann/json.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::soak {

/** The platform's object store, as far as gateways use it, with faults on command. */
class StoreStandin : public RequestSink
{
public:
    explicit StoreStandin(AsioEventLoop &loop);

    /** Listens on a free port. @return the port. */
    std::uint16_t start();

    /** Writes an object; all watches of its kind hear of it. */
    void put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void remove(const std::string &kind, const std::string &name);

    /** Every call until @p until is refused with 503, or not answered at all. */
    void refuseUntil(TimePoint until) { m_refuseUntil = until; }
    void silentUntil(TimePoint until) { m_silentUntil = until; }
    /** Every third call until @p until is done, but its connection is closed without an answer. */
    void loseAnswersUntil(TimePoint until) { m_loseUntil = until; }
    /** Answers take this much longer. */
    void delayAnswers(Duration delay) { m_delay = delay; }
    /** Cuts off the watches that are waiting. */
    void cutWatches();
    /** Forgets the changes so far and cuts off all watches. */
    void dropHistory();

    /** @return calls answered or refused. */
    std::uint64_t calls() const { return m_calls; }

    std::shared_ptr<CallerEvents> onRequest(HttpRequest request,
                                            std::shared_ptr<ResponseWriter> writer) override;
    CallerLimits limits() const override { return {}; }
    bool isStopping() const override { return false; }
    void onBadInput(int, std::string_view) override {}

private:
    struct Watch
    {
        std::string kind;
        std::uint64_t revision = 0;
        std::shared_ptr<ResponseWriter> writer;
        TimerId timer = 0;
    };

    void answer(const std::shared_ptr<ResponseWriter> &writer, int status,
                const nlohmann::json &body);
    void create(const std::string &kind, const HttpRequest &request,
                const std::shared_ptr<ResponseWriter> &writer);
    void list(const std::string &kind, const std::shared_ptr<ResponseWriter> &writer);
    void watch(const std::string &kind, std::uint64_t revision, Duration wait,
               const std::shared_ptr<ResponseWriter> &writer);
    nlohmann::json eventsAfter(const std::string &kind, std::uint64_t revision) const;
    void wakeWatches();

    AsioEventLoop &m_loop;
    AsioHttpServer m_server;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<std::pair<std::string, nlohmann::json>> m_history;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::uint64_t m_revision = 1;
    std::uint64_t m_oldest = 0;
    std::uint64_t m_calls = 0;
    TimePoint m_refuseUntil{};
    TimePoint m_silentUntil{};
    TimePoint m_loseUntil{};
    Duration m_delay{0};
};

} // namespace hawthornslip::soak
