#pragma once

#include "core/interfaces/upstream_client.h"

#include <string>
#include <utility>
#include <vector>

namespace hawthornslip {

/** A whole answer to an HTTP call. */
struct HttpReply
{
    UpstreamResult result = UpstreamResult::Broken;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /** What went wrong when @p result is not Complete. */
    std::string message;

    /** @return true when an answer arrived whole and its status is 2xx. */
    bool ok() const { return result == UpstreamResult::Complete && status >= 200 && status < 300; }
};

/** Sends @p request and waits for the whole answer; for the command line, not for the daemon. */
HttpReply callAndWait(UpstreamClient &client, UpstreamRequest request);

} // namespace hawthornslip
