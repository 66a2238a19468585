#include "modules/config/config_document.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <random>

namespace hawthornslip {

namespace {

SharedConfig exampleConfig()
{
    SharedConfig config;
    config.generation = 7;
    config.author = "anna";
    Profile pickup;
    pickup.name = ProfileName("pickup");
    pickup.tier = 0;
    pickup.idempotent = false;
    pickup.resumable = false;
    pickup.firstTokenTarget = milliseconds(870);
    Profile chat;
    chat.name = ProfileName("chat");
    chat.retryRatio = 0.25;
    config.profiles = {pickup, chat};
    Workspace workspace;
    workspace.id = WorkspaceId("selimut");
    workspace.keyHashes = {std::string(64, 'a')};
    workspace.profiles = {ProfileName("chat")};
    workspace.weight = 2.5;
    config.workspaces = {workspace};
    Upstream engine;
    engine.id = UpstreamId("engine-1");
    engine.url = "http://10.0.0.9:8000";
    engine.domain = FailureDomain("semarang");
    engine.models = {ModelName("small"), ModelName("large")};
    Upstream booking;
    booking.id = UpstreamId("booking");
    booking.kind = UpstreamKind::Application;
    booking.state = UpstreamState::Draining;
    booking.url = "http://10.0.0.10:8000";
    booking.models = {ModelName("app:booking")};
    booking.checksFencing = true;
    config.upstreams = {engine, booking};
    return config;
}

bool hasFault(const ParsedConfig &parsed, const std::string &path, const std::string &part)
{
    return std::any_of(parsed.faults.begin(), parsed.faults.end(), [&](const ConfigFault &it) {
        return it.path == path && it.message.find(part) != std::string::npos;
    });
}

ParsedConfig parseBody(const std::string &body)
{
    return ConfigDocument::parse(R"({"schema_version":1,"generation":1,)" + body + "}");
}

} // namespace

class ConfigDocumentTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ConfigDocumentTest);
    CPPUNIT_TEST(parseRestoresSerializedConfig);
    CPPUNIT_TEST(missingFieldsKeepTheirDefaults);
    CPPUNIT_TEST(nonIdempotentIsNotResumable);
    CPPUNIT_TEST(reportsAllFaultsAtOnce);
    CPPUNIT_TEST(unknownFieldSuggestsNearestName);
    CPPUNIT_TEST(refusesDuplicatesAndDanglingReferences);
    CPPUNIT_TEST(refusesInvalidTopLevelFields);
    CPPUNIT_TEST(survivesHostileInput);
    CPPUNIT_TEST(survivesRandomCorruption);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a field that is written but not read, and so is lost between two nodes.
    void parseRestoresSerializedConfig()
    {
        const auto config = exampleConfig();
        for (const int indent : {-1, 2}) {
            const auto parsed = ConfigDocument::parse(ConfigDocument::toText(config, indent));
            CPPUNIT_ASSERT(parsed.ok());
            CPPUNIT_ASSERT(parsed.config == config);
        }
    }

    // Guards against a default in the reader that differs from the one in core/profile.h.
    void missingFieldsKeepTheirDefaults()
    {
        const auto parsed = parseBody(R"("profiles":[{"name":"chat"}],
            "workspaces":[{"id":"w"}],"upstreams":[{"id":"u","url":"http://10.0.0.1:1"}])");
        CPPUNIT_ASSERT(parsed.ok());
        Profile profile;
        profile.name = ProfileName("chat");
        CPPUNIT_ASSERT(parsed.config.profiles.at(0) == profile);
        Workspace workspace;
        workspace.id = WorkspaceId("w");
        CPPUNIT_ASSERT(parsed.config.workspaces.at(0) == workspace);
    }

    // Guards against a request that runs twice because its stream was resumed.
    void nonIdempotentIsNotResumable()
    {
        const auto absent = parseBody(R"("profiles":[{"name":"order","idempotent":false}])");
        CPPUNIT_ASSERT(absent.ok());
        CPPUNIT_ASSERT(!absent.config.profiles.at(0).resumable);
        const auto given =
                parseBody(R"("profiles":[{"name":"order","idempotent":false,"resumable":true}])");
        CPPUNIT_ASSERT(hasFault(given, "profiles[0].resumable", "must be false"));
    }

    // Guards against a parser that stops at the first fault, so that an operator has to correct
    // the document one fault at a time.
    void reportsAllFaultsAtOnce()
    {
        const auto parsed = parseBody(R"("author":5,
            "profiles":[{"name":"a","tier":9,"retry_ratio":"x"},{"tier":-1,"max_tokens":0}],
            "workspaces":[{"id":"w","weight":-1,"key_hashes":["zz",3]}],
            "upstreams":[{"id":"u","url":"ftp://x","kind":"engine"},7])");
        CPPUNIT_ASSERT(hasFault(parsed, "author", "must be a string"));
        CPPUNIT_ASSERT(hasFault(parsed, "profiles[0].tier", "from 0 to 2"));
        CPPUNIT_ASSERT(hasFault(parsed, "profiles[0].retry_ratio", "must be a number"));
        CPPUNIT_ASSERT(hasFault(parsed, "profiles[1].name", "is missing"));
        CPPUNIT_ASSERT(hasFault(parsed, "profiles[1].tier", "whole number"));
        CPPUNIT_ASSERT(hasFault(parsed, "profiles[1].max_tokens", "from 1"));
        CPPUNIT_ASSERT(hasFault(parsed, "workspaces[0].weight", "above 0"));
        CPPUNIT_ASSERT(hasFault(parsed, "workspaces[0].key_hashes[0]", "hexadecimal"));
        CPPUNIT_ASSERT(hasFault(parsed, "workspaces[0].key_hashes[1]", "must be a string"));
        CPPUNIT_ASSERT(hasFault(parsed, "upstreams[0].url", "http://"));
        CPPUNIT_ASSERT(hasFault(parsed, "upstreams[0].kind", "\"application\""));
        CPPUNIT_ASSERT(hasFault(parsed, "upstreams[1]", "must be an object"));
    }

    // Guards against a misspelt field that is ignored, so that its default stays in force.
    void unknownFieldSuggestsNearestName()
    {
        const auto parsed = parseBody(
                R"("profils":[],"profiles":[{"name":"a","first_token_target":5,"zzzzzzzz":1}])");
        CPPUNIT_ASSERT(hasFault(parsed, "profils", "\"profiles\""));
        CPPUNIT_ASSERT(
                hasFault(parsed, "profiles[0].first_token_target", "\"first_token_target_ms\""));
        CPPUNIT_ASSERT(hasFault(parsed, "profiles[0].zzzzzzzz", "unknown field"));
    }

    // Guards against a key shared by two workspaces, and a reference to a profile that does not
    // exist.
    void refusesDuplicatesAndDanglingReferences()
    {
        const std::string hash(64, 'b');
        const auto parsed = parseBody(R"("profiles":[{"name":"a"},{"name":"a"}],"workspaces":[
            {"id":"w","key_hashes":[")" +
                                      hash + R"("],"profiles":["none"]},
            {"id":"v","key_hashes":[")" +
                                      hash + R"("]}],
            "upstreams":[{"id":"u","url":"http://h:1","models":["app:x"]},
                         {"id":"u","url":"http://h:1"}])");
        CPPUNIT_ASSERT(hasFault(parsed, "profiles[1].name", "same as profiles[0].name"));
        CPPUNIT_ASSERT(hasFault(parsed, "workspaces[0].profiles[0]", "names no profile"));
        CPPUNIT_ASSERT(hasFault(parsed, "workspaces[1].key_hashes[0]", "same as"));
        CPPUNIT_ASSERT(hasFault(parsed, "upstreams[0].models[0]", "only an application"));
        CPPUNIT_ASSERT(hasFault(parsed, "upstreams[1].id", "same as"));
    }

    void refusesInvalidTopLevelFields()
    {
        CPPUNIT_ASSERT(hasFault(ConfigDocument::parse(R"({"schema_version":2,"generation":1})"),
                                "schema_version", "must be 1"));
        CPPUNIT_ASSERT(hasFault(ConfigDocument::parse("{}"), "schema_version", "is missing"));
        CPPUNIT_ASSERT(hasFault(ConfigDocument::parse(R"({"schema_version":1,"generation":0})"),
                                "generation", "at least 1"));
        CPPUNIT_ASSERT(!ConfigDocument::parse("[]").ok());
        CPPUNIT_ASSERT(!ConfigDocument::parse("").ok());
        CPPUNIT_ASSERT(!ConfigDocument::parse("null").ok());
    }

    // Guards against malicious documents that exhaust stack or memory, and against ambiguous ones
    // with a duplicate field.
    void survivesHostileInput()
    {
        constexpr std::size_t kDeep = 500'000;
        CPPUNIT_ASSERT(hasFault(ConfigDocument::parse(std::string(kDeep, '[')), "", "nested"));
        std::string nested;
        for (std::size_t i = 0; i < kDeep / 5; ++i)
            nested += "{\"a\":";
        CPPUNIT_ASSERT(hasFault(ConfigDocument::parse(nested), "", "nested"));
        CPPUNIT_ASSERT(hasFault(ConfigDocument::parse(std::string((1U << 20) + 1, ' ')), "",
                                "larger than"));
        CPPUNIT_ASSERT(hasFault(parseBody(R"("author":"a","author":"b")"), "", "twice"));
        CPPUNIT_ASSERT(!parseBody("\"author\":\"\xff\xfe\"").ok());
        CPPUNIT_ASSERT(!parseBody(R"("profiles":[{"name":"a","retry_ratio":1e999}])").ok());
        CPPUNIT_ASSERT(!parseBody(R"("profiles":[{"name":"a","tier":99999999999999999999}])").ok());
        CPPUNIT_ASSERT(
                !parseBody(R"("profiles":[{"name":"a","total_timeout_ms":9007199254740991}])")
                         .ok());
        std::string many = "\"profiles\":[0";
        for (int i = 0; i < 100'000; ++i)
            many += ",0";
        CPPUNIT_ASSERT(parseBody(many + "]").faults.size() <= kMaxConfigFaults + 1);
        const auto longName = parseBody("\"" + std::string(100'000, 'x') + "\":1");
        CPPUNIT_ASSERT(longName.faults.at(0).path.size() < 100);
    }

    // Guards against a crash on corrupted input; also run under the sanitizers.
    void survivesRandomCorruption()
    {
        const std::string original = ConfigDocument::toText(exampleConfig());
        std::mt19937_64 random(1);
        int accepted = 0;
        constexpr int kRounds = 3000;
        for (int round = 0; round < kRounds; ++round) {
            std::string text = original;
            const auto edits = 1 + random() % 4;
            for (std::uint64_t i = 0; i < edits; ++i)
                text[random() % text.size()] = static_cast<char>(random());
            if (random() % 4 == 0)
                text.resize(random() % text.size());
            const auto parsed = ConfigDocument::parse(text);
            if (!parsed.ok())
                continue;
            ++accepted;
            CPPUNIT_ASSERT(ConfigDocument::parse(ConfigDocument::toText(parsed.config)).ok());
        }
        CPPUNIT_ASSERT(accepted < kRounds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigDocumentTest);

} // namespace hawthornslip
