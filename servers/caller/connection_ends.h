#pragma once

#include "core/interfaces/clock.h"
#include "core/interfaces/http_server.h"
#include "core/interfaces/metrics.h"

#include <string>

namespace hawthornslip {

/**
 * Counts the ends of the connections of @p server and logs those whose caller lacks an answer; call
 * before the server starts. @p metrics and @p clock must outlive the server.
 *
 * @param listener name of the listener in log lines.
 */
void recordConnectionEnds(HttpServer &server, Metrics &metrics, const Clock &clock,
                          std::string listener);

} // namespace hawthornslip
