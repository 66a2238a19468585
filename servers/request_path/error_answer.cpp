#include "servers/request_path/error_answer.h"

#include "core/logger.h"

#include <fmt/format.h>

namespace hawthornslip {

std::string errorBody(const RequestError &error, const RequestId &request)
{
    return fmt::format(
            R"({{"error":{{"code":"{}","message":{},"execution":"{}","request_id":{}}}}})",
            nameOf(error.reason), jsonQuote(error.message), nameOf(error.execution),
            jsonQuote(request.value));
}

HttpResponse errorAnswer(const RequestError &error, const RequestId &request)
{
    HttpResponse answer;
    answer.status = reasonInfo(error.reason).httpStatus;
    answer.body = errorBody(error, request);
    answer.headers = {{"Content-Type", "application/json"},
                      {"X-Hawthornslip-Execution", std::string(nameOf(error.execution))}};
    if (!request.empty())
        answer.headers.emplace_back("X-Request-Id", request.value);
    if (error.retryAfter.count() > 0) {
        const auto wholeSeconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter);
        answer.headers.emplace_back("Retry-After", std::to_string(wholeSeconds.count()));
    }
    return answer;
}

std::string errorEvent(const RequestError &error, const RequestId &request)
{
    return "data: " + errorBody(error, request) + "\n\n";
}

} // namespace hawthornslip
