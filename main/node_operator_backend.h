#pragma once

#include "servers/config/config_service.h"
#include "servers/membership/membership_service.h"
#include "servers/operator/operator_backend.h"
#include "servers/peer/control_loop.h"

#include <atomic>
#include <functional>
#include <optional>

namespace hawthornslip {

/** Implements the operator interface with the services of a node. */
class NodeOperatorBackend : public OperatorBackend
{
public:
    /** State of the node that neither the configuration nor the membership service has. */
    struct Facts
    {
        std::string phase;
        std::size_t streams = 0;
    };

    NodeOperatorBackend(ControlLoop &loop, ConfigService &config, MembershipService &membership,
                        NodeId self, std::function<Facts()> facts);

    OperatorAnswer config() override;
    OperatorAnswer history() override;
    OperatorAnswer apply(const std::string &document, Duration wait) override;
    OperatorAnswer status() override;
    OperatorAnswer nodes() override;

    /** Ends the waits for reports of nodes, because this node stops. */
    void endWaits() { m_isStopping = true; }

private:
    /** @return the reports; nothing when the node stops before they are there. */
    std::optional<NodesInForce> queryNodes(std::uint64_t generation, Duration wait);

    ControlLoop &m_loop;
    ConfigService &m_config;
    MembershipService &m_membership;
    NodeId m_self;
    std::function<Facts()> m_facts;
    std::atomic<bool> m_isStopping{false};
};

} // namespace hawthornslip
