#include "servers/state/state_codec.h"

#include "gateway.pb.h"

namespace hawthornslip {

std::string encodeState(const StateReply &reply)
{
    gateway::StateReply message;
    message.set_revision(reply.changes.position.revision);
    if (reply.changes.position.era != 0)
        message.set_era(reply.changes.position.era);
    message.set_complete(reply.changes.isComplete);
    message.set_age(static_cast<std::uint64_t>(reply.age.count()));
    message.set_held(static_cast<std::uint64_t>(reply.held.count()));
    message.set_store_behind(reply.isStoreBehind);
    for (const auto &it : reply.changes.objects) {
        auto *object = message.add_objects();
        object->set_name(it.name);
        object->set_removed(it.removed);
        object->set_encoded(it.encoded);
    }
    return message.SerializeAsString();
}

std::optional<StateReply> decodeState(const std::string &bytes)
{
    // Larger values would overflow the arithmetic with points in time.
    constexpr std::uint64_t kMaxMicros = 3'600'000'000;
    gateway::StateReply message;
    if (!message.ParseFromString(bytes) || message.revision() == 0 || message.age() > kMaxMicros ||
        message.held() > kMaxMicros)
        return std::nullopt;
    StateReply reply;
    reply.changes.position = {message.era(), message.revision()};
    reply.changes.isComplete = message.complete();
    reply.age = Duration(static_cast<std::int64_t>(message.age()));
    reply.isStoreBehind = message.store_behind();
    reply.held = Duration(static_cast<std::int64_t>(message.held()));
    for (const auto &it : message.objects())
        reply.changes.objects.push_back({it.name(), it.removed(), it.encoded()});
    return reply;
}

} // namespace hawthornslip
