#include "core/profile.h"

#include <algorithm>

namespace hawthornslip {

namespace {

template <typename Items, typename Predicate>
auto findOrNull(const Items &items, Predicate matches) -> const typename Items::value_type *
{
    const auto it = std::find_if(items.begin(), items.end(), matches);
    return it == items.end() ? nullptr : &*it;
}

} // namespace

const Profile *SharedConfig::findProfile(const ProfileName &name) const
{
    return findOrNull(profiles, [&](const Profile &it) { return it.name == name; });
}

const Upstream *SharedConfig::findUpstream(const UpstreamId &id) const
{
    return findOrNull(upstreams, [&](const Upstream &it) { return it.id == id; });
}

const Workspace *SharedConfig::findWorkspace(const WorkspaceId &id) const
{
    return findOrNull(workspaces, [&](const Workspace &it) { return it.id == id; });
}

} // namespace hawthornslip
