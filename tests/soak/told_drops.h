#pragma once

#include <string>
#include <string_view>
#include <vector>

/** What gateways tell themselves of requests that they read and dropped as a connection closed. */
namespace hawthornslip::soak {

/** @return the lines of a metrics page that count such requests. */
std::vector<std::string> dropsInMetrics(std::string_view page);

/** @return the lines of the log at @p path that name such requests. */
std::vector<std::string> dropsInLog(const std::string &path);

} // namespace hawthornslip::soak
