#include "tests/standins/order_handler.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace hawthornslip::standin {

OrderHandler::OrderHandler(std::vector<std::string> models, bool checksFencing, Duration modelLoad)
    : m_checksFencing(checksFencing)
    , m_modelLoad(modelLoad)
{
    for (auto &it : models)
        m_models[std::move(it)] = TimePoint{};
}

HttpReply OrderHandler::take(TimePoint now, const std::string &body)
{
    const auto json = nlohmann::json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("kind"))
        return jsonReply(400, R"({"error":"invalid_order"})");
    const TakenOrder order{json.value("kind", ""), json.value("model", ""), json.value("value", ""),
                           json.value("generation", std::uint64_t{0}),
                           json.value("fencing", std::uint64_t{0})};
    const std::lock_guard lock(m_mutex);
    if (m_checksFencing && order.fencing < m_highestFencing)
        return jsonReply(409, R"({"error":"stale_fencing"})");
    m_highestFencing = std::max(m_highestFencing, order.fencing);
    m_taken.push_back(order);
    apply(now, order);
    return jsonReply(200, "{}");
}

void OrderHandler::apply(TimePoint now, const TakenOrder &order)
{
    // An order states what should be; repeating it changes nothing.
    if (order.kind == "load_model")
        m_models.try_emplace(order.model, now + m_modelLoad);
    else if (order.kind == "unload_model")
        m_models.erase(order.model);
    else if (order.kind == "set_role")
        m_role = order.value;
}

bool OrderHandler::serves(TimePoint now, const std::string &model) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_models.find(model);
    return it != m_models.end() && it->second <= now;
}

std::vector<std::string> OrderHandler::models(TimePoint now) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> result;
    for (const auto &[model, ready] : m_models) {
        if (ready <= now)
            result.push_back(model);
    }
    return result;
}

std::string OrderHandler::role() const
{
    const std::lock_guard lock(m_mutex);
    return m_role;
}

std::vector<TakenOrder> OrderHandler::taken() const
{
    const std::lock_guard lock(m_mutex);
    return m_taken;
}

} // namespace hawthornslip::standin
