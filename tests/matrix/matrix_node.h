#pragma once

#include "servers/admission/admission_service.h"
#include "servers/claims/claim_service.h"
#include "servers/config/config_service.h"
#include "servers/membership/membership_service.h"
#include "servers/placement/placed_config_source.h"
#include "servers/placement/placement_service.h"
#include "servers/request_path/answer_store.h"
#include "servers/request_path/request_path.h"
#include "tests/matrix/probes.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/sim_engines.h"
#include "tests/support/sim_network.h"
#include "tests/support/sim_store.h"

#include <map>
#include <memory>
#include <utility>

namespace hawthornslip::matrix {

/** The outside of all nodes of a run. */
struct MatrixWorld
{
    explicit MatrixWorld(std::uint64_t seed)
        : network(events, seed)
        , store(events)
        , engines(events)
    {}

    test::SimEvents events;
    test::SimNetwork network;
    test::SimStore store;
    test::SimEngines engines;
    /** What the platform lists. */
    std::vector<VmEntry> vms;
};

/** The platform's list of VMs. */
class MatrixVmList : public VmList
{
public:
    explicit MatrixVmList(const std::vector<VmEntry> &entries)
        : m_entries(entries)
    {}

    void fetch(Callback done) override { done(m_entries); }

private:
    const std::vector<VmEntry> &m_entries;
};

/** One process: the services of the daemon over the fakes. */
class MatrixNode
{
public:
    MatrixNode(MatrixWorld &world, NodeId self, FailureDomain domain, std::uint64_t incarnation);
    ~MatrixNode();

    MatrixNode(const MatrixNode &) = delete;
    MatrixNode &operator=(const MatrixNode &) = delete;

    /** Ends the process: nothing comes in or goes out any more. */
    void crash();

    /** Stops or continues the process; what comes in meanwhile waits. */
    void setPaused(bool paused);

    /** @return true once the node takes requests. */
    bool ready() const { return runs() && !stopping && config.generation() > 0; }

    bool alive() const { return *m_alive; }
    bool paused() const { return m_paused; }
    bool runs() const { return alive() && !m_paused; }

    const NodeId self;
    const FailureDomain domain;
    const std::uint64_t incarnation;
    /** Takes no new requests, for a planned stop. */
    bool stopping = false;
    /** Tells at which stage a request is. */
    StageHook stage = [](Stage, const RequestId &) {};
    /** Requests by group that placement is told of. */
    std::map<GroupId, double> demand;
    /** Streams preempted by tier. */
    int preempted[kTierCount] = {};

private:
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    bool m_paused = false;
    test::SimTransport m_transport;

public:
    test::CountingMetrics metrics;
    ControlLoop loop;
    PeerBus bus;
    MatrixVmList vmList;
    test::SimStoreClient store;
    test::SimUpstreamClient upstreams;
    MembershipService membership;
    ConfigService config;
    ClaimService claims;
    PlacementService placement;
    PlacedConfigSource placedConfig;
    AdmissionService admission;
    ProbedClaims probedClaims;
    ProbedAdmission probedAdmission;
    OpenRates rates;
    FreeRetries retries;
    AnswerStore answers;
    RequestPath path;
};

} // namespace hawthornslip::matrix
