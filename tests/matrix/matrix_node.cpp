#include "tests/matrix/matrix_node.h"

#include <utility>

namespace hawthornslip::matrix {

namespace {

constexpr std::size_t kAnswerBytes = 1 << 20;

std::uint64_t seedOf(const NodeId &self, std::uint64_t incarnation)
{
    return std::hash<NodeId>()(self) ^ (incarnation * 0x9E3779B97F4A7C15ULL);
}

MembershipServiceOptions membershipOptions(const FailureDomain &domain)
{
    MembershipServiceOptions options;
    options.domain = domain;
    options.region = "r";
    return options;
}

} // namespace

MatrixNode::MatrixNode(MatrixWorld &world, NodeId id, FailureDomain place, std::uint64_t start)
    : self(std::move(id))
    , domain(std::move(place))
    , incarnation(start)
    , m_transport(world.network, self)
    , loop(world.events.clock())
    , bus(loop, m_transport, metrics, self, incarnation)
    , vmList(world.vms)
    , store(world.store, m_alive)
    , upstreams(world.events, world.engines, m_alive)
    , membership(loop, bus, m_transport, vmList, metrics, seedOf(self, incarnation),
                 membershipOptions(domain))
    , config(loop, bus, membership, store, metrics, world.events.clock(), seedOf(self, incarnation))
    , claims(loop, bus, membership, store, metrics, world.events.clock(), seedOf(self, incarnation))
    , placement(loop, bus, membership, store, upstreams, config, metrics, [this] { return demand; })
    , placedConfig(config, placement)
    , admission(loop, bus, membership, placedConfig, metrics,
                {domain, SchedulingPolicy::Hawthornslip})
    , probedClaims(claims, stage)
    , probedAdmission(admission, stage, [this](int tier) { ++preempted[tier]; })
    , answers(kAnswerBytes, seconds(600))
    , path(PathServices{world.events.clock(),
                        metrics,
                        config,
                        probedAdmission,
                        probedClaims,
                        upstreams,
                        retries,
                        rates,
                        answers,
                        {}})
{
    admission.start();
    membership.start();
    config.start();
    upstreams.onSend = [this](const std::string &request) {
        stage(Stage::Connect, RequestId(request));
    };
    upstreams.onPiece = [this](const std::string &request, int pieces) {
        if (pieces == 1)
            stage(Stage::FirstToken, RequestId(request));
        else if (pieces == 3)
            stage(Stage::MidStream, RequestId(request));
    };
    upstreams.onEnd = [this](const std::string &request) {
        stage(Stage::Finish, RequestId(request));
    };
}

MatrixNode::~MatrixNode()
{
    if (alive())
        crash();
}

void MatrixNode::crash()
{
    stage = [](Stage, const RequestId &) {};
    *m_alive = false;
    m_transport.setReceiver([](const std::string &) {});
    upstreams.breakAll();
}

void MatrixNode::setPaused(bool paused)
{
    m_paused = paused;
    upstreams.setPaused(paused);
}

} // namespace hawthornslip::matrix
