#include "servers/operator/operator_client.h"

#include <fmt/format.h>

#include <utility>

namespace hawthornslip {

namespace {

constexpr Duration kCallTimeout = seconds(10);

} // namespace

OperatorClient::OperatorClient(UpstreamClient &client, OperatorEndpoint endpoint)
    : m_client(client)
    , m_endpoint(std::move(endpoint))
{}

OperatorReply OperatorClient::get(const std::string &path)
{
    return call("GET", path, {}, kCallTimeout);
}

OperatorReply OperatorClient::send(const std::string &method, const std::string &path,
                                   const nlohmann::json &body)
{
    return call(method, path, body.is_null() ? std::string() : body.dump(), kCallTimeout);
}

OperatorReply OperatorClient::applyConfig(const nlohmann::json &document, Duration wait)
{
    const auto path = fmt::format("/admin/config?wait_ms={}", toMillis(wait));
    return call("PUT", path, document.dump(), kCallTimeout + wait);
}

OperatorReply OperatorClient::call(const std::string &method, const std::string &path,
                                   std::string body, Duration timeout)
{
    UpstreamRequest request;
    request.method = method;
    request.url = m_endpoint.url + path;
    request.headers = {{"Authorization", "Bearer " + m_endpoint.key},
                       {"Content-Type", "application/json"}};
    request.body = std::move(body);
    request.totalTimeout = timeout;
    const HttpReply answer = callAndWait(m_client, std::move(request));
    OperatorReply reply;
    reply.reached = answer.result == UpstreamResult::Complete;
    reply.status = answer.status;
    reply.message = answer.message;
    reply.body = nlohmann::json::parse(answer.body, nullptr, false);
    if (reply.reached && reply.body.is_discarded()) {
        reply.message = "the answer is not JSON";
        reply.body = nullptr;
    }
    return reply;
}

} // namespace hawthornslip
