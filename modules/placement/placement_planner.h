#pragma once

#include "core/time.h"
#include "modules/placement/placement_types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace hawthornslip {

/** Bounds of a PlacementPlanner. */
struct PlacementOptions
{
    /** Loads at a time: the weight store is rate-limited. */
    std::size_t maxLoads = 2;
    /** Models that fit on one upstream. */
    std::size_t modelsPerUpstream = 2;
    std::size_t minReplicas = 1;
    /** Share of an upstream's slots that the demand may fill. */
    double targetUtilisation = 0.7;
    /** A model gets another replica when the demand asked for it this long. */
    Duration scaleUpDelay = seconds(20);
    /** A replica may be taken away when the demand did not need it this long. */
    Duration scaleDownDelay = seconds(300);
};

/** An upstream of the domain that may be given orders. */
struct PlacementCandidate
{
    UpstreamId id;
    /** False while it drains or leaves: it keeps what it has and gets nothing new. */
    bool acceptsModels = true;
    /** Requests that it serves at a time. */
    std::uint32_t slots = 1;
};

/** A change of what one upstream shall serve. */
struct PlacementChange
{
    UpstreamId upstream;
    ModelName model;
    bool load = true;

    bool operator==(const PlacementChange &) const = default;
};

/**
 * Decides which models the upstreams of one failure domain shall serve.
 *
 * Replicas follow the demand with hysteresis. A replica is taken away only to make room for a model
 * that needs it, because an idle replica costs nothing.
 */
class PlacementPlanner
{
public:
    explicit PlacementPlanner(PlacementOptions options = {});

    /**
     * @param candidates all upstreams of the domain.
     * @param demand requests in flight or waiting, by model, summed over all nodes.
     * @param models models that are to be served even without demand.
     * @return the changes to make now; at most as many loads as the bound leaves.
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
        /** Since when the demand wants more, or fewer, replicas than there are. */
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

/** @return the number of models that are desired and not yet loaded. */
std::size_t loadsInProgress(const PlacementState &state);

} // namespace hawthornslip
