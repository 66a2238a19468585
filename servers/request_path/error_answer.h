#pragma once

#include "core/ids.h"
#include "core/interfaces/http_server.h"
#include "servers/request_path/request_error.h"

#include <string>

namespace hawthornslip {

/** @return the JSON body for @p error: code, message, execution and request id. */
std::string errorBody(const RequestError &error, const RequestId &request);

/** @return the HTTP answer for @p error, with status, headers and body. */
HttpResponse errorAnswer(const RequestError &error, const RequestId &request);

/** @return the server-sent event that reports @p error in a stream that has started. */
std::string errorEvent(const RequestError &error, const RequestId &request);

} // namespace hawthornslip
