#include "modules/usage/usage_journal.h"

#include <nlohmann/json.hpp>

namespace hawthornslip {

namespace {

bool readReport(const nlohmann::json &json, UsageJournal &journal)
{
    if (!json.is_object())
        return false;
    const auto window = json.find("window");
    const auto counts = json.find("counts");
    const auto accepted = json.find("accepted");
    if (window == json.end() || !window->is_number_unsigned() || counts == json.end() ||
        !counts->is_object() || accepted == json.end() || !accepted->is_boolean())
        return false;
    FrozenReport &report = journal.reports[window->get<std::uint64_t>()];
    report.isAccepted = accepted->get<bool>();
    for (const auto &[workspace, n] : counts->items()) {
        if (!n.is_number_unsigned())
            return false;
        report.counts[workspace] = n.get<std::uint64_t>();
    }
    return true;
}

} // namespace

std::string encodeUsageJournal(const UsageJournal &journal)
{
    nlohmann::json reports = nlohmann::json::array();
    for (const auto &[window, it] : journal.reports)
        reports.push_back({{"window", window},
                           {"counts", it.counts.empty() ? nlohmann::json::object()
                                                        : nlohmann::json(it.counts)},
                           {"accepted", it.isAccepted}});
    const nlohmann::json json{{"first_window", journal.firstWindow},
                              {"reports", std::move(reports)}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::optional<UsageJournal> decodeUsageJournal(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    const auto first = json.find("first_window");
    const auto reports = json.find("reports");
    if (first == json.end() || !first->is_number_unsigned() || reports == json.end() ||
        !reports->is_array())
        return std::nullopt;
    UsageJournal journal;
    journal.firstWindow = first->get<std::uint64_t>();
    for (const auto &it : *reports) {
        if (!readReport(it, journal))
            return std::nullopt;
    }
    return journal;
}

} // namespace hawthornslip
