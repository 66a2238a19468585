#pragma once

#include "drivers/asio/asio_http_server.h"

#include <nlohmann/json.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::review {

/** The platform's store, as far as gateways call it: lists, watches, creates and deletes. */
class Store : public RequestSink
{
public:
    explicit Store(AsioEventLoop &loop);

    /** Listens on a free port. @return the port. */
    std::uint16_t start();

    /** Writes an object; returning is the acknowledgement. */
    void put(const std::string &kind, const std::string &name, nlohmann::json spec);
    void remove(const std::string &kind, const std::string &name);

    /** Cuts off the watches that are waiting. @return their number. */
    std::size_t cutWatches();

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
    class WatchEvents;

    static void answer(ResponseWriter &writer, int status, const nlohmann::json &body);
    void create(const std::string &kind, const std::string &body, ResponseWriter &writer);
    std::shared_ptr<CallerEvents> watch(const std::string &kind, const std::string &query,
                                        std::shared_ptr<ResponseWriter> writer);
    nlohmann::json eventsAfter(const std::string &kind, std::uint64_t revision) const;
    void noteChange(const std::string &kind, nlohmann::json object, bool deleted);

    AsioEventLoop &m_loop;
    AsioHttpServer m_server;
    std::map<std::string, std::map<std::string, nlohmann::json>> m_objects;
    std::vector<std::pair<std::string, nlohmann::json>> m_history;
    std::vector<std::shared_ptr<Watch>> m_watches;
    std::uint64_t m_revision = 1;
};

} // namespace hawthornslip::review
