#pragma once

#include "core/interfaces/metrics.h"
#include "core/interfaces/upstream_client.h"
#include "servers/admission/admission_gateway.h"
#include "servers/claims/claim_gateway.h"
#include "servers/config/config_source.h"
#include "servers/request_path/retry_limiter.h"
#include "tests/support/manual_clock.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

/** Fakes at the interfaces of the request path. They run on the test's thread. */
namespace hawthornslip::test {

/** Runs the next scripted step at each wait; without steps the time passes. */
class FakeLink : public HttpClientConnection
{
public:
    explicit FakeLink(ManualClock &clock)
        : m_clock(clock)
    {}

    bool wait(Duration atMost) override
    {
        ++waits;
        if (!std::exchange(m_woken, false)) {
            if (steps.empty()) {
                m_clock.advance(std::max(atMost, Duration(1)));
            } else {
                const auto step = std::move(steps.front());
                steps.pop_front();
                step();
            }
        }
        return present;
    }
    void wake() override { m_woken = true; }

    std::deque<std::function<void()>> steps;
    bool present = true;
    int waits = 0;

private:
    ManualClock &m_clock;
    bool m_woken = false;
};

/** Grants at once, in the order of the upstreams, unless told to hold or refuse. */
class FakeAdmission : public AdmissionGateway
{
public:
    void request(AdmissionParams ask, Answer answer, Preempt preempt) override
    {
        asks.push_back(ask);
        answers.push_back(std::move(answer));
        preempts.push_back(std::move(preempt));
        if (!hold)
            grant(asks.size() - 1);
    }
    void cancel(const RequestId & /*request*/, std::uint32_t attempt) override
    {
        cancelled.push_back(attempt);
    }
    void progress(const AdmissionGrant & /*grant*/, std::uint32_t tokens,
                  Duration /*firstToken*/) override
    {
        reported.push_back(tokens);
    }
    void release(const AttemptReport &report) override { released.push_back(report); }

    /** Answers ask number @p n: the refusal if one is set, or the first upstream not excluded. */
    void grant(std::size_t n)
    {
        if (refusal) {
            answers[n](*refusal);
            return;
        }
        for (const auto &it : upstreams) {
            const auto &excluded = asks[n].excluded;
            if (std::find(excluded.begin(), excluded.end(), it) != excluded.end())
                continue;
            answers[n](AdmissionGrant{
                    GrantId("g" + std::to_string(n)), {asks[n].model, FailureDomain("a")}, it});
            return;
        }
        answers[n](RequestError{Reason::NoUpstream, Execution::NotRun, "none left"});
    }

    bool hold = false;
    std::optional<RequestError> refusal;
    std::vector<UpstreamId> upstreams;
    std::vector<AdmissionParams> asks;
    std::vector<Answer> answers;
    std::vector<Preempt> preempts;
    std::vector<std::uint32_t> cancelled;
    std::vector<std::uint32_t> reported;
    std::vector<AttemptReport> released;
};

/** Records calls; the test plays the upstream's part. */
class FakeUpstream : public UpstreamClient
{
public:
    /** A call as the upstream sees it. */
    struct Call : public UpstreamCall
    {
        UpstreamRequest request;
        std::shared_ptr<UpstreamHandler> handler;
        bool cancelled = false;
        int resumed = 0;

        void cancel() override { cancelled = true; }
        void resume() override { ++resumed; }

        std::string requestId() const { return *findHeader(request.headers, "x-request-id"); }

        /** Sends the headers of an answer with status @p status. */
        void headers(int status, const std::string &type, HttpHeaders more = {})
        {
            if (findHeader(more, "x-request-id") == nullptr)
                more.emplace_back("x-request-id", requestId());
            more.emplace_back("content-type", type);
            handler->onHeaders(status, more);
        }
        void streamHeaders() { headers(200, "text/event-stream"); }
        bool token(const std::string &text) { return token(text, requestId()); }
        bool token(const std::string &text, const std::string &id)
        {
            return handler->onData(R"(data: {"id":")" + id +
                                   R"(","choices":[{"index":0,"delta":{"content":")" + text +
                                   "\"},\"finish_reason\":null}]}\n\n");
        }
        void done(int tokens)
        {
            handler->onData(R"(data: {"id":")" + requestId() +
                            R"(","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],)" +
                            R"("usage":{"prompt_tokens":1,"completion_tokens":)" +
                            std::to_string(tokens) + "}}\n\ndata: [DONE]\n\n");
            end(UpstreamResult::Complete);
        }
        void end(UpstreamResult result) { handler->onEnd({result, 0, ""}); }
    };

    FakeUpstream() = default;
    // A call and its handler hold each other until the test is over.
    ~FakeUpstream() override
    {
        for (const auto &it : calls)
            it->handler.reset();
    }
    FakeUpstream(const FakeUpstream &) = delete;
    FakeUpstream &operator=(const FakeUpstream &) = delete;

    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        auto call = std::make_shared<Call>();
        call->request = std::move(request);
        call->handler = std::move(handler);
        calls.push_back(call);
        return call;
    }

    std::vector<std::shared_ptr<Call>> calls;
};

/** Grants every claim, unless an error is set. */
class FakeClaims : public ClaimGateway
{
public:
    void claim(ClaimParams ask, std::function<void(const ClaimAnswer &)> done) override
    {
        asks.push_back(ask);
        if (hold)
            held = std::move(done);
        else if (error)
            done(*error);
        else
            done(ClaimTicket{ask.workspace, ask.key, asks.size()});
    }
    void record(const ClaimTicket & /*ticket*/, Execution execution, int httpStatus) override
    {
        records.emplace_back(execution, httpStatus);
    }
    void lookUp(const WorkspaceId & /*workspace*/, const std::string &key,
                std::function<void(const OutcomeAnswer &)> done) override
    {
        lookedUp = key;
        done(outcome);
    }

    bool hold = false;
    std::function<void(const ClaimAnswer &)> held;
    std::optional<RequestError> error;
    OutcomeAnswer outcome = std::optional<Outcome>();
    std::string lookedUp;
    std::vector<ClaimParams> asks;
    std::vector<std::pair<Execution, int>> records;
};

/** A retry budget that the test sets. */
class FakeRetries : public RetryLimiter
{
public:
    bool take(const Profile & /*profile*/, TimePoint /*now*/) override { return budget-- > 0; }
    void succeeded(const Profile & /*profile*/, Duration /*firstToken*/, TimePoint /*now*/) override
    {
        ++successes;
    }
    std::optional<Duration> hedgeDelay(const Profile & /*profile*/) override { return delay; }

    int budget = 10;
    int successes = 0;
    std::optional<Duration> delay;
};

/** Sums counters by name and labels. Thread-safe. */
class FakeMetrics : public Metrics
{
public:
    void count(std::string_view name, const MetricLabels &labels, double amount) override
    {
        const std::lock_guard lock(m_mutex);
        std::string key(name);
        m_counts[key] += amount;
        for (const auto &[label, value] : labels)
            m_counts[key + '/' + std::string(label) + '=' + std::string(value)] += amount;
    }
    void gauge(std::string_view /*name*/, const MetricLabels & /*labels*/,
               double /*value*/) override
    {}
    void observe(std::string_view /*name*/, const MetricLabels & /*labels*/,
                 double /*value*/) override
    {}

    /** @return the sum of @p key: a name, or `name/label=value`. */
    double sum(const std::string &key) const
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_counts.find(key);
        return it == m_counts.end() ? 0 : it->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<std::string, double> m_counts;
};

/** A configuration that the test sets. */
class FixedConfig : public ConfigSource
{
public:
    std::shared_ptr<const SharedConfig> current() const override { return config; }

    std::shared_ptr<SharedConfig> config = std::make_shared<SharedConfig>();
};

} // namespace hawthornslip::test
