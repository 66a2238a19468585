#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

/** Strongly typed identifiers, so that one kind cannot be passed as another. */
namespace hawthornslip {

/** A string identifier of the kind named by @p Tag. */
template <typename Tag>
struct StrongId
{
    std::string value;

    StrongId() = default;
    explicit StrongId(std::string text)
        : value(std::move(text))
    {}

    /** @return true when the identifier was never set. */
    bool empty() const { return value.empty(); }

    auto operator<=>(const StrongId &) const = default;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &out, const StrongId<Tag> &id)
{
    return out << id.value;
}

/** A router node, identified by its peer address `ip:port`. */
using NodeId = StrongId<struct NodeIdTag>;
/** A tenant of the router. */
using WorkspaceId = StrongId<struct WorkspaceIdTag>;
/** The name of a profile. */
using ProfileName = StrongId<struct ProfileNameTag>;
/** A back end: a language-model engine or an application service. */
using UpstreamId = StrongId<struct UpstreamIdTag>;
/** The name of a failure domain. */
using FailureDomain = StrongId<struct FailureDomainTag>;
/** A model name, or `app:<route>` for an application service. */
using ModelName = StrongId<struct ModelNameTag>;
/** A random identifier of one request, 32 hexadecimal digits. */
using RequestId = StrongId<struct RequestIdTag>;
/** Identifies one grant, which assigns a slot of an upstream to a request. */
using GrantId = StrongId<struct GrantIdTag>;

/** The upstreams of one model in one failure domain; a single owner node schedules them. */
struct GroupId
{
    ModelName model;
    FailureDomain domain;

    auto operator<=>(const GroupId &) const = default;

    /** @return `model@domain`, the key for rendezvous hashing and logs. */
    std::string toString() const { return model.value + "@" + domain.value; }
};

inline std::ostream &operator<<(std::ostream &out, const GroupId &id)
{
    return out << id.toString();
}

} // namespace hawthornslip

template <typename Tag>
struct std::hash<hawthornslip::StrongId<Tag>>
{
    std::size_t operator()(const hawthornslip::StrongId<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template <>
struct std::hash<hawthornslip::GroupId>
{
    std::size_t operator()(const hawthornslip::GroupId &id) const noexcept
    {
        constexpr std::size_t kMultiplier = 31;
        return std::hash<std::string>{}(id.model.value) * kMultiplier +
               std::hash<std::string>{}(id.domain.value);
    }
};
