#pragma once

#include "core/interfaces/metrics.h"
#include "servers/admission/admission_gateway.h"
#include "servers/claims/claim_gateway.h"
#include "servers/config/config_source.h"

#include <algorithm>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

/** Gateways for tests and measurements with the real drivers. They may be called from any thread.
 */
namespace hawthornslip::test {

/** Grants at once the first upstream of the model that is not excluded. */
class DirectAdmission : public AdmissionGateway
{
public:
    explicit DirectAdmission(const ConfigSource &config)
        : m_config(config)
    {}

    void request(AdmissionParams ask, Answer answer, Preempt preempt) override
    {
        {
            const std::lock_guard lock(m_mutex);
            m_preempts.push_back(std::move(preempt));
            m_changed.notify_all();
            if (m_holding)
                return;
        }
        answer(pick(ask));
    }
    void cancel(const RequestId & /*request*/, std::uint32_t /*attempt*/) override
    {
        const std::lock_guard lock(m_mutex);
        ++m_cancelled;
        m_changed.notify_all();
    }
    void progress(const AdmissionGrant &, std::uint32_t, Duration) override {}
    void release(const AttemptReport &report) override
    {
        const std::lock_guard lock(m_mutex);
        m_released.push_back(report);
        m_changed.notify_all();
    }

    /** Leaves the asks that follow without an answer. */
    void hold()
    {
        const std::lock_guard lock(m_mutex);
        m_holding = true;
    }
    /** Calls the preempt function of ask number @p n. */
    void preempt(std::size_t n)
    {
        Preempt function;
        {
            const std::lock_guard lock(m_mutex);
            function = m_preempts.at(n);
        }
        function();
    }
    bool waitForAsks(std::size_t n, std::chrono::milliseconds atMost = std::chrono::seconds(10))
    {
        return waitFor([&] { return m_preempts.size() >= n; }, atMost);
    }
    bool waitForCancels(int n)
    {
        return waitFor([&] { return m_cancelled >= n; });
    }
    bool waitForReleases(std::size_t n)
    {
        return waitFor([&] { return m_released.size() >= n; });
    }
    std::vector<AttemptReport> released() const
    {
        const std::lock_guard lock(m_mutex);
        return m_released;
    }

private:
    AdmissionAnswer pick(const AdmissionParams &ask) const
    {
        const auto config = m_config.current();
        for (const auto &it : config->upstreams) {
            const bool serves =
                    std::find(it.models.begin(), it.models.end(), ask.model) != it.models.end();
            if (serves &&
                std::find(ask.excluded.begin(), ask.excluded.end(), it.id) == ask.excluded.end())
                return AdmissionGrant{GrantId(ask.request.value), {ask.model, it.domain}, it.id};
        }
        return RequestError{Reason::NoUpstream, Execution::NotRun, "no upstream is left"};
    }

    template <typename Condition>
    bool waitFor(Condition condition, std::chrono::milliseconds atMost = std::chrono::seconds(10))
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, atMost, condition);
    }

    const ConfigSource &m_config;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_holding = false;
    int m_cancelled = 0;
    std::vector<Preempt> m_preempts;
    std::vector<AttemptReport> m_released;
};

/** Keeps claims in memory. */
class MemoryClaims : public ClaimGateway
{
public:
    void claim(ClaimParams ask, std::function<void(const ClaimAnswer &)> done) override
    {
        done(tryClaim(ask));
    }
    void record(const ClaimTicket &ticket, Execution execution, int httpStatus) override
    {
        const std::lock_guard lock(m_mutex);
        m_outcomes[{ticket.workspace, ticket.key}] = {execution, false, httpStatus, NodeId("n")};
    }
    void lookUp(const WorkspaceId &workspace, const std::string &key,
                std::function<void(const OutcomeAnswer &)> done) override
    {
        std::optional<Outcome> outcome;
        {
            const std::lock_guard lock(m_mutex);
            const auto it = m_outcomes.find({workspace, key});
            if (it != m_outcomes.end())
                outcome = it->second;
        }
        done(outcome);
    }

private:
    ClaimAnswer tryClaim(const ClaimParams &ask)
    {
        const std::lock_guard lock(m_mutex);
        auto &outcome = m_outcomes[{ask.workspace, ask.key}];
        if (outcome.inProgress)
            return RequestError{Reason::InProgress, Execution::MayHaveRun, "in progress"};
        if (!outcome.holder.empty() && outcome.execution != Execution::NotRun)
            return RequestError{Reason::AlreadyRan, Execution::Ran, "already ran"};
        outcome.inProgress = true;
        return ClaimTicket{ask.workspace, ask.key, 1};
    }

    std::mutex m_mutex;
    std::map<std::pair<WorkspaceId, std::string>, Outcome> m_outcomes;
};

} // namespace hawthornslip::test
