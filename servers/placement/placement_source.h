#pragma once

#include "core/ids.h"
#include "core/profile.h"

#include <functional>
#include <vector>

namespace hawthornslip {

/** Which models the upstreams serve after placement. All calls run on the control thread. */
class PlacementSource
{
public:
    using Listener = std::function<void()>;

    virtual ~PlacementSource() = default;

    /** @return the models that @p upstream serves, or nullptr when placement does not know it. */
    virtual const std::vector<ModelName> *modelsOf(const UpstreamId &upstream) const = 0;

    /** Adds a function that is called after each change. */
    virtual void subscribe(Listener listener) = 0;
};

/** @return @p config with the models of each upstream as placement has them. */
inline SharedConfig withPlacement(SharedConfig config, const PlacementSource &placement)
{
    for (auto &it : config.upstreams) {
        if (const auto *models = placement.modelsOf(it.id))
            it.models = *models;
    }
    return config;
}

} // namespace hawthornslip
