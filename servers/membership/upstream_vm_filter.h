#pragma once

#include "core/interfaces/vm_list.h"
#include "core/profile.h"
#include "servers/config/config_source.h"

#include <functional>
#include <vector>

namespace hawthornslip {

/**
 * Takes the VMs of upstreams out of the platform's list, so that only nodes of the system remain,
 * and tells which upstreams are leaving. A VM belongs to an upstream when its address is that of
 * the upstream's URL.
 */
class UpstreamVmFilter : public VmList
{
public:
    using Listener = std::function<void(std::vector<UpstreamId>)>;

    /**
     * @param list the platform's list; both references outlive this object and its calls.
     * @param leaving called after each answer with all upstreams that leave, on the list's thread.
     */
    UpstreamVmFilter(VmList &list, const ConfigSource &config, Listener leaving);

    void fetch(Callback done) override;

private:
    VmList &m_list;
    const ConfigSource &m_config;
    Listener m_leaving;
};

/** @return `ip:port` of an address of the form `http://ip:port/path`; the port may be implied. */
std::string authorityOf(const std::string &url);

} // namespace hawthornslip
