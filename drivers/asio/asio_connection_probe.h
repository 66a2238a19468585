#pragma once

#include "core/interfaces/connection_probe.h"
#include "drivers/asio/asio_event_loop.h"

#include <string>
#include <utility>

namespace hawthornslip {

/** Checks addresses with short calls on the event loop. */
class AsioConnectionProbe : public ConnectionProbe
{
public:
    /**
     * @param timeout after which a silent host is given up.
     * @param question HTTP request that a process answers at once, whatever its load.
     */
    AsioConnectionProbe(AsioEventLoop &loop, Duration timeout, std::string question)
        : m_loop(loop)
        , m_timeout(timeout)
        , m_question(std::move(question))
    {}

    void probe(const std::string &address, std::function<void(ProbeResult)> done) override;

private:
    class Call;

    AsioEventLoop &m_loop;
    Duration m_timeout;
    std::string m_question;
};

} // namespace hawthornslip
