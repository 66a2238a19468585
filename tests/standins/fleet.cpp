#include "tests/standins/fleet.h"

#include <nlohmann/json.hpp>

namespace hawthornslip::standin {

namespace {

/** @return the port of the member @p index, or 0 when the kernel chooses. */
std::uint16_t portOf(std::uint16_t first, std::size_t index)
{
    return first == 0 ? std::uint16_t{0} : static_cast<std::uint16_t>(first + index);
}

} // namespace

Fleet::Fleet(const FleetSpec &spec)
    : m_spec(spec)
{
    if (spec.platform) {
        m_platform = std::make_unique<PlatformStandin>();
        m_platform->setVms(spec.vms);
    }
    for (const auto &it : spec.engines)
        m_engines.push_back(std::make_unique<EngineStandin>(it));
    for (const auto &it : spec.applications)
        m_applications.push_back(std::make_unique<ApplicationStandin>(it));
}

bool Fleet::start()
{
    bool ok = m_platform == nullptr || m_platform->start(m_spec.platformPort);
    for (std::size_t i = 0; i < m_engines.size(); ++i)
        ok = m_engines[i]->start(portOf(m_spec.enginePort, i)) && ok;
    for (std::size_t i = 0; i < m_applications.size(); ++i)
        ok = m_applications[i]->start(portOf(m_spec.applicationPort, i)) && ok;
    return ok;
}

void Fleet::stop()
{
    for (const auto &it : m_engines)
        it->stop();
    for (const auto &it : m_applications)
        it->stop();
    if (m_platform != nullptr)
        m_platform->stop();
}

std::string Fleet::addressesJson() const
{
    nlohmann::json json;
    if (m_platform != nullptr)
        json["platform"] = m_platform->url();
    for (const auto &it : m_engines)
        json["engines"][it->spec().id] = it->url();
    for (const auto &it : m_applications)
        json["applications"][it->spec().id] = it->url();
    return json.dump();
}

} // namespace hawthornslip::standin
