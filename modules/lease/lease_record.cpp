#include "modules/lease/lease_record.h"

#include <nlohmann/json.hpp>

namespace hawthornslip {

std::string encodeLease(const LeaseRecord &record)
{
    const nlohmann::json json{{"holder", record.holder.value},
                              {"incarnation", record.incarnation},
                              {"fencing", record.fencing},
                              {"renewals", record.renewals}};
    return json.dump();
}

std::optional<LeaseRecord> decodeLease(const std::string &text)
{
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    const auto number = [&](const char *name) -> std::optional<std::uint64_t> {
        const auto it = json.find(name);
        if (it == json.end() || !it->is_number_unsigned())
            return std::nullopt;
        return it->get<std::uint64_t>();
    };
    const auto holder = json.find("holder");
    const auto incarnation = number("incarnation");
    const auto fencing = number("fencing");
    const auto renewals = number("renewals");
    if (holder == json.end() || !holder->is_string() || !incarnation || !fencing || !renewals)
        return std::nullopt;
    return LeaseRecord{NodeId(holder->get<std::string>()), *incarnation, *fencing, *renewals};
}

} // namespace hawthornslip
