#pragma once

#include "drivers/http/curl_upstream_client.h"
#include "drivers/http/ulfius_http_server.h"
#include "drivers/system/system_clock.h"
#include "servers/caller/caller_service.h"
#include "servers/caller/connection_ends.h"
#include "tests/servers/request_path/path_fixture.h"
#include "tests/support/direct_gateways.h"
#include "tests/support/raw_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace hawthornslip::test {

/** The caller service with the real HTTP drivers, in front of upstreams scripted by a test. */
struct CallerNode
{
    SystemClock clock;
    FakeMetrics metrics;
    FixedConfig config;
    DirectAdmission admission{config};
    MemoryClaims claims;
    FakeRetries retries;
    UnlimitedRateLimiter rates;
    AnswerStore answers{1 << 20, seconds(60)};
    CurlUpstreamClient upstreams;
    std::unique_ptr<RequestPath> path;
    std::unique_ptr<CallerService> service;
    std::unique_ptr<UlfiusHttpServer> server;
    PathSettings settings;

    explicit CallerNode(const std::vector<std::string> &urls, const PathSettings &pathSettings = {})
        : settings(pathSettings)
    {
        config.config = exampleConfig();
        config.config->upstreams.resize(urls.size());
        for (std::size_t i = 0; i < urls.size(); ++i)
            config.config->upstreams[i].url = urls[i];
        path = std::make_unique<RequestPath>(PathServices{clock, metrics, config, admission, claims,
                                                          upstreams, retries, rates, answers,
                                                          settings});
        service = std::make_unique<CallerService>(*path, CallerService::Hooks{});
        HttpServerSettings listener;
        listener.maxBodyBytes = settings.maxBodyBytes;
        server = std::make_unique<UlfiusHttpServer>(listener);
        service->registerRoutes(*server);
        recordConnectionEnds(*server, metrics, clock, "callers");
        CPPUNIT_ASSERT(server->start());
    }
    ~CallerNode() { server->stop(seconds(10)); }

    RawConnection chat(const std::string &profile = "chat") const
    {
        return post("/v1/chat/completions", profile,
                    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"x"}]})");
    }
    RawConnection post(const std::string &target, const std::string &profile,
                       const std::string &body, const std::string &headers = "") const
    {
        auto client = RawConnection::connectTo(server->port());
        client.send("POST " + target + " HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer secret\r\n" +
                    "X-Hawthornslip-Profile: " + profile + "\r\n" + headers +
                    "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        return client;
    }
};

} // namespace hawthornslip::test
