#pragma once

#include "tests/standins/application_standin.h"
#include "tests/standins/engine_standin.h"
#include "tests/standins/platform_standin.h"

#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::standin {

/** What one process hosts. */
struct FleetSpec
{
    bool platform = false;
    std::uint16_t platformPort = 0;
    std::vector<EngineSpec> engines;
    /** Port of the first engine, the others follow; 0 takes free ones. */
    std::uint16_t enginePort = 0;
    std::vector<ApplicationSpec> applications;
    std::uint16_t applicationPort = 0;
    std::vector<VmEntry> vms;
};

/** All stand-ins of a process. */
class Fleet
{
public:
    explicit Fleet(const FleetSpec &spec);

    /** Opens all ports. @return false when one cannot be opened. */
    bool start();

    /** Closes all ports. */
    void stop();

    /** @return the addresses as one line of JSON. */
    std::string addressesJson() const;

    /** @return the platform, or nullptr. */
    PlatformStandin *platform() { return m_platform.get(); }
    std::vector<std::unique_ptr<EngineStandin>> &engines() { return m_engines; }
    std::vector<std::unique_ptr<ApplicationStandin>> &applications() { return m_applications; }

private:
    FleetSpec m_spec;
    std::unique_ptr<PlatformStandin> m_platform;
    std::vector<std::unique_ptr<EngineStandin>> m_engines;
    std::vector<std::unique_ptr<ApplicationStandin>> m_applications;
};

} // namespace hawthornslip::standin
