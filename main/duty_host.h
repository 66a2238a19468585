#pragma once

#include "core/gateway_settings.h"
#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/upstream_client.h"
#include "platform/object_store_client.h"
#include "platform/provider_client.h"
#include "servers/duties/duty_service.h"
#include "servers/duties/scaling_service.h"
#include "servers/duties/usage_service.h"
#include "servers/gateway/gateway.h"
#include "servers/peers/load_exchange.h"

#include <cstdint>
#include <memory>

namespace hawthornslip {

/** Dependencies of the duties of a gateway process; all must outlive it. */
struct DutyHostParts
{
    EventLoop &loop;
    UpstreamClient &client;
    Metrics &metrics;
    LoadExchange &exchange;
    Gateway &gateway;
};

/** Owns the parts that perform the duties of a deployment whose settings name some. */
class DutyHost
{
public:
    /** @param self peer address of this node. @param incarnation random, new with each start. */
    DutyHost(DutyHostParts parts, const GatewaySettings &settings, NodeId self,
             std::uint64_t incarnation);
    ~DutyHost();

    void start();
    /** Gives the duties up, because the process stops. */
    void beginStop();
    /** Handles an era of the store that another call has seen. */
    void enterEra(std::uint64_t era);

private:
    Gateway &m_gateway;
    platform::ObjectStoreClient m_store;
    platform::ProviderClient m_provider;
    DutyService m_duties;
    /** Set when the settings name the duty. */
    std::unique_ptr<UsageService> m_usage;
    std::unique_ptr<ScalingService> m_scaling;
};

} // namespace hawthornslip
