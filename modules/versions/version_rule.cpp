#include "modules/versions/version_rule.h"

#include <algorithm>

namespace hawthornslip {

bool mayContinue(std::string_view began, std::string_view other, bool isUnnamed)
{
    return began == other && (!began.empty() || isUnnamed);
}

ContinuingUpstreams continuingUpstreams(const SharedConfig &config, const ModelName &model,
                                        std::string_view began)
{
    std::vector<const Upstream *> serving;
    for (const auto &it : config.upstreams) {
        if (std::ranges::find(it.models, model) != it.models.end())
            serving.push_back(&it);
    }
    const bool isUnnamed = std::ranges::all_of(
            serving, [](const Upstream *it) { return it->softwareVersion.empty(); });
    ContinuingUpstreams upstreams;
    for (const auto *it : serving) {
        const bool isAllowed = mayContinue(began, it->softwareVersion, isUnnamed);
        (isAllowed ? upstreams.allowed : upstreams.excluded).push_back(it->id);
    }
    return upstreams;
}

} // namespace hawthornslip
