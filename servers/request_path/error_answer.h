#pragma once

#include "core/ids.h"
#include "core/interfaces/http_server.h"
#include "servers/request_path/request_error.h"

#include <string>

namespace hawthornslip {

/** @return @p error as the JSON object of error answers: code, message, execution, request id. */
std::string errorBody(const RequestError &error, const RequestId &request);

/** @return the answer that tells a caller of @p error, with status, headers and body. */
HttpResponse errorAnswer(const RequestError &error, const RequestId &request);

/** @return a server-sent event that tells of @p error in a stream that has begun. */
std::string errorEvent(const RequestError &error, const RequestId &request);

} // namespace hawthornslip
