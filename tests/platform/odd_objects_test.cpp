#include "platform/object_feed.h"
#include "servers/state/state_codec.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <vector>

namespace hawthornslip::platform {

namespace {

// More levels than a page of the store holds overflow the stack of a reader that recurses.
constexpr std::size_t kDeep = 400'000;

/** Answers each call with the same body. */
class OnePageStore : public UpstreamClient
{
public:
    explicit OnePageStore(std::string body)
        : m_body(std::move(body))
    {}

    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        lastUrl = request.url;
        handler->onHeaders(200, {});
        handler->onData(m_body);
        handler->onEnd({UpstreamResult::Complete, 200, "", false});
        return nullptr;
    }

    std::string lastUrl;

private:
    std::string m_body;
};

std::string nested(const std::string &open, const std::string &close)
{
    std::string text;
    for (std::size_t i = 0; i < kDeep; ++i)
        text += open;
    text += "1";
    for (std::size_t i = 0; i < kDeep; ++i)
        text += close;
    return text;
}

/** @return the spec of a sound entry with @p value in place of the value of @p field. */
std::string specWith(const std::string &field, const std::string &value)
{
    std::string text;
    for (const auto &[name, sound] :
         std::vector<std::pair<std::string, std::string>>{{"service", "\"s\""},
                                                          {"address", "\"10.0.0.9:80\""},
                                                          {"zone", "\"z\""},
                                                          {"slots", "4"},
                                                          {"state", "\"ready\""},
                                                          {"cold_left_ms", "0"}})
        text += fmt::format("{}\"{}\":{}", text.empty() ? "" : ",", name,
                            name == field ? value : sound);
    return "{" + text + "}";
}

std::string objectWith(const std::string &name, const std::string &spec)
{
    return fmt::format(R"({{"metadata":{{"name":{},"revision":4}},"spec":{}}})", name, spec);
}

std::string soundObject(const std::string &name)
{
    return objectWith("\"" + name + "\"", specWith("", ""));
}

const std::vector<std::string> &unreadableSpecs()
{
    static const std::vector<std::string> kSpecs = {
            nested("[", "]"),
            nested("{\"a\":", "}"),
            specWith("cold_left_ms", nested("[", "]")),
            specWith("cold_left_ms", "1e999"),
            specWith("cold_left_ms", "-1e999"),
            specWith("cold_left_ms", "0001"),
            specWith("service", "\"\xff\xfe\""),
            specWith("service", "\"\\ud800\""),
            specWith("service", "\"\x01\""),
            specWith("state", "\"odd\""),
            specWith("zone", "[]"),
            "null",
            "[]",
            "\"text\"",
            "7",
            "{}",
    };
    return kSpecs;
}

const std::vector<std::string> &wrongSpecs()
{
    static const std::vector<std::string> kSpecs = {
            specWith("slots", "-1"),
            specWith("slots", "4294967296"),
            specWith("slots", "99999999999999999999"),
            specWith("slots", "1e30"),
            specWith("slots", "-1e30"),
            specWith("slots", "\"4\""),
            specWith("slots", "null"),
            specWith("address", "\"10.0.0.9:65536\""),
            specWith("address", "\"10.0.0.9:0\""),
            specWith("address", "\"10.0.0.9:-1\""),
            specWith("address", "\"10.0.0.9:80x\""),
            specWith("address", "\"10.0.0.9:99999999999\""),
            specWith("address", "\"10.0.0.9\""),
            specWith("address", "\"10.0.0.9:\""),
            specWith("address", "\":80\""),
            specWith("address", "\"\""),
            specWith("address", "\"0.0.0.0:80\""),
            specWith("address", "\"10.0.0.9/x:80\""),
            specWith("address", "80"),
    };
    return kSpecs;
}

/** @return the names of the usable upstreams of a list and of a watch; they have to agree. */
std::string usableNames(const std::string &odd, bool isWatch)
{
    std::string objects;
    for (const std::string &it : {soundObject("i-1"), odd, soundObject("i-3")}) {
        objects += objects.empty() ? "" : ",";
        objects += isWatch ? R"({"deleted":false,"object":)" + it + "}" : it;
    }
    OnePageStore store(
            fmt::format(R"({{"{}":[{}],"as_of":530}})", isWatch ? "events" : "entries", objects));
    const auto feed = makeUpstreamFeed(store, "10.0.0.2:90");
    std::string names;
    const auto collect = [&names](const FeedResult<UpstreamEntry> &result) {
        names += result.error == FeedError::None && result.revision == 530 ? "" : "failed ";
        for (const auto &it : result.items)
            names += it.value ? it.name + " " : "";
    };
    if (isWatch)
        feed->watch({0, 529}, seconds(2), collect);
    else
        feed->list("", collect);
    return names;
}

} // namespace

/** What similar systems met: another writer's odd entries among sound ones. */
class OddObjectsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OddObjectsTest);
    CPPUNIT_TEST(unreadableSpecDoesNotHideTheOthers);
    CPPUNIT_TEST(oddEnvelopeDoesNotHideTheOthers);
    CPPUNIT_TEST(unreadableObjectInAReplyDoesNotHideTheOthers);
    CPPUNIT_TEST(wrongValueNamesNoUpstream);
    CPPUNIT_TEST(oddNameIsNoPartOfARequest);
    CPPUNIT_TEST(configurationWithNumbersOutOfRangeIsRejected);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a process that ends, or no longer follows the list, because of one entry.
    void unreadableSpecDoesNotHideTheOthers()
    {
        for (const auto &spec : unreadableSpecs()) {
            for (const bool isWatch : {false, true})
                CPPUNIT_ASSERT_EQUAL_MESSAGE(spec.substr(0, 160), std::string("i-1 i-3 "),
                                             usableNames(objectWith("\"i-2\"", spec), isWatch));
        }
    }

    void oddEnvelopeDoesNotHideTheOthers()
    {
        const std::string spec = specWith("", "");
        const std::vector<std::string> objects = {
                "null",
                "[]",
                "{}",
                nested("[", "]"),
                R"({"metadata":{"name":"i-2"}})",
                R"({"spec":)" + spec + "}",
                R"({"metadata":[],"spec":)" + spec + "}",
                R"({"metadata":{"name":7},"spec":)" + spec + "}",
                objectWith("\"\xff\"", spec),
                objectWith(nested("[", "]"), spec),
                objectWith("1e999", spec),
        };
        for (const auto &object : objects) {
            for (const bool isWatch : {false, true})
                CPPUNIT_ASSERT_EQUAL_MESSAGE(object.substr(0, 160), std::string("i-1 i-3 "),
                                             usableNames(object, isWatch));
        }
    }

    // Guards against the same bytes that end or stop a node which reads from another node.
    void unreadableObjectInAReplyDoesNotHideTheOthers()
    {
        for (const auto &spec : unreadableSpecs()) {
            StateReply sent;
            sent.changes.position.revision = 530;
            sent.changes.objects = {{"i-1", false, specWith("", "")},
                                    {"i-2", false, spec},
                                    {"i-3", false, specWith("", "")}};
            const auto got = decodeState(encodeState(sent));
            CPPUNIT_ASSERT(got);
            std::string names;
            for (const auto &it : got->changes.objects) {
                names += decodeRelayedUpstream(it).value ? it.name + " " : "";
                decodeRelayedNode(it);
                decodeRelayedConfig({"main", false, it.encoded});
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(spec.substr(0, 160), std::string("i-1 i-3 "), names);
        }
    }

    // Guards against requests to an address or a capacity that nobody wrote.
    void wrongValueNamesNoUpstream()
    {
        for (const auto &spec : wrongSpecs())
            CPPUNIT_ASSERT_EQUAL_MESSAGE(spec, std::string("i-1 i-3 "),
                                         usableNames(objectWith("\"i-2\"", spec), false));
        const auto object = nlohmann::json::parse(specWith("", ""));
        CPPUNIT_ASSERT(decodeUpstream("i-2", object).value);
        CPPUNIT_ASSERT(decodeNode("n", object).value);
        CPPUNIT_ASSERT(!decodeNode("n", {{"address", "10.0.0.9:65536"}}).value);
        // The name becomes the value of a header.
        CPPUNIT_ASSERT(!decodeUpstream("a\r\nb: c", object).value);
    }

    // Guards against a name that ends the request line or adds a parameter to the query.
    void oddNameIsNoPartOfARequest()
    {
        OnePageStore store(R"({"entries":[],"as_of":530})");
        makeUpstreamFeed(store, "10.0.0.2:90")->list("a b&watch=1\r\nc", [](const auto &) {});
        CPPUNIT_ASSERT_EQUAL(
                std::string("http://10.0.0.2:90/objects/servers?after=a%20b%26watch%3D1%0D%0Ac"),
                store.lastUrl);
    }

    // Guards against numbers that turn into others, such as a timeout before the request.
    void configurationWithNumbersOutOfRangeIsRejected()
    {
        const std::string config = R"({"version":7,"routes":[{"host":"a","path_prefix":"/x/",
"route_kind":"idempotent","service":"s","timeout_ms":@T,"max_attempts":@A,"priority":@P}],
"services":[{"name":"s","max_conns":@C}],"limits":{"max_header_bytes":@H}})";
        const std::vector<std::string> marks = {"@T", "@A", "@P", "@C", "@H"};
        const auto decode = [&](const std::string &odd, const std::string &value) {
            std::string text = config;
            for (const auto &it : marks)
                text.replace(text.find(it), it.size(), it == odd ? value : "2");
            return decodeConfig("main", nlohmann::json::parse(text)).value.has_value();
        };
        CPPUNIT_ASSERT(decode("", ""));
        for (const auto &mark : marks) {
            for (const std::string value :
                 {"-9223372036854775808", "1e300", "18446744073709551615"})
                CPPUNIT_ASSERT_MESSAGE(mark + value, !decode(mark, value));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OddObjectsTest);

} // namespace hawthornslip::platform
