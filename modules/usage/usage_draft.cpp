#include "modules/usage/usage_draft.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

/** Numbers the names of workspaces, which occur at nearly all nodes. */
class NameTable
{
public:
    std::size_t indexOf(const std::string &name)
    {
        const auto [it, isNew] = m_indexes.emplace(name, m_indexes.size());
        if (isNew)
            m_names.push_back(name);
        return it->second;
    }

    const std::vector<std::string> &names() const { return m_names; }

private:
    std::map<std::string, std::size_t> m_indexes;
    std::vector<std::string> m_names;
};

/** Reads `[window, [index, count, ...]]`. */
bool readWindow(const Json &json, const std::vector<std::string> &names, WindowCounts &counts)
{
    if (!json.is_array() || json.size() != 2 || !json[0].is_number_unsigned() ||
        !json[1].is_array() || json[1].size() % 2 != 0)
        return false;
    auto &workspaces = counts[json[0].get<std::uint64_t>()];
    for (std::size_t i = 0; i < json[1].size(); i += 2) {
        const Json &index = json[1][i];
        const Json &n = json[1][i + 1];
        if (!index.is_number_unsigned() || !n.is_number_unsigned() ||
            index.get<std::uint64_t>() >= names.size())
            return false;
        workspaces[names[index.get<std::size_t>()]] = n.get<std::uint64_t>();
    }
    return true;
}

/** Reads `[node, boot, [window, ...]]`. */
bool readStart(const Json &json, const std::vector<std::string> &names, StartCounts &starts)
{
    if (!json.is_array() || json.size() != 3 || !json[0].is_string() ||
        !json[1].is_number_unsigned() || !json[2].is_array())
        return false;
    auto &counts = starts[{NodeId(json[0].get<std::string>()), json[1].get<std::uint64_t>()}];
    for (const Json &it : json[2]) {
        if (!readWindow(it, names, counts))
            return false;
    }
    return true;
}

} // namespace

std::string encodeUsageDraft(const StartCounts &starts, std::uint64_t first)
{
    NameTable table;
    Json list = Json::array();
    for (const auto &[start, counts] : starts) {
        Json windows = Json::array();
        for (auto it = counts.lower_bound(first); it != counts.end(); ++it) {
            Json numbers = Json::array();
            for (const auto &[workspace, n] : it->second) {
                numbers.push_back(table.indexOf(workspace));
                numbers.push_back(n);
            }
            windows.push_back(Json::array({it->first, std::move(numbers)}));
        }
        if (!windows.empty())
            list.push_back(Json::array({start.first.value, start.second, std::move(windows)}));
    }
    if (list.empty())
        return {};
    const Json json{{"workspaces", table.names()}, {"starts", std::move(list)}};
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::optional<StartCounts> decodeUsageDraft(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    const auto workspaces = json.find("workspaces");
    const auto list = json.find("starts");
    if (workspaces == json.end() || !workspaces->is_array() || list == json.end() ||
        !list->is_array())
        return std::nullopt;
    std::vector<std::string> names;
    for (const Json &it : *workspaces) {
        if (!it.is_string())
            return std::nullopt;
        names.push_back(it.get<std::string>());
    }
    StartCounts starts;
    for (const Json &it : *list) {
        if (!readStart(it, names, starts))
            return std::nullopt;
    }
    return starts;
}

} // namespace hawthornslip
