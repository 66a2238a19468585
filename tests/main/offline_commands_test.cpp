#include "servers/security/key_hasher.h"
#include "tests/main/binary_runner.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>

namespace hawthornslip::test {

namespace {

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

class OfflineCommandsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OfflineCommandsTest);
    CPPUNIT_TEST(keysNewPrintsKeyAndHash);
    CPPUNIT_TEST(keysNewRefusesUnknownKind);
    CPPUNIT_TEST(configCheckReportsFiveFaults);
    CPPUNIT_TEST(configCheckAcceptsExamples);
    CPPUNIT_TEST(configCheckNamesMistakesOfRoutes);
    CPPUNIT_TEST(loadNamesFaultOfFile);
    CPPUNIT_TEST(commandsNameUnreachableNode);
    CPPUNIT_TEST(unknownCommandIsInvalidInput);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a printed hash that does not match the printed key.
    void keysNewPrintsKeyAndHash()
    {
        const auto result = runBinary("keys new workspace --json");
        CPPUNIT_ASSERT_EQUAL(0, result.exitCode);
        const auto keys = nlohmann::json::parse(result.output);
        CPPUNIT_ASSERT_EQUAL(KeyHasher::hash(keys.at("key").get<std::string>()),
                             keys.at("key_hash").get<std::string>());
    }

    // Guards against a misspelled kind that creates a key of another kind.
    void keysNewRefusesUnknownKind()
    {
        const auto result = runBinary("keys new workspce");
        CPPUNIT_ASSERT_EQUAL(2, result.exitCode);
        CPPUNIT_ASSERT(contains(result.errors, "workspce"));
    }

    // Guards against a check that stops at the first fault.
    void configCheckReportsFiveFaults()
    {
        const auto path = writeFile(
                ".json",
                R"({"schema_version":1,"generation":1,"author":"a","profils":[],"profiles":[)"
                R"({"name":"p","tier":9,"first_token_target_ms":-5},{"name":"p","tier":0}],)"
                R"("workspaces":[{"id":"w","key_hashes":["zz"]}],"upstreams":[]})");
        const auto result = runBinary("config check " + path);
        std::remove(path.c_str());
        CPPUNIT_ASSERT_EQUAL(2, result.exitCode);
        for (const auto *it :
             {"profils", "tier", "first_token_target_ms", "key_hashes", "[1].name"})
            CPPUNIT_ASSERT_MESSAGE(result.errors, contains(result.errors, it));
        CPPUNIT_ASSERT(std::count(result.errors.begin(), result.errors.end(), '\n') >= 5);
    }

    // Guards against a routing configuration whose mistakes show only in service, and against
    // paths that its author does not find in the document.
    void configCheckNamesMistakesOfRoutes()
    {
        nlohmann::json config = {
                {"version", 7},
                {"routes",
                 {{{"name", "r"},
                   {"host", "a.example"},
                   {"path_prefix", "/x/"},
                   {"route_kind", "streaming"},
                   {"timeout_ms", 500},
                   {"goal_ms", 800},
                   {"service", "engines"}}}},
                {"services", {{{"name", "engines"}, {"health_path", "/h"}, {"max_conns", 9}}}},
                {"tenants", {{{"name", "w"}, {"api_keys", {"k"}}}}}};
        const auto before = writeFile(".json", config.dump());
        config["routes"][0]["timeout_ms"] = 900;
        const nlohmann::json object = {{"metadata", {{"name", "main"}}}, {"spec", config}};
        const auto after = writeFile(".json", object.dump());
        const auto bad = runBinary("config check --json " + before);
        CPPUNIT_ASSERT_EQUAL(2, bad.exitCode);
        CPPUNIT_ASSERT(contains(bad.output, "routes[0].timeout_ms"));
        const auto good = runBinary("config check " + after + " --against " + before);
        CPPUNIT_ASSERT_EQUAL(0, good.exitCode);
        CPPUNIT_ASSERT(contains(good.output, "route a.example/x/: timeout 500 ms -> 900 ms"));
        std::remove(before.c_str());
        std::remove(after.c_str());
    }

    // Guards against examples that `config check` no longer accepts.
    void configCheckAcceptsExamples()
    {
        for (const std::string deployment : {"yayasan", "krieslins"}) {
            const std::string folder = HAWTHORNSLIP_SOURCE_DIR "/examples/" + deployment + "/";
            for (const std::string file :
                 {"shared.json", "node1.toml", "node2.toml", "node3.toml"}) {
                const auto result = runBinary("config check " + folder + file);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(result.errors, 0, result.exitCode);
            }
        }
    }

    // Guards against an invalid load file that is run with default values.
    void loadNamesFaultOfFile()
    {
        const auto path = writeFile(".json", "{\"nodes\": 3}");
        const auto result = runBinary("load " + path);
        std::remove(path.c_str());
        CPPUNIT_ASSERT_EQUAL(2, result.exitCode);
        CPPUNIT_ASSERT(contains(result.errors, path));
    }

    // Guards against a command that reports success although no node answered.
    void commandsNameUnreachableNode()
    {
        // Nothing listens on port 1 of the loopback interface.
        const std::string node = " --node http://127.0.0.1:1 --key x";
        for (const std::string command :
             {"config show", "config history", "profile list", "profile set p tier=1",
              "upstream list", "upstream drain e", "upstream undrain e", "status", "outcome k"}) {
            const auto result = runBinary(command + node);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(command, 3, result.exitCode);
            CPPUNIT_ASSERT(contains(result.errors, "did not answer"));
        }
    }

    // Guards against invalid calls that exit with 0, which scripts take for success.
    void unknownCommandIsInvalidInput()
    {
        CPPUNIT_ASSERT_EQUAL(2, runBinary("frobnicate").exitCode);
        CPPUNIT_ASSERT_EQUAL(2, runBinary("serve --settings /nonexistent.toml").exitCode);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OfflineCommandsTest);

} // namespace hawthornslip::test
