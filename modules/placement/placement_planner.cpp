#include "modules/placement/placement_planner.h"

#include <algorithm>
#include <cmath>

namespace hawthornslip {

namespace {

const UpstreamTarget *findTarget(const std::map<UpstreamId, UpstreamTarget> &targets,
                                 const UpstreamId &id)
{
    const auto it = targets.find(id);
    return it == targets.end() ? nullptr : &it->second;
}

std::size_t modelCount(const PlacementState &state, const UpstreamId &id)
{
    const auto *desired = findTarget(state.desired, id);
    return desired == nullptr ? 0 : desired->models.size();
}

bool isDesired(const PlacementState &state, const UpstreamId &id, const ModelName &model)
{
    const auto *desired = findTarget(state.desired, id);
    return desired != nullptr && desired->models.contains(model);
}

// A model takes up room until the upstream confirms that it is unloaded.
bool isUnloading(const PlacementState &state, const UpstreamId &id)
{
    const auto *applied = findTarget(state.applied, id);
    if (applied == nullptr)
        return false;
    return std::any_of(applied->models.begin(), applied->models.end(),
                       [&](const auto &it) { return !isDesired(state, id, it.first); });
}

double averageSlots(const std::vector<PlacementCandidate> &candidates)
{
    double slots = 0;
    for (const auto &it : candidates)
        slots += it.slots;
    return candidates.empty() ? 1 : std::max(1.0, slots / static_cast<double>(candidates.size()));
}

void apply(PlacementState &state, const PlacementChange &change)
{
    auto &models = state.desired[change.upstream].models;
    if (change.load)
        models[change.model];
    else
        models.erase(change.model);
}

} // namespace

std::size_t loadsInProgress(const PlacementState &state)
{
    std::size_t n = 0;
    for (const auto &[id, desired] : state.desired) {
        const auto *applied = findTarget(state.applied, id);
        for (const auto &[model, target] : desired.models)
            n += applied == nullptr || !applied->models.contains(model) ? 1 : 0;
    }
    return n;
}

PlacementPlanner::PlacementPlanner(PlacementOptions options)
    : m_options(options)
{}

std::vector<PlacementChange>
PlacementPlanner::plan(const PlacementState &state,
                       const std::vector<PlacementCandidate> &candidates,
                       const std::map<ModelName, double> &demand,
                       const std::vector<ModelName> &models, TimePoint now)
{
    updateNeeds(state, candidates, demand, models, now);
    // Models without a replica come first, then those with the greatest shortage.
    std::vector<std::pair<ModelName, Need>> order(m_needs.begin(), m_needs.end());
    std::stable_sort(order.begin(), order.end(), [](const auto &a, const auto &b) {
        const auto shortage = [](const Need &it) {
            return static_cast<double>(it.wanted) /
                   static_cast<double>(std::max<std::size_t>(it.replicas, 1)) *
                   (it.replicas == 0 ? 1000 : 1);
        };
        return shortage(a.second) > shortage(b.second);
    });
    auto next = state;
    std::vector<PlacementChange> changes;
    for (const auto &[model, need] : order) {
        if (loadsInProgress(next) >= m_options.maxLoads)
            break;
        if (!wantsReplica(need, now))
            continue;
        std::optional<PlacementChange> change;
        if (const auto room = findRoom(next, candidates, model))
            change = PlacementChange{*room, model, true};
        else
            change = makeRoom(next, candidates, model, now);
        if (!change)
            continue;
        apply(next, *change);
        changes.push_back(*change);
    }
    return changes;
}

void PlacementPlanner::updateNeeds(const PlacementState &state,
                                   const std::vector<PlacementCandidate> &candidates,
                                   const std::map<ModelName, double> &demand,
                                   const std::vector<ModelName> &models, TimePoint now)
{
    for (const auto &it : models)
        m_needs[it];
    for (const auto &[model, n] : demand)
        m_needs[model];
    const double perReplica = averageSlots(candidates) * m_options.targetUtilisation;
    for (auto &[model, need] : m_needs) {
        need.replicas = 0;
        for (const auto &it : candidates)
            need.replicas += it.acceptsModels && isDesired(state, it.id, model) ? 1 : 0;
        const auto modelDemand = demand.find(model);
        const double load = modelDemand == demand.end() ? 0 : modelDemand->second;
        const bool wanted =
                load > 0 || std::find(models.begin(), models.end(), model) != models.end();
        need.wanted = static_cast<std::size_t>(std::ceil(load / perReplica));
        if (wanted)
            need.wanted = std::max(need.wanted, m_options.minReplicas);
        const auto trackSince = [&](std::optional<TimePoint> &start, bool holds) {
            if (!holds)
                start.reset();
            else if (!start)
                start = now;
        };
        trackSince(need.scaleUpSince, need.wanted > need.replicas);
        trackSince(need.scaleDownSince, need.wanted < need.replicas);
    }
}

bool PlacementPlanner::wantsReplica(const Need &need, TimePoint now) const
{
    if (need.wanted <= need.replicas)
        return false;
    // The minimum is restored at once: an upstream that served it may just have been lost.
    if (need.replicas < m_options.minReplicas)
        return true;
    return need.scaleUpSince && now - *need.scaleUpSince >= m_options.scaleUpDelay;
}

bool PlacementPlanner::hasSpareReplica(const Need &need, TimePoint now) const
{
    return need.scaleDownSince && now - *need.scaleDownSince >= m_options.scaleDownDelay &&
           need.replicas > need.wanted;
}

std::optional<UpstreamId>
PlacementPlanner::findRoom(const PlacementState &state,
                           const std::vector<PlacementCandidate> &candidates,
                           const ModelName &model) const
{
    const PlacementCandidate *best = nullptr;
    for (const auto &it : candidates) {
        if (!it.acceptsModels || isDesired(state, it.id, model) || isUnloading(state, it.id) ||
            modelCount(state, it.id) >= m_options.modelsPerUpstream)
            continue;
        if (best == nullptr || modelCount(state, it.id) < modelCount(state, best->id))
            best = &it;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->id;
}

std::optional<PlacementChange>
PlacementPlanner::makeRoom(const PlacementState &state,
                           const std::vector<PlacementCandidate> &candidates,
                           const ModelName &model, TimePoint now)
{
    for (const auto &it : candidates) {
        const auto *desired = findTarget(state.desired, it.id);
        // One unload at a time per upstream; a later plan uses the room.
        if (!it.acceptsModels || desired == nullptr || desired->models.contains(model) ||
            isUnloading(state, it.id))
            continue;
        for (const auto &[other, target] : desired->models) {
            auto &need = m_needs[other];
            if (!hasSpareReplica(need, now))
                continue;
            --need.replicas;
            return PlacementChange{it.id, other, false};
        }
    }
    return std::nullopt;
}

} // namespace hawthornslip
