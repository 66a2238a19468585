#include "servers/membership/membership_codec.h"

#include <google/protobuf/repeated_field.h>

namespace hawthornslip::membership {

namespace {

using Updates = google::protobuf::RepeatedPtrField<peer::MemberUpdate>;

// More nodes than any deployment has; the updates of a larger message are ignored.
constexpr int kMaxUpdates = 10000;

peer::MemberState encodeState(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return peer::MEMBER_STATE_ALIVE;
    case MemberState::Leaving:
        return peer::MEMBER_STATE_LEAVING;
    case MemberState::Dead:
        return peer::MEMBER_STATE_DEAD;
    case MemberState::Suspect:
        return peer::MEMBER_STATE_SUSPECT;
    }
    return peer::MEMBER_STATE_UNSPECIFIED;
}

std::optional<MemberState> decodeState(peer::MemberState state)
{
    switch (state) {
    case peer::MEMBER_STATE_ALIVE:
        return MemberState::Alive;
    case peer::MEMBER_STATE_LEAVING:
        return MemberState::Leaving;
    case peer::MEMBER_STATE_DEAD:
        return MemberState::Dead;
    case peer::MEMBER_STATE_SUSPECT:
        return MemberState::Suspect;
    default:
        return std::nullopt;
    }
}

void encodeUpdates(const std::vector<MemberUpdate> &updates, Updates &out)
{
    for (const auto &it : updates) {
        auto &update = *out.Add();
        update.set_node(it.node.value);
        update.set_incarnation(it.incarnation);
        update.set_refutation(it.refutation);
        update.set_state(encodeState(it.state));
        update.set_domain(it.domain.value);
        update.set_region(it.region);
    }
}

std::vector<MemberUpdate> decodeUpdates(const Updates &updates)
{
    std::vector<MemberUpdate> list;
    if (updates.size() > kMaxUpdates)
        return list;
    list.reserve(static_cast<std::size_t>(updates.size()));
    for (const auto &it : updates) {
        // Skips states that this version does not know.
        const auto state = decodeState(it.state());
        if (state && !it.node().empty())
            list.push_back({NodeId(it.node()), it.incarnation(), it.refutation(), *state,
                            FailureDomain(it.domain()), it.region()});
    }
    return list;
}

OutgoingMessage encodeProbe(const SendProbe &action)
{
    OutgoingMessage out{action.to, {}};
    auto &probe = *out.message.mutable_probe();
    probe.set_nonce(action.nonce);
    probe.set_membership_digest(action.digest);
    probe.set_on_behalf_of(action.onBehalfOf.value);
    encodeUpdates(action.updates, *probe.mutable_updates());
    return out;
}

OutgoingMessage encodeAck(const SendAck &action)
{
    OutgoingMessage out{action.to, {}};
    auto &ack = *out.message.mutable_probe_ack();
    ack.set_nonce(action.nonce);
    ack.set_membership_digest(action.digest);
    ack.set_target(action.target.value);
    encodeUpdates(action.updates, *ack.mutable_updates());
    return out;
}

} // namespace

std::optional<OutgoingMessage> encode(const Action &action)
{
    if (const auto *probe = std::get_if<SendProbe>(&action))
        return encodeProbe(*probe);
    if (const auto *ack = std::get_if<SendAck>(&action))
        return encodeAck(*ack);
    if (const auto *request = std::get_if<SendProbeRequest>(&action)) {
        OutgoingMessage out{request->to, {}};
        out.message.mutable_probe_request()->set_nonce(request->nonce);
        out.message.mutable_probe_request()->set_target(request->target.value);
        return out;
    }
    if (const auto *updates = std::get_if<SendUpdates>(&action)) {
        OutgoingMessage out{updates->to, {}};
        auto &body = *out.message.mutable_member_updates();
        encodeUpdates(updates->updates, *body.mutable_updates());
        body.set_full_state_wanted(updates->fullStateWanted);
        return out;
    }
    return std::nullopt;
}

Event decode(const NodeId &sender, const peer::Envelope &message)
{
    const std::uint64_t incarnation = message.incarnation();
    switch (message.body_case()) {
    case peer::Envelope::kProbe: {
        const auto &it = message.probe();
        return ProbeReceived{sender, incarnation, it.nonce(), it.membership_digest(),
                             decodeUpdates(it.updates())};
    }
    case peer::Envelope::kProbeAck: {
        const auto &it = message.probe_ack();
        return AckReceived{sender,
                           incarnation,
                           it.nonce(),
                           it.membership_digest(),
                           NodeId(it.target()),
                           decodeUpdates(it.updates())};
    }
    case peer::Envelope::kProbeRequest:
        return ProbeRequestReceived{sender, message.probe_request().nonce(),
                                    NodeId(message.probe_request().target())};
    case peer::Envelope::kMemberUpdates:
        return UpdatesReceived{sender, incarnation,
                               decodeUpdates(message.member_updates().updates()),
                               message.member_updates().full_state_wanted()};
    default:
        return MessageReceived{sender, incarnation};
    }
}

} // namespace hawthornslip::membership
