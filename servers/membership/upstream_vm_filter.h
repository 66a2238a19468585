#pragma once

#include "core/interfaces/vm_list.h"
#include "core/profile.h"
#include "servers/config/config_source.h"

#include <functional>
#include <vector>

namespace hawthornslip {

/**
 * Removes the VMs of upstreams from the platform's list, so that only nodes of the system remain,
 * and reports which upstreams are leaving. A VM belongs to an upstream if its address matches the
 * upstream's URL.
 */
class UpstreamVmFilter : public VmList
{
public:
    using Listener = std::function<void(std::vector<UpstreamId>)>;

    /**
     * @param list the platform's list.
     * @param config both references must outlive this object and its calls.
     * @param leaving called with all leaving upstreams after each answer, on the list's thread.
     */
    UpstreamVmFilter(VmList &list, const ConfigSource &config, Listener leaving);

    void fetch(Callback done) override;

private:
    VmList &m_list;
    const ConfigSource &m_config;
    Listener m_onLeaving;
};

/** @return `ip:port` of a URL `http://ip:port/path`, with the scheme's default port if omitted. */
std::string authorityOf(const std::string &url);

} // namespace hawthornslip
