#pragma once

#include "core/interfaces/http_server.h"

#include <cstddef>
#include <functional>

struct MHD_Connection;
struct _u_request;
struct _u_response;

/** Requests and answers between ulfius and the interface of listeners. */
namespace hawthornslip {

/** The connection that an answer is sent on. */
struct AnswerConnection
{
    MHD_Connection *connection = nullptr;
    /** Seconds after which a client that does not read is given up. */
    unsigned idleSeconds = 0;
    /** Seconds for which the answer promises to keep the idle connection; 0 for no promise. */
    unsigned promisedSeconds = 0;
    /** Is called when a streamed answer cannot be completed. */
    std::function<void()> onBroken;
};

/** @param headerBytes receives the size of the target, header names and values in bytes. */
HttpRequest convertRequest(const _u_request &from, std::size_t &headerBytes);

/** @return true when the client wants no further request on the connection. */
bool asksForClose(const _u_request &from);

/** Counts the idle time afresh, which libmicrohttpd does when the time-out is set after 0. */
void restartIdleTimeout(MHD_Connection *connection, unsigned seconds);

/** Moves @p answer into @p response. */
void fillResponse(_u_response &response, HttpResponse &answer, AnswerConnection connection);

} // namespace hawthornslip
