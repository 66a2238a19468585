#pragma once

#include "core/profile.h"
#include "modules/admission/scheduler_events.h"
#include "peer.pb.h"
#include "servers/admission/admission_gateway.h"

#include <memory>
#include <optional>

/** Converts between admission messages and the events of the schedulers. */
namespace hawthornslip::admission {

/** @return the group in @p message. */
GroupId fromMessage(const peer::Group &message);
/** Writes @p group to @p message. */
void toMessage(const GroupId &group, peer::Group &message);

/**
 * @param config configuration with the profile and the weight of the workspace.
 * @return the event of @p message from @p node, or nothing when @p config lacks its profile.
 */
std::optional<AdmissionRequestEvent> fromMessage(const peer::AdmissionRequest &message,
                                                 const NodeId &node,
                                                 const std::shared_ptr<const SharedConfig> &config);
/** Writes a request to @p group; @p elapsed is the time since AdmissionGateway::request(). */
void toMessage(const AdmissionParams &params, const GroupId &group, Duration elapsed,
               peer::AdmissionRequest &message);

/** @return the event of @p message. */
ReleaseEvent fromMessage(const peer::GrantRelease &message);
/** Writes @p report to @p message. */
void toMessage(const AttemptReport &report, peer::GrantRelease &message);

/** @return the event of @p message from @p node. */
GrantReportEvent fromMessage(const peer::GrantReport &message, const NodeId &node,
                             const std::shared_ptr<const SharedConfig> &config);

/** @return the load in @p message. */
GroupLoadInfo fromMessage(const peer::GroupLoad &message);
/** Writes @p load of @p group to @p message. */
void toMessage(const GroupId &group, const GroupLoadInfo &load, peer::GroupLoad &message);

/** @return the release event of an attempt that the request path reported. */
ReleaseEvent toEvent(const AttemptReport &report);
/**
 * @return the event of a request by this node, for its own scheduler.
 * @param elapsed time since AdmissionGateway::request().
 */
AdmissionRequestEvent toEvent(const AdmissionParams &params, const NodeId &self, Duration elapsed,
                              double weight);

/** @return the profile @p name, which shares ownership of @p config, or null. */
std::shared_ptr<const Profile> sharedProfile(const std::shared_ptr<const SharedConfig> &config,
                                             const ProfileName &name);
/** @return the weight of @p workspace; 1 when @p config lacks it. */
double weightOf(const SharedConfig &config, const WorkspaceId &workspace);

} // namespace hawthornslip::admission
