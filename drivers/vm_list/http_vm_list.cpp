#include "drivers/vm_list/http_vm_list.h"

#include "core/logger.h"

#include <nlohmann/json.hpp>

#include <memory>
#include <utility>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

constexpr int kOk = 200;
// More than any deployment needs: an entry takes about 80 bytes.
constexpr std::size_t kMaxBytes = 1U << 20;
constexpr std::size_t kMaxEntries = 10'000;

/** Collects the answer of one call. */
class ListCall : public UpstreamHandler
{
public:
    explicit ListCall(VmList::Callback done)
        : m_done(std::move(done))
    {}

    void onHeaders(int, const std::vector<std::pair<std::string, std::string>> &) override {}

    bool onData(std::string_view piece) override
    {
        if (m_body.size() + piece.size() > kMaxBytes)
            m_tooLong = true;
        else
            m_body.append(piece);
        return true;
    }

    void onEnd(const UpstreamEnd &end) override
    {
        std::optional<std::vector<VmEntry>> entries;
        if (end.result == UpstreamResult::Complete && end.httpStatus == kOk && !m_tooLong)
            entries = HttpVmList::parse(m_body);
        if (!entries)
            logEvent(LogLevel::Warning, "vm_list_unavailable",
                     {{"status", end.httpStatus}, {"error", end.message}});
        m_done(entries);
    }

private:
    VmList::Callback m_done;
    std::string m_body;
    bool m_tooLong = false;
};

std::optional<VmEntry> entryOf(const Json &value)
{
    if (!value.is_object() || !value.contains("node") || !value["node"].is_string())
        return std::nullopt;
    VmEntry entry;
    entry.node = NodeId(value["node"].get<std::string>());
    if (value.contains("domain") && value["domain"].is_string())
        entry.domain = FailureDomain(value["domain"].get<std::string>());
    if (value.contains("leaving") && value["leaving"].is_boolean())
        entry.leaving = value["leaving"].get<bool>();
    return entry;
}

} // namespace

HttpVmList::HttpVmList(UpstreamClient &client, std::string baseUrl, Duration timeout)
    : m_client(client)
    , m_url(std::move(baseUrl) + "/vms")
    , m_timeout(timeout)
{}

void HttpVmList::fetch(Callback done)
{
    UpstreamRequest request;
    request.method = "GET";
    request.url = m_url;
    request.totalTimeout = m_timeout;
    m_client.send(std::move(request), std::make_shared<ListCall>(std::move(done)));
}

std::optional<std::vector<VmEntry>> HttpVmList::parse(std::string_view body)
{
    const Json document = Json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("vms") || !document["vms"].is_array() ||
        document["vms"].size() > kMaxEntries)
        return std::nullopt;
    std::vector<VmEntry> entries;
    for (const auto &it : document["vms"]) {
        // One entry that is not understood does not hide the others.
        if (auto entry = entryOf(it))
            entries.push_back(std::move(*entry));
    }
    return entries;
}

StaticVmList::StaticVmList(const std::vector<NodeId> &nodes)
{
    for (const auto &it : nodes)
        m_entries.push_back({it, {}, false});
}

void StaticVmList::fetch(Callback done)
{
    done(m_entries);
}

} // namespace hawthornslip
