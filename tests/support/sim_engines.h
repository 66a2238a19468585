#pragma once

#include "core/interfaces/upstream_client.h"
#include "tests/support/sim_events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip::test {

/** What happens to the next calls of an engine; each entry serves one call. */
enum class CallFault {
    /** The connection is reset before the engine read the request. */
    ResetBeforeRun,
    /** The engine ran the request and the connection is reset before the answer. */
    ResetAfterRun,
    /** The connection is reset after the first token. */
    ResetMidStream,
    /** The engine refuses and says that it did not run the request. */
    Refuse,
    /** The answer carries the id of another request. */
    Crossed,
    /** The answer comes a second late. */
    Late
};

/** An order as an engine saw it. */
struct EngineOrder
{
    TimePoint at;
    std::uint64_t fencing = 0;
    std::string kind;
    std::string model;
    bool accepted = false;
};

/** One upstream in virtual time: runs requests and takes orders. */
struct SimEngine
{
    bool down = false;
    /** Does not fail, but takes this many times as long. */
    int slowness = 1;
    bool checksFencing = true;
    int tokens = 5;
    Duration firstToken = milliseconds(40);
    Duration perToken = milliseconds(10);
    std::deque<CallFault> faults;

    /** Request ids in the order in which they were run. */
    std::vector<std::string> runs;
    /** Tag of each run. */
    std::vector<std::string> tags;
    std::vector<TimePoint> arrivals;
    std::vector<EngineOrder> orders;
    std::uint64_t highestFencing = 0;
    int running = 0;
    int mostRunning = 0;
};

/** One call on its way; both sides hold it. */
struct SimCallState
{
    std::shared_ptr<UpstreamHandler> handler;
    std::function<void(std::function<void()>)> deliver;
    std::string requestId;
    std::string answerId;
    std::string body;
    /** The field `tag` of the body, which the answer repeats. */
    std::string tag;
    bool stream = false;
    bool counted = false;
    bool begun = false;
    bool ended = false;
    int sent = 0;
    int pieces = 0;
    std::function<void(int)> onPiece;
    std::function<void()> onEnd;
};

/** All upstreams of a run. */
class SimEngines
{
public:
    using Call = std::shared_ptr<SimCallState>;

    explicit SimEngines(SimEvents &events)
        : m_events(events)
    {}

    /** Called when an engine starts to run a request. */
    std::function<void(const std::string &url, const std::string &requestId,
                       const std::string &tag)>
            onRun;

    /** Called when an engine has decided on an order. */
    std::function<void(const std::string &url, const EngineOrder &order)> onOrder;

    /** @return the engine at the base address @p url. */
    SimEngine &at(const std::string &url) { return m_engines[url]; }

    std::map<std::string, SimEngine> &all() { return m_engines; }

    /** Breaks all calls in progress and refuses connections. */
    void crash(const std::string &url)
    {
        m_engines[url].down = true;
        for (const auto &it : std::exchange(m_active[url], {}))
            end(url, it, UpstreamResult::Broken, 0);
    }

    /** Resets all connections with a call in progress; the engines go on. */
    void breakCalls()
    {
        for (auto &[url, calls] : m_active) {
            for (const auto &it : std::exchange(calls, {}))
                end(url, it, UpstreamResult::Broken, 0);
        }
    }

    /** Mixes up the answers of all calls in progress. */
    void crossCalls()
    {
        for (auto &[url, calls] : m_active) {
            for (const auto &it : calls)
                it->answerId = std::string(32, 'e');
        }
    }

    void start(const std::string &url, const UpstreamRequest &request, const Call &call)
    {
        const Duration latency = std::chrono::microseconds(500);
        if (request.totalTimeout > Duration(0))
            m_events.after(request.totalTimeout,
                           [this, url, call] { end(url, call, UpstreamResult::TotalTimeout, 0); });
        m_events.after(latency, [this, url, call, path = request.url.substr(url.size())] {
            if (call->ended)
                return;
            auto &engine = m_engines[url];
            if (engine.down)
                end(url, call, UpstreamResult::ConnectFailed, 0);
            else if (path == "/orders")
                takeOrder(url, call);
            else
                run(url, call);
        });
    }

    /** Ends a call that the client gave up. */
    void cancel(const std::string &url, const Call &call)
    {
        end(url, call, UpstreamResult::Cancelled, 0);
    }

private:
    static std::optional<CallFault> takeFault(SimEngine &engine)
    {
        if (engine.faults.empty())
            return std::nullopt;
        const auto fault = engine.faults.front();
        engine.faults.pop_front();
        return fault;
    }

    void run(const std::string &url, const Call &call)
    {
        auto &engine = m_engines[url];
        const auto fault = takeFault(engine);
        if (fault == CallFault::ResetBeforeRun) {
            end(url, call, UpstreamResult::Broken, 0);
            return;
        }
        if (fault == CallFault::Refuse) {
            answer(call, 503, {{"x-request-id", call->requestId}, {"x-execution", "not_run"}}, "");
            end(url, call, UpstreamResult::Complete, 503);
            return;
        }
        engine.arrivals.push_back(m_events.now());
        engine.runs.push_back(call->requestId);
        if (onRun)
            onRun(url, call->requestId, call->tag);
        engine.tags.push_back(call->tag);
        call->counted = true;
        m_active[url].insert(call);
        engine.mostRunning = std::max(engine.mostRunning, ++engine.running);
        if (fault == CallFault::ResetAfterRun) {
            end(url, call, UpstreamResult::Broken, 0);
            return;
        }
        if (fault == CallFault::Crossed)
            call->answerId = std::string(32, 'f');
        auto delay = engine.firstToken * engine.slowness;
        if (fault == CallFault::Late)
            delay += seconds(1);
        const bool reset = fault == CallFault::ResetMidStream;
        m_events.after(delay, [this, url, call, reset] { produce(url, call, reset); });
    }

    void produce(const std::string &url, const Call &call, bool reset)
    {
        auto &engine = m_engines[url];
        if (call->ended)
            return;
        if (!call->stream) {
            const nlohmann::json json{{"id", call->answerId}, {"echo", call->tag}};
            answer(call, 200,
                   {{"x-request-id", call->answerId}, {"content-type", "application/json"}},
                   json.dump());
            end(url, call, UpstreamResult::Complete, 200);
            return;
        }
        if (!std::exchange(call->begun, true))
            call->deliver([call] {
                call->handler->onHeaders(200, {{"x-request-id", call->answerId},
                                               {"content-type", "text/event-stream"}});
            });
        sendToken(engine, call);
        if (reset) {
            end(url, call, UpstreamResult::Broken, 200);
            return;
        }
        if (call->sent == engine.tokens) {
            data(call, "data: [DONE]\n\n");
            end(url, call, UpstreamResult::Complete, 200);
            return;
        }
        m_events.after(engine.perToken * engine.slowness,
                       [this, url, call] { produce(url, call, false); });
    }

    static void sendToken(const SimEngine &engine, const Call &call)
    {
        ++call->sent;
        const bool last = call->sent == engine.tokens;
        nlohmann::json event{{"id", call->answerId}, {"object", "chat.completion.chunk"}};
        event["choices"] = nlohmann::json::array();
        event["choices"].push_back(
                {{"index", 0},
                 {"delta", {{"content", call->tag + "#" + std::to_string(call->sent)}}},
                 {"finish_reason", last ? nlohmann::json("stop") : nlohmann::json()}});
        if (last)
            event["usage"] = {{"prompt_tokens", 1}, {"completion_tokens", engine.tokens}};
        data(call, "data: " + event.dump() + "\n\n");
    }

    void takeOrder(const std::string &url, const Call &call)
    {
        auto &engine = m_engines[url];
        const auto json = nlohmann::json::parse(call->body);
        EngineOrder order{m_events.now(), json.at("fencing").get<std::uint64_t>(),
                          json.at("kind").get<std::string>(), json.at("model").get<std::string>(),
                          true};
        if (engine.checksFencing && order.fencing < engine.highestFencing)
            order.accepted = false;
        engine.highestFencing = std::max(engine.highestFencing, order.fencing);
        engine.orders.push_back(order);
        if (onOrder)
            onOrder(url, order);
        const int status = order.accepted ? 200 : 409;
        answer(call, status, {}, order.accepted ? "{}" : R"({"error":"stale_fencing"})");
        end(url, call, UpstreamResult::Complete, status);
    }

    static void answer(const Call &call, int status,
                       std::vector<std::pair<std::string, std::string>> headers,
                       const std::string &body)
    {
        call->deliver([call, status, headers = std::move(headers)] {
            call->handler->onHeaders(status, headers);
        });
        if (!body.empty())
            data(call, body);
    }

    static void data(const Call &call, const std::string &bytes)
    {
        call->deliver([call, bytes] {
            call->handler->onData(bytes);
            if (call->onPiece)
                call->onPiece(++call->pieces);
        });
    }

    void end(const std::string &url, const Call &call, UpstreamResult result, int status)
    {
        if (call->ended)
            return;
        call->ended = true;
        if (call->counted)
            --m_engines[url].running;
        m_active[url].erase(call);
        call->deliver([call, result, status] {
            call->handler->onEnd({result, status, ""});
            if (call->onEnd)
                call->onEnd();
        });
    }

    SimEvents &m_events;
    std::map<std::string, SimEngine> m_engines;
    std::map<std::string, std::set<Call>> m_active;
};

/** One node's client. What arrives while the node is paused is delivered when it goes on. */
class SimUpstreamClient : public UpstreamClient
{
public:
    SimUpstreamClient(SimEvents &events, SimEngines &engines, std::shared_ptr<const bool> alive)
        : m_events(events)
        , m_engines(engines)
        , m_state(std::make_shared<State>())
    {
        m_state->alive = std::move(alive);
    }

    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        auto call = std::make_shared<SimCallState>();
        call->handler = std::move(handler);
        for (const auto &[name, value] : request.headers) {
            if (name == "x-request-id")
                call->requestId = value;
        }
        call->answerId = call->requestId;
        call->body = request.body;
        const auto json = nlohmann::json::parse(request.body, nullptr, false);
        if (json.is_object()) {
            call->tag = json.value("tag", "");
            call->stream = json.value("stream", false);
            call->sent = json.value("resume_after_tokens", 0);
        }
        call->deliver = [state = m_state, &events = m_events](std::function<void()> event) {
            events.after(Duration(0), [state, event = std::move(event)]() mutable {
                if (*state->alive && state->paused)
                    state->waiting.push_back(std::move(event));
                else if (*state->alive)
                    event();
            });
        };
        if (onSend)
            onSend(call->requestId);
        call->onPiece = [this, id = call->requestId](int pieces) {
            if (onPiece)
                onPiece(id, pieces);
        };
        call->onEnd = [this, id = call->requestId] {
            if (onEnd)
                onEnd(id);
        };
        const auto slash = request.url.find('/', request.url.find("//") + 2);
        const auto url = request.url.substr(0, slash);
        if (refuseConnections)
            call->deliver([call] {
                call->ended = true;
                call->handler->onEnd({UpstreamResult::ConnectFailed, 0, ""});
            });
        else
            m_engines.start(url, request, call);
        m_calls.emplace_back(url, call);
        return std::make_shared<SimUpstreamCall>(m_engines, url, call);
    }

    /** The node cannot reach any upstream. */
    bool refuseConnections = false;

    /** Holds back or delivers what arrives. */
    void setPaused(bool paused)
    {
        m_state->paused = paused;
        if (paused)
            return;
        for (auto &it : std::exchange(m_state->waiting, {}))
            m_events.after(Duration(0), std::move(it));
    }

    /** Breaks the calls in progress, as the end of the process or its network does. */
    void breakAll()
    {
        m_state->waiting.clear();
        for (const auto &[url, call] : std::exchange(m_calls, {})) {
            if (call->ended)
                continue;
            m_engines.cancel(url, call);
            call->handler->onEnd({UpstreamResult::Broken, 0, ""});
        }
    }

    /** Called when a call starts, for harnesses that inject faults at this point. */
    std::function<void(const std::string &requestId)> onSend;
    /** Called after each piece of an answer was delivered, with the number of tokens so far. */
    std::function<void(const std::string &requestId, int pieces)> onPiece;
    /** Called when an answer has ended. */
    std::function<void(const std::string &requestId)> onEnd;

private:
    struct State
    {
        std::shared_ptr<const bool> alive;
        bool paused = false;
        std::vector<std::function<void()>> waiting;
    };

    class SimUpstreamCall : public UpstreamCall
    {
    public:
        SimUpstreamCall(SimEngines &engines, std::string url, SimEngines::Call call)
            : m_engines(engines)
            , m_url(std::move(url))
            , m_call(std::move(call))
        {}
        void cancel() override { m_engines.cancel(m_url, m_call); }
        void resume() override {}

    private:
        SimEngines &m_engines;
        std::string m_url;
        SimEngines::Call m_call;
    };

    SimEvents &m_events;
    SimEngines &m_engines;
    std::shared_ptr<State> m_state;
    std::vector<std::pair<std::string, SimEngines::Call>> m_calls;
};

} // namespace hawthornslip::test
