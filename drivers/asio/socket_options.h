#pragma once

#include "core/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace hawthornslip {

/**
 * Sets the options of a connection: non-blocking, no delay of small writes, and probes that end a
 * connection whose other side has gone without a word.
 *
 * @param silence about how long the other side may fail to acknowledge.
 */
void configureSocket(boost::asio::ip::tcp::socket &socket, Duration silence);

/** @return bytes written to @p socket that the peer has not acknowledged; 0 when it is not known.
 */
int unacknowledgedBytes(int socket);

/** @return the end point `ip:port`, or one with port 0 when @p address is none. */
boost::asio::ip::tcp::endpoint parseEndpoint(std::string_view address);

} // namespace hawthornslip
