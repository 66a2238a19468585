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
    /** Latest start that still meets the target; requests of a workspace are ordered by it. */
    TimePoint startBy{};
    /** Time from which the request is too late to be worth starting. */
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
 * and earliest startBy first within a workspace.
 */
class FairQueue
{
public:
    /** @param fair if false, all workspaces share one queue ordered by startBy. */
    explicit FairQueue(bool fair);

    /** Adds a request; its attempt must not be queued yet. */
    void push(QueuedRequest item);

    /** @return true when the attempt is queued. */
    bool contains(const AttemptKey &key) const { return m_items.count(key) > 0; }

    /** Removes an attempt without charging its workspace. */
    std::optional<QueuedRequest> remove(const AttemptKey &key);

    /** Removes all attempts of @p request. */
    void removeRequest(const RequestId &request);

    /** @return the first request of the @p n th workspace in service order, or nullptr. */
    const QueuedRequest *head(std::size_t n = 0) const;

    /**
     * @return the first request of the @p n th workspace in service order that can still meet its
     *         target, or its first request when none can; nullptr when there are fewer workspaces.
     */
    const QueuedRequest *timelyHead(std::size_t n, TimePoint now) const;

    /** Removes a granted request and charges its expected cost to its workspace. */
    QueuedRequest take(const AttemptKey &key);

    /**
     * Adds @p difference, the actual minus the expected cost in tokens, to the charge of
     * @p workspace.
     */
    void adjustCharge(const WorkspaceId &workspace, double weight, double difference);

    /** Removes the requests past refuseAfter from the front of each workspace's queue. */
    std::vector<QueuedRequest> takeExpired(TimePoint now);

    /** Removes the requests of @p node. */
    void removeNode(const NodeId &node);

    /** Removes the state of idle workspaces whose start tag is not ahead of the virtual time. */
    void expireIdle();

    /** @return the expected work in tokens that is served before a new request of @p workspace. */
    double workAhead(const WorkspaceId &workspace, double weight, TimePoint startBy) const;

    /** @return the expected work of all queued requests in tokens. */
    double totalCost() const { return m_totalCost; }
    std::size_t size() const { return m_items.size(); }
    bool empty() const { return m_items.empty(); }

private:
    using ItemOrder = std::pair<TimePoint, std::uint64_t>;

    /** The queue of one workspace, or of all workspaces when the queue is not fair. */
    struct Flow
    {
        double weight = 1;
        /** Virtual time at which its next request starts. */
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
