#pragma once

#include "core/interfaces/upstream_client.h"
#include "core/interfaces/vm_list.h"
#include "core/time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/** The platform's VM list over HTTP, see docs/protocols.md. */
class HttpVmList : public VmList
{
public:
    /**
     * @param client sends the calls; it has to outlive this object and all its calls.
     * @param baseUrl address of the platform, `http://ip:port`.
     * @param timeout longest time of one call.
     */
    HttpVmList(UpstreamClient &client, std::string baseUrl, Duration timeout);

    void fetch(Callback done) override;

    /** @return the entries of an answer, or nothing when it is no VM list. */
    static std::optional<std::vector<VmEntry>> parse(std::string_view body);

private:
    UpstreamClient &m_client;
    std::string m_url;
    Duration m_timeout;
};

/** A fixed list, for a deployment whose platform has none: the seeds. */
class StaticVmList : public VmList
{
public:
    explicit StaticVmList(const std::vector<NodeId> &nodes);

    void fetch(Callback done) override;

private:
    std::vector<VmEntry> m_entries;
};

} // namespace hawthornslip
