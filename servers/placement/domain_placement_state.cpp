#include "core/logger.h"
#include "servers/placement/domain_placement.h"
#include "servers/placement/placement_codec.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpConflict = 409;

/** Determines the result of an order; the body is kept only to detect a stale fencing token. */
class OrderResponseHandler : public UpstreamHandler
{
public:
    explicit OrderResponseHandler(std::function<void(OrderResult)> done)
        : m_done(std::move(done))
    {}

    void onHeaders(int /*httpStatus*/,
                   const std::vector<std::pair<std::string, std::string>> & /*headers*/) override
    {}

    bool onData(std::string_view piece) override
    {
        constexpr std::size_t kMaxBodyBytes = 4096;
        if (m_body.size() + piece.size() <= kMaxBodyBytes)
            m_body.append(piece);
        return true;
    }

    void onEnd(const UpstreamEnd &end) override
    {
        if (end.result != UpstreamResult::Complete)
            m_done(OrderResult::Failed);
        else if (end.httpStatus == kHttpOk)
            m_done(OrderResult::Done);
        else if (end.httpStatus == kHttpConflict &&
                 m_body.find("stale_fencing") != std::string::npos)
            m_done(OrderResult::StaleFencing);
        else
            m_done(OrderResult::Failed);
    }

private:
    std::function<void(OrderResult)> m_done;
    std::string m_body;
};

} // namespace

void DomainPlacement::readState()
{
    if (m_stateCallPending)
        return;
    m_stateCallPending = true;
    const auto fencing = m_lease.held(m_context.loop.now())->fencing;
    m_context.store.get(objectKey(), [this, alive = std::weak_ptr(m_alive), &loop = m_context.loop,
                                      fencing](const StoreResult &result) {
        loop.post([this, alive, fencing, result] {
            if (!alive.expired())
                onStateRead(fencing, result);
        });
    });
}

void DomainPlacement::onStateRead(std::uint64_t fencing, const StoreResult &result)
{
    const auto lease = m_lease.held(m_context.loop.now());
    // Ignores the answer to a read that was sent under an earlier lease of this node.
    if (!lease || lease->fencing != fencing)
        return;
    m_stateCallPending = false;
    PlacementState state;
    if (result.ok()) {
        const auto decoded = decodePlacement(result.object.value);
        if (!decoded) {
            logEvent(LogLevel::Error, "placement_undecodable", {{"domain", m_domain.value}});
            return;
        }
        state = *decoded;
    } else if (result.error != StoreError::NotFound) {
        m_storeFailed = true;
        return;
    }
    if (state.fencing > lease->fencing)
        return;
    m_storeFailed = false;
    m_version = result.object.version;
    m_stateLoaded = true;
    m_nextPlanAt = m_context.loop.now();
    adoptState(std::move(state));
}

bool DomainPlacement::syncWithConfig(PlacementState &state) const
{
    const auto config = m_context.config.current();
    const auto before = state.desired;
    std::set<UpstreamId> known;
    for (const auto &it : config->upstreams) {
        if (it.kind != UpstreamKind::Language || it.domain != m_domain)
            continue;
        known.insert(it.id);
        if (state.desired.contains(it.id))
            continue;
        // A new upstream serves its configured models until placement changes them.
        for (const auto &model : it.models) {
            state.desired[it.id].models[model];
            state.applied[it.id].models[model];
        }
        state.desired[it.id];
    }
    std::erase_if(state.desired, [&](const auto &it) { return !known.contains(it.first); });
    std::erase_if(state.applied, [&](const auto &it) { return !known.contains(it.first); });
    return state.desired != before;
}

std::vector<PlacementCandidate> DomainPlacement::candidates() const
{
    std::vector<PlacementCandidate> all;
    for (const auto &it : m_context.config.current()->upstreams) {
        if (it.kind == UpstreamKind::Language && it.domain == m_domain)
            all.push_back({it.id, it.state == UpstreamState::Active, it.maxConcurrency});
    }
    return all;
}

std::vector<ModelName> DomainPlacement::configuredModels() const
{
    std::set<ModelName> models;
    for (const auto &it : m_context.config.current()->upstreams) {
        if (it.kind == UpstreamKind::Language && it.domain == m_domain)
            models.insert(it.models.begin(), it.models.end());
    }
    return {models.begin(), models.end()};
}

void DomainPlacement::plan(const std::map<ModelName, double> &demand)
{
    if (m_stateCallPending)
        return;
    auto next = m_state;
    next.applied = m_dispatcher.applied();
    bool changed = syncWithConfig(next) || next.applied != m_state.applied;
    const auto changes =
            m_planner.plan(next, candidates(), demand, configuredModels(), m_context.loop.now());
    for (const auto &it : changes) {
        auto &models = next.desired[it.upstream].models;
        if (it.load)
            models[it.model];
        else
            models.erase(it.model);
        changed = true;
    }
    if (changed)
        writeState(std::move(next));
}

void DomainPlacement::writeState(PlacementState next)
{
    const auto lease = m_lease.held(m_context.loop.now());
    if (!lease)
        return;
    next.fencing = lease->fencing;
    ++next.generation;
    m_pendingState = std::move(next);
    m_stateCallPending = true;
    m_context.store.put(objectKey(), encodePlacement(m_pendingState), m_version,
                        [this, alive = std::weak_ptr(m_alive), &loop = m_context.loop,
                         fencing = lease->fencing](const StoreResult &result) {
                            loop.post([this, alive, fencing, result] {
                                if (!alive.expired())
                                    onStateWritten(fencing, result);
                            });
                        });
}

void DomainPlacement::onStateWritten(std::uint64_t fencing, const StoreResult &result)
{
    const auto lease = m_lease.held(m_context.loop.now());
    if (!lease || lease->fencing != fencing)
        return;
    m_stateCallPending = false;
    m_storeFailed = !result.ok();
    if (result.ok()) {
        m_version = result.object.version;
        adoptState(m_pendingState);
        return;
    }
    // Another holder wrote, or this write may have taken effect: reads the state again.
    if (result.error == StoreError::Conflict || result.error == StoreError::Unknown)
        m_stateLoaded = false;
}

void DomainPlacement::adoptState(PlacementState state)
{
    const auto before = m_allPublished ? served() : std::map<UpstreamId, std::vector<ModelName>>{};
    const bool publishAll = !m_allPublished;
    m_allPublished = true;
    m_state = std::move(state);
    m_dispatcher.setState(m_state, m_context.loop.now());
    const auto after = served();
    std::set<UpstreamId> changed;
    for (const auto &[id, models] : after) {
        const auto it = before.find(id);
        if (publishAll || it == before.end() || it->second != models)
            changed.insert(id);
    }
    for (const auto &[id, models] : before) {
        if (!after.contains(id))
            changed.insert(id);
    }
    if (publishAll || !changed.empty())
        m_publish(changed);
}

void DomainPlacement::sendOrder(const UpstreamOrder &order, const std::string &url)
{
    UpstreamRequest request;
    request.url = url + "/orders";
    request.body = encodeOrder(order);
    request.headers.emplace_back("Content-Type", "application/json");
    // The next holder waits for this timeout before its first order.
    request.totalTimeout = m_options.orders.orderTimeout;
    m_context.client.send(std::move(request),
                          std::make_shared<OrderResponseHandler>(
                                  [this, alive = std::weak_ptr(m_alive), &loop = m_context.loop,
                                   order](OrderResult result) {
                                      loop.post([this, alive, order, result] {
                                          if (!alive.expired())
                                              onOrderFinished(order, result);
                                      });
                                  }));
}

} // namespace hawthornslip
