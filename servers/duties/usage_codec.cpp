#include "servers/duties/usage_codec.h"

#include "gateway.pb.h"

#include <algorithm>
#include <cstddef>

namespace hawthornslip {

namespace {

// With the rest of the message below the usual size of a packet.
constexpr std::size_t kMaxPartBytes = 1100;
// Tags, lengths and the number.
constexpr std::size_t kCountOverhead = 12;

} // namespace

std::string encodeUsageQuestion(const UsageQuestion &question)
{
    gateway::UsageMessage message;
    auto *out = message.mutable_question();
    out->set_sequence(question.sequence);
    out->set_first_window(question.firstWindow);
    out->set_window_ms(static_cast<std::uint64_t>(toMillis(question.window)));
    out->set_time_ms(question.time);
    return message.SerializeAsString();
}

std::vector<std::string> encodeUsageAnswer(const UsageAnswer &answer)
{
    std::vector<gateway::UsageMessage> messages(1);
    std::size_t bytes = 0;
    for (const auto &[window, workspaces] : answer.counts) {
        gateway::WindowUsage *out = nullptr;
        for (const auto &[workspace, n] : workspaces) {
            const std::size_t size = workspace.size() + kCountOverhead;
            if (bytes > 0 && bytes + size > kMaxPartBytes) {
                messages.emplace_back();
                bytes = 0;
                out = nullptr;
            }
            if (out == nullptr) {
                out = messages.back().mutable_answer()->add_windows();
                out->set_window(window);
            }
            auto *count = out->add_workspaces();
            count->set_workspace(workspace);
            count->set_requests(n);
            bytes += size;
        }
    }
    std::vector<std::string> encoded;
    for (auto &it : messages) {
        auto *out = it.mutable_answer();
        out->set_sequence(answer.sequence);
        out->set_part(static_cast<std::uint32_t>(encoded.size()));
        out->set_parts(static_cast<std::uint32_t>(messages.size()));
        out->set_since(answer.since);
        out->set_open_window(answer.openWindow);
        out->set_clock_ms(answer.clock);
        encoded.push_back(it.SerializeAsString());
    }
    return encoded;
}

std::optional<std::variant<UsageQuestion, UsageAnswer>> decodeUsage(const std::string &bytes)
{
    gateway::UsageMessage message;
    if (!message.ParseFromString(bytes))
        return std::nullopt;
    if (message.has_question()) {
        const auto &in = message.question();
        return UsageQuestion{in.sequence(), in.first_window(),
                             milliseconds(static_cast<std::int64_t>(in.window_ms())), in.time_ms()};
    }
    if (!message.has_answer())
        return std::nullopt;
    const auto &in = message.answer();
    UsageAnswer answer{in.sequence(),    in.part(),     in.parts(), in.since(),
                       in.open_window(), in.clock_ms(), {}};
    for (const auto &window : in.windows()) {
        auto &counts = answer.counts[window.window()];
        for (const auto &it : window.workspaces())
            counts[it.workspace()] = std::max(counts[it.workspace()], it.requests());
    }
    return answer;
}

} // namespace hawthornslip
