#pragma once

#include "core/profile.h"

#include <string>
#include <string_view>
#include <vector>

namespace hawthornslip {

/**
 * @param isUnnamed no upstream of the service names a version.
 * @return true if an upstream of the version @p other may continue a stream that began at @p began:
 *         what two versions write does not fit together, and one that is not named is not known.
 */
bool mayContinue(std::string_view began, std::string_view other, bool isUnnamed);

/** The upstreams of a configuration that serve a model, by whether they may continue a stream. */
struct ContinuingUpstreams
{
    std::vector<UpstreamId> allowed;
    std::vector<UpstreamId> excluded;
};

/** @return the upstreams of @p config that serve @p model, for a stream that began at @p began. */
ContinuingUpstreams continuingUpstreams(const SharedConfig &config, const ModelName &model,
                                        std::string_view began);

} // namespace hawthornslip
