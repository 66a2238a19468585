#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace hawthornslip::standin {

/** An answer read by plainHttp(). */
struct PlainAnswer
{
    int status = 0;
    /** Headers by lower-case name. */
    std::map<std::string, std::string> headers;
    std::string body;
};

/** A request for plainHttp(). */
struct PlainRequest
{
    std::string method = "GET";
    std::string path = "/";
    std::map<std::string, std::string> headers;
    std::string body;
};

/** One HTTP exchange over its own connection, which a test can close at any time. */
class PlainConnection
{
public:
    /** Connects to the loopback port and sends @p request. */
    PlainConnection(std::uint16_t port, const PlainRequest &request);
    ~PlainConnection();
    PlainConnection(const PlainConnection &) = delete;
    PlainConnection &operator=(const PlainConnection &) = delete;

    /** @return true when the connection was made. */
    bool connected() const { return m_socket >= 0; }

    /** Reads until the answer contains @p text. @return false at the end or the timeout. */
    bool readUntil(const std::string &text, Duration timeout);

    /** Reads the whole answer. @return nothing when it broke off or timed out. */
    std::optional<PlainAnswer> readAll(Duration timeout);

    /** Closes the connection. */
    void close();

private:
    /** Reads one piece. @return false at the end or the timeout. */
    bool readPiece(Duration timeout);

    int m_socket = -1;
    std::string m_raw;
};

/** Sends one request to a loopback port. @return nothing when there was no whole answer. */
std::optional<PlainAnswer> plainHttp(std::uint16_t port, const PlainRequest &request,
                                     Duration timeout = seconds(10));

} // namespace hawthornslip::standin
