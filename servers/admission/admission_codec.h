#pragma once

#include "core/profile.h"
#include "modules/admission/scheduler_events.h"
#include "peer.pb.h"
#include "servers/admission/admission_gateway.h"

#include <memory>
#include <optional>

/** Translates between the messages of admission and the types of the decisions. */
namespace hawthornslip::admission {

/** @return @p message as a group. */
GroupId fromMessage(const peer::Group &message);
/** Writes @p group to @p message. */
void toMessage(const GroupId &group, peer::Group &message);

/**
 * @param config gives the profile and the weight of the workspace.
 * @return the event of @p message from @p node, or nothing when its profile is not known here.
 */
std::optional<AdmissionRequestEvent> fromMessage(const peer::AdmissionRequest &message,
                                                 const NodeId &node,
                                                 const std::shared_ptr<const SharedConfig> &config);
/** Writes @p params as a request to @p group; @p elapsed is the time since it was asked. */
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

/** @return the event of the release of an attempt as the request path reports it. */
ReleaseEvent toEvent(const AttemptReport &report);
/** @return the event of an ask by this node, for its own scheduler. */
AdmissionRequestEvent toEvent(const AdmissionParams &params, const NodeId &self, Duration elapsed,
                              double weight);

/** @return the profile @p name of @p config, kept alive by it, or null. */
std::shared_ptr<const Profile> sharedProfile(const std::shared_ptr<const SharedConfig> &config,
                                             const ProfileName &name);
/** @return the weight of @p workspace; 1 when it is not known. */
double weightOf(const SharedConfig &config, const WorkspaceId &workspace);

} // namespace hawthornslip::admission
