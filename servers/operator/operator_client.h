#pragma once

#include "core/interfaces/upstream_client.h"
#include "servers/http/blocking_call.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hawthornslip {

/** Where a node's operator interface is and how to get in. */
struct OperatorEndpoint
{
    /** Base address, `http://ip:port` or `https://ip:port`. */
    std::string url;
    std::string key;
};

/** An answer of the operator interface. */
struct OperatorReply
{
    bool reached = false;
    int status = 0;
    nlohmann::json body;
    /** What went wrong when the node was not reached or its answer is not JSON. */
    std::string message;

    bool ok() const { return reached && status >= 200 && status < 300; }
};

/** Calls the operator interface of one node and waits for the answer. */
class OperatorClient
{
public:
    /** @param client sends the calls and outlives this object. */
    OperatorClient(UpstreamClient &client, OperatorEndpoint endpoint);

    /** Reads `path`, for example `/admin/config`. */
    OperatorReply get(const std::string &path);

    /** Sends @p body to `path` with @p method. */
    OperatorReply send(const std::string &method, const std::string &path,
                       const nlohmann::json &body);

    /**
     * Offers a configuration document.
     *
     * @param wait how long the node waits until all live nodes report the generation; zero does
     *        not wait.
     */
    OperatorReply applyConfig(const nlohmann::json &document, Duration wait);

private:
    OperatorReply call(const std::string &method, const std::string &path, std::string body,
                       Duration timeout);

    UpstreamClient &m_client;
    OperatorEndpoint m_endpoint;
};

} // namespace hawthornslip
