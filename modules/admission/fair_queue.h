#pragma once

#include "modules/admission/attempt_key_hash.h"
#include "modules/admission/scheduler_events.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornslip {

/** A request that waits for a slot. */
struct QueuedRequest
{
    AdmissionRequestEvent admissionRequest;
    TimePoint enqueued{};
    /** Latest start with which the target is still met; the order inside a workspace. */
    TimePoint startBy{};
    /** From then on the request is not worth starting. */
    TimePoint refuseAfter{};
    /** The caller's deadline. */
    TimePoint deadline{};
    /** Expected work in tokens. */
    double cost = 1;
    std::uint64_t affinity = 0;
    std::uint64_t sequence = 0;
};

/**
 * The queue of one tier: start-time fair queueing between workspaces by weight and expected cost,
 * the earliest latest-start first inside a workspace.
 */
class FairQueue
{
public:
    /** @param fair false keeps one queue for all workspaces, ordered by latest start. */
    explicit FairQueue(bool fair);

    /** Adds a request; its attempt must not be queued yet. */
    void push(QueuedRequest item);

    /** @return true when the attempt is queued. */
    bool contains(const AttemptKey &key) const { return m_items.count(key) > 0; }

    /** Removes an attempt without charging its workspace. */
    std::optional<QueuedRequest> remove(const AttemptKey &key);

    /** Removes all attempts of @p request. */
    void removeRequest(const RequestId &request);

    /** @return the first request of the @p n th workspace in turn, or nullptr when there are fewer.
     */
    const QueuedRequest *head(std::size_t n = 0) const;

    /**
     * @return of the @p n th workspace in turn the first request that still meets its target, or
     *         its first one when none does; nullptr when there are fewer workspaces.
     */
    const QueuedRequest *timelyHead(std::size_t n, TimePoint now) const;

    /** Removes a request that is granted and charges its workspace. */
    QueuedRequest take(const AttemptKey &key);

    /** Charges @p difference more (or less) to @p workspace once the cost of its work is known. */
    void adjustCharge(const WorkspaceId &workspace, double weight, double difference);

    /** Removes the first requests of all workspaces that are not worth starting any more. */
    std::vector<QueuedRequest> takeExpired(TimePoint now);

    /** Removes the requests that @p node asked for. */
    void removeNode(const NodeId &node);

    /** Forgets idle workspaces that owe nothing. */
    void expireIdle();

    /** @return the expected work that goes before a new request of @p workspace. */
    double workAhead(const WorkspaceId &workspace, double weight, TimePoint startBy) const;

    /** @return the expected work of all queued requests. */
    double totalCost() const { return m_totalCost; }
    std::size_t size() const { return m_items.size(); }
    bool empty() const { return m_items.empty(); }

private:
    using ItemOrder = std::pair<TimePoint, std::uint64_t>;

    struct Flow
    {
        double weight = 1;
        /** Virtual time of its next request. */
        double startTag = 0;
        double cost = 0;
        std::uint64_t creationOrder = 0;
        std::set<std::pair<ItemOrder, const QueuedRequest *>> items;
    };

    using FlowOrder = std::pair<double, std::uint64_t>;

    const WorkspaceId &flowKeyOf(const WorkspaceId &workspace) const;
    void activate(Flow &flow);
    void deactivate(Flow &flow);
    QueuedRequest detach(Flow &flow, const AttemptKey &key);

    bool m_fair;
    WorkspaceId m_sharedFlowKey;
    std::unordered_map<AttemptKey, QueuedRequest, AttemptKeyHash> m_items;
    std::unordered_map<WorkspaceId, Flow> m_flows;
    std::set<std::pair<FlowOrder, Flow *>> m_activeFlows;
    double m_virtualTime = 0;
    double m_totalCost = 0;
    double m_activeWeight = 0;
    std::uint64_t m_nextSequence = 0;
    std::uint64_t m_nextFlow = 0;
};

} // namespace hawthornslip
