#pragma once

#include "core/ids.h"
#include "core/profile.h"

#include <functional>
#include <vector>

namespace hawthornslip {

/** Provides the models that placement assigned. All calls run on the control thread. */
class PlacementSource
{
public:
    using Listener = std::function<void()>;

    virtual ~PlacementSource() = default;

    /** @return the models that @p upstream serves, or nullptr if placement does not know it. */
    virtual const std::vector<ModelName> *modelsOf(const UpstreamId &upstream) const = 0;

    /** Adds a listener that is called after each change. */
    virtual void subscribe(Listener listener) = 0;
};

/** @return @p config with the models of each upstream replaced by those from @p placement. */
inline SharedConfig withPlacement(SharedConfig config, const PlacementSource &placement)
{
    for (auto &it : config.upstreams) {
        if (const auto *models = placement.modelsOf(it.id))
            it.models = *models;
    }
    return config;
}

} // namespace hawthornslip
