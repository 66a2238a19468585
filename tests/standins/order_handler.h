#pragma once

#include "core/time.h"
#include "tests/standins/http_host.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornslip::standin {

/** An order that an engine took. */
struct TakenOrder
{
    std::string kind;
    std::string model;
    std::string value;
    std::uint64_t generation = 0;
    std::uint64_t fencing = 0;
};

/** The models, adapters, version and role of an engine, and the orders that changed them. */
class OrderHandler
{
public:
    /**
     * @param checksFencing refuses an order with a fencing number below the highest one seen.
     * @param modelLoad time from the order until a model can be used.
     */
    OrderHandler(std::vector<std::string> models, bool checksFencing, Duration modelLoad);

    /** Answers `POST /orders`. */
    HttpReply take(TimePoint now, const std::string &body);

    /** @return true when @p model is loaded. */
    bool serves(TimePoint now, const std::string &model) const;

    /** @return the loaded models. */
    std::vector<std::string> models(TimePoint now) const;

    std::string role() const;

    /** @return all orders taken, in order. */
    std::vector<TakenOrder> taken() const;

private:
    void apply(TimePoint now, const TakenOrder &order);

    bool m_checksFencing;
    Duration m_modelLoad;
    mutable std::mutex m_mutex;
    /** Time from which each model can be used. */
    std::map<std::string, TimePoint> m_models;
    std::uint64_t m_highestFencing = 0;
    std::string m_role = "serve";
    std::vector<TakenOrder> m_taken;
};

} // namespace hawthornslip::standin
