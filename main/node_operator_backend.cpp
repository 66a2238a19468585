#include "main/node_operator_backend.h"

#include <chrono>
#include <future>
#include <memory>
#include <utility>

namespace hawthornslip {

namespace {

using Json = nlohmann::json;

constexpr auto kStopCheckInterval = std::chrono::milliseconds(50);

OperatorAnswer conflictAnswer(const ApplyResultInfo &result)
{
    auto answer = errorAnswer(409, "conflict",
                              "generation " + std::to_string(result.generation) + " by " +
                                      result.author + " was accepted first");
    answer.body["generation"] = result.generation;
    answer.body["author"] = result.author;
    return answer;
}

OperatorAnswer invalidAnswer(const ApplyResultInfo &result)
{
    auto answer = errorAnswer(422, "invalid_document", "the document has faults");
    answer.body["faults"] = Json::array();
    for (const auto &it : result.faults)
        answer.body["faults"].push_back({{"path", it.path}, {"message", it.message}});
    return answer;
}

OperatorAnswer applyAnswer(const ApplyResultInfo &result)
{
    switch (result.status) {
    case ApplyStatus::Conflict:
        return conflictAnswer(result);
    case ApplyStatus::Invalid:
        return invalidAnswer(result);
    case ApplyStatus::StoreUnavailable:
        return errorAnswer(503, "store_unavailable", "the store took no write; nothing changed");
    case ApplyStatus::Unknown:
        return errorAnswer(504, "outcome_unknown",
                           "the store may have accepted the document; see the generation in force");
    case ApplyStatus::Accepted:
        break;
    }
    return {200, {{"generation", result.generation}}};
}

} // namespace

NodeOperatorBackend::NodeOperatorBackend(ControlLoop &loop, ConfigService &config,
                                         MembershipService &membership, NodeId self,
                                         std::function<Facts()> facts)
    : m_loop(loop)
    , m_config(config)
    , m_membership(membership)
    , m_self(std::move(self))
    , m_facts(std::move(facts))
{}

OperatorAnswer NodeOperatorBackend::config()
{
    return {200, Json::parse(ConfigDocument::toText(*m_config.current()))};
}

OperatorAnswer NodeOperatorBackend::history()
{
    std::vector<ConfigHistoryEntry> entries;
    m_loop.run([&] { entries = m_config.history(); });
    Json list = Json::array();
    for (const auto &it : entries) {
        list.push_back({{"generation", it.generation},
                        {"author", it.author},
                        {"adopted_unix_ms", it.adopted}});
    }
    return {200, {{"history", list}}};
}

OperatorAnswer NodeOperatorBackend::apply(const std::string &document, Duration wait)
{
    std::promise<ApplyResultInfo> done;
    m_config.apply(document, [&](const ApplyResultInfo &it) { done.set_value(it); });
    const auto result = done.get_future().get();
    auto answer = applyAnswer(result);
    if (result.status != ApplyStatus::Accepted || wait <= Duration{0})
        return answer;
    const auto inForce = queryNodes(result.generation, wait);
    if (!inForce) {
        answer.body["wait_ended"] = "node_stops";
        return answer;
    }
    answer.body["in_force"] = Json::array();
    answer.body["not_in_force"] = Json::array();
    for (const auto &it : inForce->nodes)
        answer.body[it.inForce ? "in_force" : "not_in_force"].push_back(it.node.value);
    return answer;
}

OperatorAnswer NodeOperatorBackend::status()
{
    const auto facts = m_facts();
    Json body{{"node", m_self.value}, {"phase", facts.phase}, {"streams", facts.streams}};
    m_loop.run([&] {
        body["generation"] = m_config.generation();
        body["store_answered"] = m_config.storeAnswered();
        body["live_nodes"] = m_membership.liveNodes().size();
    });
    return {200, body};
}

OperatorAnswer NodeOperatorBackend::nodes()
{
    const auto generation = m_config.current()->generation;
    const auto reports = queryNodes(generation, seconds(1));
    if (!reports)
        return errorAnswer(503, "node_stops", "the node stops");
    std::vector<LiveNode> live;
    m_loop.run([&] { live = m_membership.liveNodes(); });
    Json list = Json::array();
    for (const auto &it : reports->nodes) {
        Json node{{"node", it.node.value},
                  {"answered", it.answered},
                  {"generation", it.facts.generation},
                  {"phase", it.facts.phase},
                  {"streams", it.facts.streams}};
        for (const auto &known : live) {
            if (known.node == it.node)
                node["domain"] = known.domain.value;
        }
        list.push_back(std::move(node));
    }
    return {200, {{"nodes", list}}};
}

std::optional<NodesInForce> NodeOperatorBackend::queryNodes(std::uint64_t generation, Duration wait)
{
    // Shared, because the reports may come after the wait has ended.
    const auto done = std::make_shared<std::promise<NodesInForce>>();
    auto reports = done->get_future();
    m_config.nodesInForce(generation, wait, [done](const auto &it) { done->set_value(it); });
    while (reports.wait_for(kStopCheckInterval) != std::future_status::ready) {
        if (m_isStopping)
            return std::nullopt;
    }
    return reports.get();
}

} // namespace hawthornslip
