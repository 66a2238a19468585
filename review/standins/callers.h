#pragma once

#include "core/interfaces/http_server.h"
#include "drivers/asio/asio_event_loop.h"
#include "drivers/asio/asio_upstream_client.h"
#include "review/standins/record.h"

#include <functional>
#include <string>

namespace hawthornslip::review {

/** One request of a caller. */
struct CallerRequest
{
    std::uint16_t port = 0;
    std::string method = "POST";
    std::string path;
    std::string key;
    std::string attempt;
    /** Sent with POST; it names the attempt when it is empty. */
    std::string body;
    /** Headers besides those of every request. */
    HttpHeaders headers;
    Duration timeLimit = milliseconds(3000);
};

/** What the caller got for it. */
struct CallerAnswer
{
    /** 0 without an answer. */
    int status = 0;
    /** The answer ended as it should. */
    bool isWhole = false;
    /** Its worker says that it leaves. */
    bool saysLeaving = false;
    std::string body;
};

/** Sends requests as sound callers do; each has its own attempt id. */
class Callers
{
public:
    using Done = std::function<void(const CallerAnswer &)>;

    /** @param record gets a line for each request and for each answer. */
    Callers(AsioEventLoop &loop, Record &record);

    /** Sends a request; @p done gets its answer. */
    void send(const CallerRequest &request, Done done);

    /** Asks a gateway whether it is ready. */
    void probe(std::uint16_t port, std::function<void(bool ready)> done);

    /** @return a new attempt id. */
    std::string nextAttempt();

private:
    Record &m_record;
    AsioUpstreamClient m_client;
    std::uint64_t m_attempts = 0;
};

} // namespace hawthornslip::review
