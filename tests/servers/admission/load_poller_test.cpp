#include "servers/admission/load_poller.h"
#include "tests/support/manual_clock.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace hawthornslip {

namespace {

class NullCall : public UpstreamCall
{
public:
    void cancel() override {}
    void resume() override {}
};

/** Keeps the calls until the test answers them. */
class HeldCalls : public UpstreamClient
{
public:
    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        urls.push_back(request.url);
        handlers.push_back(std::move(handler));
        return std::make_shared<NullCall>();
    }

    void answer(std::size_t n, const std::string &body) const
    {
        handlers[n]->onHeaders(200, {});
        handlers[n]->onData(body);
        handlers[n]->onEnd({UpstreamResult::Complete, 200, ""});
    }

    std::vector<std::string> urls;
    std::vector<std::shared_ptr<UpstreamHandler>> handlers;
};

class FixedSource : public ConfigSource
{
public:
    std::shared_ptr<const SharedConfig> current() const override { return config; }

    std::shared_ptr<SharedConfig> config = std::make_shared<SharedConfig>();
};

} // namespace

class LoadPollerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LoadPollerTest);
    CPPUNIT_TEST(asksEnginesOnceAtATime);
    CPPUNIT_TEST(malformedAnswersAreDropped);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_config.config->upstreams = {upstream("engine", UpstreamKind::Language),
                                      upstream("app", UpstreamKind::Application)};
        m_targets = {UpstreamId("engine"), UpstreamId("app"), UpstreamId("removed")};
    }

    // Guards against questions that pile up at an engine that does not answer, and against
    // questions to services that have no such path.
    void asksEnginesOnceAtATime()
    {
        m_poller.poll();
        m_poller.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_client.urls.size());
        CPPUNIT_ASSERT_EQUAL(std::string("http://engine/load"), m_client.urls.front());
        m_client.answer(0, R"({"running":3,"queued":2})");
        m_loop.runDue();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_reports.size());
        CPPUNIT_ASSERT_EQUAL(2U, m_reports.front().queued);
        m_poller.poll();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_client.urls.size());
    }

    // Guards against hostile or broken answers that reach the schedulers.
    void malformedAnswersAreDropped()
    {
        const auto bodies = {"",
                             "[]",
                             "{",
                             R"({"running":1})",
                             R"({"running":-1,"queued":0})",
                             R"({"running":1,"queued":99999999999})"};
        std::size_t n = 0;
        for (const auto *it : bodies) {
            m_poller.poll();
            m_client.answer(n++, it);
            m_loop.runDue();
        }
        CPPUNIT_ASSERT_EQUAL(bodies.size(), m_client.urls.size());
        CPPUNIT_ASSERT(m_reports.empty());
    }

private:
    static Upstream upstream(const std::string &name, UpstreamKind kind)
    {
        Upstream result;
        result.id = UpstreamId(name);
        result.kind = kind;
        result.url = "http://" + name;
        return result;
    }

    test::ManualClock m_clock;
    ControlLoop m_loop{m_clock};
    HeldCalls m_client;
    FixedSource m_config;
    std::vector<UpstreamId> m_targets;
    std::vector<EngineLoad> m_reports;
    LoadPoller m_poller{m_loop, m_client, m_config, [this] { return m_targets; },
                        [this](const auto &, const auto &load) { m_reports.push_back(load); }};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadPollerTest);

} // namespace hawthornslip
