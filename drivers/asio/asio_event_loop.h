#pragma once

#include "core/interfaces/byte_ledger.h"
#include "core/interfaces/event_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <map>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace hawthornslip {

/**
 * An event loop on epoll. Its clock counts the time that the machine was suspended, so that
 * beliefs age while the process stands still.
 */
class AsioEventLoop : public EventLoop
{
public:
    AsioEventLoop();

    TimePoint now() const override;
    UnixMillis wallNow() const override;
    TimerId after(Duration delay, Task task) override;
    void cancel(TimerId timer) override;

    /** Runs until stop(). An error that a callback throws is logged and ends only that callback. */
    void run();
    void stop();

    boost::asio::io_context &context() { return m_context; }

    /** A buffer for reads, shared as each read is consumed before the next one. */
    std::array<char, 64 << 10> &scratch() { return m_scratch; }

    /**
     * Charges the bytes of all connections on this loop to @p ledger, which outlives the loop. Set
     * before the first connection.
     */
    void setByteLedger(ByteLedger &ledger) { m_byteLedger = &ledger; }
    /** @return the ledger of the connections, nullptr when their bytes are not bounded. */
    ByteLedger *byteLedger() const { return m_byteLedger; }

private:
    void arm();
    void runDue();
    void onUnexpectedError(std::string_view error);

    // Outlives the connections that the context destroys.
    ByteLedger *m_byteLedger = nullptr;
    boost::asio::io_context m_context;
    boost::asio::steady_timer m_wakeUp;
    std::map<std::pair<TimePoint, TimerId>, Task> m_queue;
    std::unordered_map<TimerId, TimePoint> m_due;
    TimePoint m_armed = TimePoint::max();
    TimerId m_lastTimer = 0;
    bool m_stopped = false;
    std::array<char, 64 << 10> m_scratch{};
};

} // namespace hawthornslip
