#pragma once

#include "core/time.h"
#include "modules/placement/placement_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hawthornslip {

/** Limits and delays of a PlacementPlanner. */
struct PlacementOptions
{
    /** Concurrent model loads; the store of the model weights is rate-limited. */
    std::size_t maxLoads = 2;
    /** Models that fit on one upstream. */
    std::size_t modelsPerUpstream = 2;
    std::size_t minReplicas = 1;
    /** Fraction of an upstream's slots that the demand may fill. */
    double targetUtilisation = 0.7;
    /** Time for which the demand must exceed the replicas of a model before it gets another one. */
    Duration scaleUpDelay = seconds(20);
    /** Time for which a replica must be unneeded before it may be unloaded. */
    Duration scaleDownDelay = seconds(300);
};

/** An upstream of the domain that may be given orders. */
struct PlacementCandidate
{
    UpstreamId id;
    /** False while it drains or leaves: it keeps its models and gets no new ones. */
    bool acceptsModels = true;
    /** Concurrent requests. */
    std::uint32_t slots = 1;
};

/** A model to load on, or to unload from, one upstream. */
struct PlacementChange
{
    UpstreamId upstream;
    ModelName model;
    bool load = true;

    bool operator==(const PlacementChange &) const = default;
};

/**
 * Decides which models the upstreams of one failure domain serve.
 *
 * The number of replicas follows the demand with hysteresis. A replica is unloaded only to make
 * room for another model, because an idle replica costs nothing.
 */
class PlacementPlanner
{
public:
    explicit PlacementPlanner(PlacementOptions options = {});

    /**
     * @param candidates all upstreams of the domain.
     * @param demand requests in flight or waiting, by model, summed over all nodes.
     * @param models models that keep the minimum of replicas even without demand.
     * @return the changes to make now, within the limit of concurrent loads.
     */
    std::vector<PlacementChange> plan(const PlacementState &state,
                                      const std::vector<PlacementCandidate> &candidates,
                                      const std::map<ModelName, double> &demand,
                                      const std::vector<ModelName> &models, TimePoint now);

private:
    struct Need
    {
        std::size_t wanted = 0;
        std::size_t replicas = 0;
        /** Since when more, or fewer, replicas are wanted than there are. */
        std::optional<TimePoint> scaleUpSince;
        std::optional<TimePoint> scaleDownSince;
    };

    void updateNeeds(const PlacementState &state, const std::vector<PlacementCandidate> &candidates,
                     const std::map<ModelName, double> &demand,
                     const std::vector<ModelName> &models, TimePoint now);
    bool wantsReplica(const Need &need, TimePoint now) const;
    bool hasSpareReplica(const Need &need, TimePoint now) const;
    std::optional<UpstreamId> findRoom(const PlacementState &state,
                                       const std::vector<PlacementCandidate> &candidates,
                                       const ModelName &model) const;
    std::optional<PlacementChange> makeRoom(const PlacementState &state,
                                            const std::vector<PlacementCandidate> &candidates,
                                            const ModelName &model, TimePoint now);

    PlacementOptions m_options;
    std::map<ModelName, Need> m_needs;
};

/** @return the number of desired model replicas that are not loaded yet. */
std::size_t loadsInProgress(const PlacementState &state);

} // namespace hawthornslip
