#include "main/duty_host.h"

#include "modules/duties/contenders.h"

#include <utility>
#include <vector>

namespace hawthornslip {

DutyHost::DutyHost(DutyHostParts parts, const GatewaySettings &settings, NodeId self,
                   std::uint64_t incarnation)
    : m_gateway(parts.gateway)
    // Shorter than the time after which the lease gives a call up.
    , m_store(parts.client, settings.storeAddress, settings.duties.lease / 5)
    , m_provider(parts.client, settings.duties.provider, settings.nodeName)
    , m_duties(DutyServiceParts{parts.loop, m_store, parts.metrics}, self, incarnation,
               settings.duties.lease, [&exchange = parts.exchange, self] {
                   std::vector<NodeId> peers;
                   for (const auto &it : exchange.livePeers())
                       peers.emplace_back(it);
                   return isDutyContender(self, std::move(peers));
               })
{
    if (settings.duties.performs(Duty::Usage)) {
        m_usage = std::make_unique<UsageService>(
                UsageServiceParts{parts.loop, m_store, m_provider, m_duties, parts.exchange,
                                  parts.metrics},
                UsageTimes{settings.duties.reportWindow, settings.duties.reportDue}, self);
        m_gateway.setUsageSink(m_usage.get());
    }
    if (settings.duties.performs(Duty::Scaling))
        m_scaling = std::make_unique<ScalingService>(
                ScalingServiceParts{parts.loop, m_provider, m_duties, parts.gateway, parts.metrics},
                settings.duties.callsPerSecond);
}

DutyHost::~DutyHost()
{
    m_gateway.setUsageSink(nullptr);
}

void DutyHost::start()
{
    m_duties.start();
    if (m_usage)
        m_usage->start();
    if (m_scaling)
        m_scaling->start();
}

void DutyHost::beginStop()
{
    m_duties.stop();
}

void DutyHost::enterEra(std::uint64_t era)
{
    m_duties.enterEra(era);
    if (m_usage)
        m_usage->enterEra(era);
}

} // namespace hawthornslip
