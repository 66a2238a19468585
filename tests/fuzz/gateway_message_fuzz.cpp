#include "modules/freshness/state_log.h"
#include "modules/usage/usage_draft.h"
#include "modules/usage/usage_journal.h"
#include "platform/object_feed.h"
#include "servers/duties/usage_codec.h"
#include "servers/peers/load_report_codec.h"
#include "servers/state/state_codec.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/**
 * Gives arbitrary bytes to the parsers of what gateways send each other. Invalid ones must be
 * dropped, and state that was taken must be passed on unchanged.
 */
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace hawthornslip;
    const std::string bytes(reinterpret_cast<const char *>(data), size);
    decodeReport(bytes, TimePoint());
    decodeUsage(bytes);
    decodeUsageDraft(bytes);
    decodeUsageJournal(bytes);
    const auto reply = decodeState(bytes);
    if (!reply)
        return 0;
    StateLog log;
    log.stageList(reply->changes.objects);
    log.commit(reply->changes.position, TimePoint(reply->age));
    for (const auto &it : reply->changes.objects) {
        platform::decodeRelayedConfig(it);
        platform::decodeRelayedUpstream(it);
        platform::decodeRelayedNode(it);
    }
    const StateReply passedOn{log.since(std::nullopt), reply->age, reply->held};
    const auto again = decodeState(encodeState(passedOn));
    if (!again || again->changes.objects != passedOn.changes.objects)
        std::abort();
    return 0;
}
