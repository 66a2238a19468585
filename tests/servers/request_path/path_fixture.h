#pragma once

#include "servers/request_path/request_path.h"
#include "servers/security/key_hasher.h"
#include "tests/support/path_fakes.h"

#include <memory>
#include <string>

namespace hawthornslip::test {

inline std::shared_ptr<SharedConfig> exampleConfig()
{
    auto config = std::make_shared<SharedConfig>();
    Workspace workspace;
    workspace.id = WorkspaceId("hut");
    workspace.keyHashes = {KeyHasher::hash("secret")};
    Workspace narrow = workspace;
    narrow.id = WorkspaceId("narrow");
    narrow.keyHashes = {KeyHasher::hash("narrow")};
    narrow.profiles = {ProfileName("order")};
    config->workspaces = {workspace, narrow};
    Profile chat;
    chat.name = ProfileName("chat");
    Profile order;
    order.name = ProfileName("order");
    order.tier = kOrderTier;
    order.idempotent = false;
    order.resumable = false;
    Profile plain = chat;
    plain.name = ProfileName("plain");
    plain.resumable = false;
    config->profiles = {chat, order, plain};
    for (const auto *name : {"e1", "e2", "e3"}) {
        Upstream upstream;
        upstream.id = UpstreamId(name);
        upstream.url = std::string("http://") + name;
        upstream.models = {ModelName("m"), ModelName("app:shop")};
        config->upstreams.push_back(upstream);
    }
    return config;
}

/** A request path whose dependencies are fakes. */
struct PathFixture
{
    ManualClock clock;
    FakeMetrics metrics;
    FixedConfig config;
    FakeAdmission admission;
    FakeClaims claims;
    FakeUpstream upstream;
    FakeRetries retries;
    UnlimitedRateLimiter rates;
    AnswerStore answers{1 << 20, seconds(60)};
    std::shared_ptr<FakeLink> link = std::make_shared<FakeLink>(clock);
    std::unique_ptr<RequestPath> path;
    PathSettings settings;
    std::string key = "secret";

    PathFixture()
    {
        config.config = exampleConfig();
        for (const auto &it : config.config->upstreams)
            admission.upstreams.push_back(it.id);
    }

    HttpResponse run(std::unique_ptr<RequestContext> context)
    {
        if (!path)
            path = std::make_unique<RequestPath>(PathServices{clock, metrics, config, admission,
                                                              claims, upstream, retries, rates,
                                                              answers, settings});
        context->client = link;
        context->id = RequestId(KeyHasher::newRequestId());
        context->acceptedAt = clock.now();
        if (!key.empty())
            context->http.headers.emplace_back("authorization", "Bearer " + key);
        return path->handle(std::move(context));
    }

    HttpResponse language(const std::string &profile, bool stream, HttpHeaders headers = {},
                          const std::string &extra = "")
    {
        auto context = std::make_unique<RequestContext>();
        context->http.method = "POST";
        context->http.path = "/v1/chat/completions";
        context->http.headers = std::move(headers);
        context->http.headers.emplace_back("x-hawthornslip-profile", profile);
        context->http.body = std::string(R"({"model":"m","stream":)") +
                             (stream ? "true" : "false") + extra +
                             R"(,"messages":[{"role":"user","content":"hello"}]})";
        return run(std::move(context));
    }

    HttpResponse application(const std::string &profile, const std::string &method = "POST",
                             HttpHeaders headers = {})
    {
        auto context = std::make_unique<RequestContext>();
        context->route = RouteKind::Application;
        context->http.method = method;
        context->http.path = "/v1/apps/shop/orders/7";
        context->http.query = "q=1";
        context->http.headers = std::move(headers);
        context->http.headers.emplace_back("x-hawthornslip-profile", profile);
        context->http.body = "item=5";
        return run(std::move(context));
    }

    /** Adds a step that runs at the next wait of the request. */
    void then(std::function<void()> step) { link->steps.push_back(std::move(step)); }

    FakeUpstream::Call &call(std::size_t n) { return *upstream.calls.at(n); }

    /** @return the streamed body; @p broken is set to whether the body was cut off. */
    static std::string readAll(HttpResponse &answer, bool *broken = nullptr)
    {
        std::string text;
        std::string buffer(256, '\0');
        while (true) {
            const auto part = answer.stream->read(buffer.data(), buffer.size());
            text.append(buffer, 0, part.bytes);
            if (part.state == HttpBodyRead::State::More)
                continue;
            if (broken != nullptr)
                *broken = part.state == HttpBodyRead::State::Broken;
            return text;
        }
    }

    /** @return the contents of all token events in @p text, joined. */
    static std::string tokensOf(const std::string &text)
    {
        std::string tokens;
        const std::string prefix = R"("content":")";
        for (auto at = text.find(prefix); at != std::string::npos; at = text.find(prefix, at + 1)) {
            const auto start = at + prefix.size();
            tokens += text.substr(start, text.find('"', start) - start);
        }
        return tokens;
    }
};

} // namespace hawthornslip::test
