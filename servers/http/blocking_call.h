#pragma once

#include "core/interfaces/upstream_client.h"

#include <string>
#include <utility>
#include <vector>

namespace hawthornslip {

/** The complete answer to an HTTP call, or the reason why there is none. */
struct HttpReply
{
    UpstreamResult result = UpstreamResult::Broken;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** Describes the error when @c result is not Complete. */
    std::string message;

    /** @return true when the answer is complete and its status is 2xx. */
    bool ok() const { return result == UpstreamResult::Complete && status >= 200 && status < 300; }
};

/**
 * Sends @p request and blocks until the call has ended. For command-line tools, not for the
 * daemon.
 */
HttpReply callAndWait(UpstreamClient &client, UpstreamRequest request);

} // namespace hawthornslip
