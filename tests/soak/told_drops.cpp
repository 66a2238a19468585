#include "tests/soak/told_drops.h"

#include "core/connection_end.h"
#include "core/enum_names.h"
#include "core/metric_names.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace hawthornslip::soak {

namespace {

using Json = nlohmann::json;

/** @return true for the end of an idle connection; the other ends have an answer before them. */
bool isIdleEnd(std::string_view cause)
{
    return cause == nameOf(kConnectionEndCauseNames, ConnectionEndCause::IdleTimeout) ||
           cause == nameOf(kConnectionEndCauseNames, ConnectionEndCause::Stopping);
}

/** @return true when the gateway read a request and gave its caller neither answer nor refusal. */
bool isDrop(std::string_view cause, std::string_view request)
{
    if (request == nameOf(kRequestAtEndNames, RequestAtEnd::Unanswered))
        return cause != nameOf(kConnectionEndCauseNames, ConnectionEndCause::CallerClosed);
    return isIdleEnd(cause) && request != nameOf(kRequestAtEndNames, RequestAtEnd::None) &&
           request != nameOf(kRequestAtEndNames, RequestAtEnd::Unread);
}

std::string_view labelOf(std::string_view line, std::string_view name)
{
    const std::string begin = fmt::format("{}=\"", name);
    const std::size_t at = line.find(begin);
    if (at == std::string_view::npos)
        return {};
    line.remove_prefix(at + begin.size());
    return line.substr(0, line.find('"'));
}

} // namespace

std::vector<std::string> dropsInMetrics(std::string_view page)
{
    std::vector<std::string> found;
    std::istringstream lines{std::string(page)};
    for (std::string it; std::getline(lines, it);) {
        const bool isTold = it.starts_with(metric::kCallerConnections) &&
                            isDrop(labelOf(it, "cause"), labelOf(it, "request"));
        if (isTold && std::atof(it.c_str() + it.find_last_of(' ') + 1) > 0)
            found.push_back(it);
    }
    return found;
}

std::vector<std::string> dropsInLog(const std::string &path)
{
    std::vector<std::string> found;
    std::ifstream file(path);
    for (std::string it; std::getline(file, it);) {
        if (it.find("\"caller_connection_ended\"") == std::string::npos)
            continue;
        // A process that was killed may leave half a line.
        const Json line = Json::parse(it, nullptr, false);
        if (line.is_object() && isDrop(line.value("cause", ""), line.value("request", "")))
            found.push_back(it);
    }
    return found;
}

} // namespace hawthornslip::soak
