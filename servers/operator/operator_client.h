#pragma once

#include "core/interfaces/upstream_client.h"
#include "servers/http/blocking_call.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hawthornslip {

/** Address and credentials of a node's operator interface. */
struct OperatorEndpoint
{
    /** Base address, `http://ip:port` or `https://ip:port`. */
    std::string url;
    /** Operator key, sent as a bearer token. */
    std::string key;
};

/** The result of a call to the operator interface. */
struct OperatorReply
{
    /** A complete HTTP response arrived. */
    bool reached = false;
    int status = 0;
    nlohmann::json body;
    /** Error description when the node was not reached or its answer is not JSON. */
    std::string message;

    bool ok() const { return reached && status >= 200 && status < 300; }
};

/** Calls the operator interface of one node and waits for the answer. */
class OperatorClient
{
public:
    /** @param client sends the calls; must outlive this object. */
    OperatorClient(UpstreamClient &client, OperatorEndpoint endpoint);

    /** Sends a GET request to @p path, for example `/admin/config`. */
    OperatorReply get(const std::string &path);

    /** Sends @p body to @p path with @p method; a null body is sent as an empty one. */
    OperatorReply send(const std::string &method, const std::string &path,
                       const nlohmann::json &body);

    /**
     * Proposes a configuration document.
     *
     * @param wait longest time that the node waits until all live nodes report the generation; zero
     *        does not wait.
     */
    OperatorReply applyConfig(const nlohmann::json &document, Duration wait);

private:
    OperatorReply call(const std::string &method, const std::string &path, std::string body,
                       Duration timeout);

    UpstreamClient &m_client;
    OperatorEndpoint m_endpoint;
};

} // namespace hawthornslip
