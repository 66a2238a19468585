#include "main/node.h"
#include "servers/http/blocking_call.h"
#include "servers/security/key_hasher.h"
#include "tests/main/binary_runner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <zmq.h>

#include <cstdio>
#include <memory>
#include <thread>

namespace hawthornslip::test {

namespace {

using Json = nlohmann::json;

constexpr const char *kOperatorKey = "operator-test-key";
constexpr const char *kWorkspaceKey = "workspace-test-key";

std::string documentText(int generation)
{
    return Json{
            {"schema_version", 1},
            {"generation", generation},
            {"author", "test"},
            {"profiles", {{{"name", "booking"}, {"tier", 0}, {"idempotent", false}}}},
            {"workspaces", {{{"id", "salon"}, {"key_hashes", {KeyHasher::hash(kWorkspaceKey)}}}}},
            {"upstreams",
             {{{"id", "engine-1"},
               {"kind", "language"},
               {"url", "http://127.0.0.1:1"},
               {"domain", "riga-1"},
               {"models", {"m"}}}}}}
            .dump();
}

Settings testSettings(const std::string &configFile)
{
    std::array<char, 41> publicKey{};
    std::array<char, 41> secretKey{};
    zmq_curve_keypair(publicKey.data(), secretKey.data());
    Settings settings;
    settings.domain = FailureDomain("riga-1");
    settings.operators.keyHashes = {KeyHasher::hash(kOperatorKey)};
    settings.peer.curvePublicKey = publicKey.data();
    settings.peer.curveSecretKey = secretKey.data();
    settings.stop.balancerNotice = Duration{0};
    settings.initialConfigFile = configFile;
    return settings;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

/** Runs the commands of the built binary against a node in this process with an in-memory store. */
class OnlineCommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OnlineCommandsTest);
    CPPUNIT_TEST(applyPutsDocumentInForce);
    CPPUNIT_TEST(applyNamesConflictingChange);
    CPPUNIT_TEST(applyReportsAllFaults);
    CPPUNIT_TEST(diffShowsWhatWouldChange);
    CPPUNIT_TEST(profileSetRefusesUnknownField);
    CPPUNIT_TEST(upstreamDrainsAndUndrains);
    CPPUNIT_TEST(statusAndHistoryAnswer);
    CPPUNIT_TEST(outcomeOfUnknownKeyIsRefused);
    CPPUNIT_TEST(wrongKeyIsRefused);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_file = writeFile(".json", documentText(1));
        m_node = std::make_unique<Node>(testSettings(m_file));
        CPPUNIT_ASSERT(m_node->start());
        m_options = fmt::format(" --node http://127.0.0.1:{} --key {}", m_node->operatorPort(),
                                kOperatorKey);
        waitUntilReady();
    }

    void tearDown() override
    {
        m_node->stop();
        m_node.reset();
        std::remove(m_file.c_str());
    }

    // Guards against a change that is reported as accepted and is not in force.
    void applyPutsDocumentInForce()
    {
        const auto path = writeFile(".json", documentText(2));
        const auto result = runBinary("config apply " + path + " --wait --json" + m_options);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.errors, 0, result.exitCode);
        const auto body = Json::parse(result.output);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, body.at("in_force").size());
        CPPUNIT_ASSERT(body.at("not_in_force").empty());
        CPPUNIT_ASSERT_EQUAL(2, generationInForce());
        std::remove(path.c_str());
    }

    // Guards against a conflict error that does not name the change that was accepted.
    void applyNamesConflictingChange()
    {
        auto document = Json::parse(documentText(1));
        document["author"] = "late";
        const auto path = writeFile(".json", document.dump());
        const auto result = runBinary("config apply " + path + m_options);
        std::remove(path.c_str());
        CPPUNIT_ASSERT_EQUAL(4, result.exitCode);
        CPPUNIT_ASSERT_MESSAGE(result.errors, contains(result.errors, "generation 1 by test"));
    }

    // Guards against a report that stops at the first fault.
    void applyReportsAllFaults()
    {
        auto document = Json::parse(documentText(2));
        document["profiles"][0]["tier"] = 7;
        document["upstreams"][0]["kind"] = "oracle";
        const auto path = writeFile(".json", document.dump());
        const auto result = runBinary("config apply " + path + m_options);
        std::remove(path.c_str());
        CPPUNIT_ASSERT_EQUAL(2, result.exitCode);
        CPPUNIT_ASSERT(contains(result.errors, "tier") && contains(result.errors, "kind"));
        CPPUNIT_ASSERT_EQUAL(1, generationInForce());
    }

    // Guards against a comparison that omits a changed field.
    void diffShowsWhatWouldChange()
    {
        auto document = Json::parse(documentText(2));
        document["author"] = "somebody";
        const auto path = writeFile(".json", document.dump());
        const auto result = runBinary("config diff " + path + m_options);
        std::remove(path.c_str());
        CPPUNIT_ASSERT_EQUAL(0, result.exitCode);
        CPPUNIT_ASSERT_MESSAGE(result.output, contains(result.output, "/author"));
    }

    // Guards against a misspelled field that is stored and ignored.
    void profileSetRefusesUnknownField()
    {
        CPPUNIT_ASSERT_EQUAL(
                0, runBinary("profile set booking first_token_target_ms=700" + m_options).exitCode);
        const auto profiles = Json::parse(runBinary("profile list --json" + m_options).output);
        CPPUNIT_ASSERT_EQUAL(700, profiles.at(0).at("first_token_target_ms").get<int>());
        const auto refused = runBinary("profile set booking first_token_targt_ms=7" + m_options);
        CPPUNIT_ASSERT_EQUAL(2, refused.exitCode);
        CPPUNIT_ASSERT_MESSAGE(refused.errors, contains(refused.errors, "first_token_target_ms"));
    }

    // Guards against a drain that `upstream list` does not show.
    void upstreamDrainsAndUndrains()
    {
        CPPUNIT_ASSERT_EQUAL(0, runBinary("upstream drain engine-1" + m_options).exitCode);
        CPPUNIT_ASSERT(contains(runBinary("upstream list" + m_options).output, "draining"));
        CPPUNIT_ASSERT_EQUAL(0, runBinary("upstream undrain engine-1" + m_options).exitCode);
        CPPUNIT_ASSERT(!contains(runBinary("upstream list" + m_options).output, "draining"));
        const auto unknown = runBinary("upstream drain engine-9" + m_options);
        CPPUNIT_ASSERT_EQUAL(1, unknown.exitCode);
        CPPUNIT_ASSERT(contains(unknown.errors, "engine-9"));
    }

    // Guards against a status without the generation in force.
    void statusAndHistoryAnswer()
    {
        const auto status = Json::parse(runBinary("status --json" + m_options).output);
        CPPUNIT_ASSERT_EQUAL(std::string("ready"), status.at("phase").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(1, status.at("generation").get<int>());
        const auto history = Json::parse(runBinary("config history --json" + m_options).output);
        CPPUNIT_ASSERT_EQUAL(std::string("test"),
                             history.at("history").at(0).at("author").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(0, runBinary("config show" + m_options).exitCode);
    }

    // Guards against an outcome for an idempotency key that was never used.
    void outcomeOfUnknownKeyIsRefused()
    {
        const auto result =
                runBinary(fmt::format("outcome never-used --node http://127.0.0.1:{} --key {}",
                                      m_node->callerPort(), kWorkspaceKey));
        CPPUNIT_ASSERT_EQUAL(1, result.exitCode);
        CPPUNIT_ASSERT_MESSAGE(result.errors, contains(result.errors, "404"));
    }

    // Guards against an operator interface that accepts workspace keys.
    void wrongKeyIsRefused()
    {
        const auto result = runBinary(fmt::format("status --node http://127.0.0.1:{} --key {}",
                                                  m_node->operatorPort(), kWorkspaceKey));
        CPPUNIT_ASSERT_EQUAL(1, result.exitCode);
        CPPUNIT_ASSERT(contains(result.errors, "401"));
    }

private:
    void waitUntilReady() const
    {
        CurlUpstreamClient client;
        UpstreamRequest request;
        request.method = "GET";
        request.url = fmt::format("http://127.0.0.1:{}/readyz", m_node->callerPort());
        constexpr int kAttempts = 500;
        for (int i = 0; i < kAttempts && !callAndWait(client, request).ok(); ++i)
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(callAndWait(client, request).ok());
    }

    int generationInForce() const
    {
        return Json::parse(runBinary("config show" + m_options).output).at("generation").get<int>();
    }

    std::string m_file;
    std::unique_ptr<Node> m_node;
    std::string m_options;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OnlineCommandsTest);

} // namespace hawthornslip::test
