#pragma once

#include <functional>
#include <string>

namespace hawthornslip {

/** How the host at an address reacted to a new connection. */
enum class ProbeResult {
    /** A process accepted the connection and answered. */
    Answered,
    /** The connection was accepted, and closed or left without an answer. */
    Unanswered,
    /** The host answered that no process listens there. */
    Refused,
    /** Nothing came in time, or the check could not be made. */
    Silent,
};

/** Checks whether a process serves at an address. */
class ConnectionProbe
{
public:
    virtual ~ConnectionProbe() = default;

    /**
     * Connects to @p address, `ip:port`, asks, and closes the connection again.
     *
     * @param done is called once, from the loop.
     */
    virtual void probe(const std::string &address, std::function<void(ProbeResult)> done) = 0;
};

} // namespace hawthornslip
