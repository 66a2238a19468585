#include "drivers/asio/asio_http_server.h"
#include "drivers/asio/asio_upstream_client.h"
#include "servers/gateway/gateway.h"
#include "tests/support/caller_front.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/plain_dialect.h"
#include "tests/support/silent_probe.h"

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <thread>

namespace hawthornslip::test {

namespace {

RoutingConfig makeConfig()
{
    Route route;
    route.name = "read";
    route.host = "h";
    route.pathPrefix = "/v1/";
    route.kind = RouteKind::Idempotent;
    route.targets = {{"models", 1}};
    route.maxAttempts = 2;
    RoutingConfig config;
    config.version = 1;
    config.routes = {route};
    config.limits.maxBodyBytes = kUploadBytes;
    Service service;
    service.name = "models";
    config.services = {service};
    return config;
}

class GatewayFront : public CallerFront
{
public:
    explicit GatewayFront(const std::vector<std::string> &urls)
    {
        m_gateway.state().configSink().onList({{"main", false, makeConfig(), ""}});
        m_gateway.state().configSink().onConfirmed(m_loop.now(), {0, 1});
        std::vector<FeedItem<UpstreamEntry>> items;
        for (const auto &it : urls) {
            UpstreamEntry entry;
            entry.id = UpstreamId(it);
            entry.service = "models";
            entry.address = it.substr(it.rfind('/') + 1);
            items.push_back({it, false, entry, ""});
        }
        m_gateway.state().upstreamSink().onList(items);
        CPPUNIT_ASSERT(m_server.start({"127.0.0.1", 0}));
        m_thread = std::thread([this] { m_loop.run(); });
    }
    ~GatewayFront() override
    {
        boost::asio::post(m_loop.context(), [this] { m_loop.stop(); });
        m_thread.join();
    }
    std::uint16_t port() const override { return m_server.port(); }
    void holdUp(const std::shared_future<void> &until) override
    {
        std::promise<void> held;
        boost::asio::post(m_loop.context(), [until, &held] {
            held.set_value();
            until.wait_for(kPatience);
        });
        held.get_future().wait();
    }

private:
    static GatewaySettings settings()
    {
        GatewaySettings settings;
        // One retry for one request.
        settings.retryRatio = 1;
        return settings;
    }

    AsioEventLoop m_loop;
    PlainDialect m_dialect;
    CountingMetrics m_metrics;
    SilentProbe m_probe;
    AsioUpstreamClient m_client{m_loop, seconds(3)};
    Gateway m_gateway{{m_loop, m_dialect, m_client, m_probe, m_metrics}, settings(), 1};
    AsioHttpServer m_server{m_loop, m_gateway, 10};
    std::thread m_thread;
};

} // namespace

/** Answers of workers that are none, as callers of a gateway see them. */
class GatewayBrokenAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayBrokenAnswerTest);
    CPPUNIT_TEST(brokenStatusDoesNotReachTheCaller);
    CPPUNIT_TEST(brokenHeadDoesNotReachTheCaller);
    CPPUNIT_TEST(unclearEndDoesNotReachTheCaller);
    CPPUNIT_TEST(brokenTrailerDoesNotReachTheCaller);
    CPPUNIT_TEST(answerCutByAResetDoesNotReachTheCaller);
    CPPUNIT_TEST(unusualAnswerReachesTheCaller);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenStatusDoesNotReachTheCaller() { expectNone<GatewayFront>(brokenStatusLines); }
    void brokenHeadDoesNotReachTheCaller() { expectNone<GatewayFront>(brokenHeads); }
    void unclearEndDoesNotReachTheCaller() { expectNone<GatewayFront>(unclearEnds); }
    void brokenTrailerDoesNotReachTheCaller() { expectNone<GatewayFront>(brokenTrailers); }
    void answerCutByAResetDoesNotReachTheCaller() { expectNoPart<GatewayFront>(); }
    void unusualAnswerReachesTheCaller() { expectSound<GatewayFront>(); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayBrokenAnswerTest);

} // namespace hawthornslip::test
