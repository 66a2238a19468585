#include "drivers/http/curl_upstream_client.h"
#include "drivers/http/ulfius_http_server.h"
#include "servers/http/blocking_call.h"
#include "tests/main/binary_runner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

namespace hawthornslip::test {

namespace {

const std::string kFolder = HAWTHORNSLIP_SOURCE_DIR "/tests/drivers/http/certificates/";
const std::string kCertificate = kFolder + "test_certificate.pem";

} // namespace

/** Tests TLS of the listener and the client. The certificate and its key are for tests only. */
class TlsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TlsTest);
    CPPUNIT_TEST(trustedCertificateIsAccepted);
    CPPUNIT_TEST(untrustedCertificateIsRefused);
    CPPUNIT_TEST(commandTakesCaFile);
    CPPUNIT_TEST(unreadableFilesPreventStart);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        HttpServerSettings settings;
        settings.tls = {kCertificate, kFolder + "test_key.pem"};
        m_server = std::make_unique<UlfiusHttpServer>(settings);
        m_server->route("GET", "/admin/config", [](const auto &, const auto &) {
            HttpResponse answer;
            answer.body = R"({"generation":3})";
            return answer;
        });
        CPPUNIT_ASSERT(m_server->start());
    }

    void tearDown() override { m_server->stop(Duration{0}); }

    // Guards against a listener that serves plain HTTP although TLS files are set.
    void trustedCertificateIsAccepted()
    {
        CurlUpstreamClient client(kCertificate);
        CPPUNIT_ASSERT(callAndWait(client, request("https")).ok());
        CPPUNIT_ASSERT(!callAndWait(client, request("http")).ok());
    }

    // Guards against a client that accepts an untrusted certificate.
    void untrustedCertificateIsRefused()
    {
        CurlUpstreamClient client;
        const auto reply = callAndWait(client, request("https"));
        CPPUNIT_ASSERT(reply.result == UpstreamResult::ConnectFailed);
    }

    // Guards against commands that cannot connect to an operator listener with TLS.
    void commandTakesCaFile()
    {
        const auto node = fmt::format("config show --node https://127.0.0.1:{}", m_server->port());
        CPPUNIT_ASSERT_EQUAL(3, runBinary(node).exitCode);
        CPPUNIT_ASSERT_EQUAL(0, runBinary(node + " --ca-file " + kCertificate).exitCode);
    }

    // Guards against a listener that falls back to plain HTTP when TLS files cannot be read.
    void unreadableFilesPreventStart()
    {
        HttpServerSettings settings;
        settings.tls = {"/nonexistent.pem", "/nonexistent.key"};
        UlfiusHttpServer server(settings);
        CPPUNIT_ASSERT(!server.start());
    }

private:
    UpstreamRequest request(const std::string &scheme) const
    {
        UpstreamRequest request;
        request.method = "GET";
        request.url = fmt::format("{}://127.0.0.1:{}/admin/config", scheme, m_server->port());
        request.totalTimeout = seconds(10);
        return request;
    }

    std::unique_ptr<UlfiusHttpServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TlsTest);

} // namespace hawthornslip::test
