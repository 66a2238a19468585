#pragma once

#include "core/interfaces/event_loop.h"
#include "core/interfaces/metrics.h"
#include "core/interfaces/provider_api.h"
#include "modules/duties/duty_terms.h"
#include "modules/limits/token_bucket.h"
#include "modules/scaling/order_book.h"
#include "modules/scaling/scaling_planner.h"
#include "servers/gateway/scaling_source.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hawthornslip {

/** Dependencies of the orders; all must outlive it. */
struct ScalingServiceParts
{
    EventLoop &loop;
    ProviderApi &provider;
    const DutyTerms &terms;
    ScalingSource &source;
    Metrics &metrics;
};

/**
 * Orders upstreams while this node holds the duties. The demand is measured on each node, so that a
 * new holder knows its recent course.
 */
class ScalingService
{
public:
    /** @param callsPerSecond calls that the provider accepts from all duties together. */
    ScalingService(ScalingServiceParts parts, double callsPerSecond, ScalingSettings settings = {});

    /** Starts to measure, and to order whenever this node is the holder. */
    void start() { tick(); }

private:
    struct State
    {
        explicit State(const ScalingSettings &settings)
            : meter(settings.keepFor)
        {}

        DemandMeter meter;
        /** Set in the term of this node. */
        std::optional<ScalingPlanner> planner;
        std::optional<OrderBook> orders;
    };

    void tick();
    void enterTerm(std::uint64_t generation);
    void order(const ScaledService &service, State &state, const DutyTerm &term);
    void send(const ScaledService &service, State &state, const DueOrder &order,
              const UpstreamCounts &ready, const DutyTerm &term);
    void onResult(const std::string &service, const DueOrder &order, std::uint64_t generation,
                  ProviderResult result);
    void recordCounts(const ScaledService &service, const UpstreamCounts &desired,
                      const UpstreamCounts &ready);

    ScalingServiceParts m_parts;
    ScalingSettings m_settings;
    TokenBucket m_calls;
    std::map<std::string, State> m_services;
    /** The term that the planners belong to; 0 outside of a term. */
    std::uint64_t m_generation = 0;
    /** A refused call may mean a later holder, so none follows before the term was renewed. */
    TimePoint m_refusedTermUntil{};
    /** Expires with this object, so that later results are dropped. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hawthornslip
