#pragma once

#include "drivers/asio/asio_event_loop.h"
#include "tests/crowds/pattern_sender.h"

#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::crowds {

/** A back end that answers by the path of a request, with a pattern instead of an answer if set. */
class RawWorker
{
public:
    explicit RawWorker(AsioEventLoop &loop);

    /** Listens on a free port of loopback. @return the port. */
    std::uint16_t start();

    /** Requests whose path contains @p word get @p pattern after a head with their id. */
    void answerWith(const std::string &word, const Pattern &pattern) { m_patterns[word] = pattern; }

    /** @return requests that were answered. */
    std::size_t requests() const { return m_requests; }

    /** @return bytes of all patterns sent so far. */
    std::uint64_t sentBytes() const;

private:
    class Session;
    friend class Session;

    void accept();

    AsioEventLoop &m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, Pattern> m_patterns;
    std::vector<std::shared_ptr<PatternSender>> m_senders;
    std::size_t m_requests = 0;
};

} // namespace hawthornslip::crowds
