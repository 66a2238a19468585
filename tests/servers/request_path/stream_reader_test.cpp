#include "servers/request_path/event_scanner.h"
#include "servers/request_path/stream_reader.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace hawthornslip {

class StreamReaderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StreamReaderTest);
    CPPUNIT_TEST(textInsideStringsIsNotRead);
    CPPUNIT_TEST(tokensAreCounted);
    CPPUNIT_TEST(eventsSurviveAnySplit);
    CPPUNIT_TEST(missingTokenIsDetected);
    CPPUNIT_TEST(oversizedEventBreaksTheStream);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against generated text that is read as a field, such as the id of another request.
    void textInsideStringsIsNotRead()
    {
        const auto facts = scanEvent(
                R"({"choices":[{"delta":{"content":"\"id\":\"x\"},[{"},"id":"inner"}],"id":"a"})");
        CPPUNIT_ASSERT(facts.valid);
        CPPUNIT_ASSERT(facts.id == "a");
        CPPUNIT_ASSERT(facts.hasToken);
        for (const auto *broken : {"", "{", "{\"id\":\"a\"", "[1]", "{}}", "{\"id\":\"a\\\"}", "x"})
            CPPUNIT_ASSERT(!scanEvent(broken).valid);
    }

    // Guards against counting events without a token: a resumed stream would then skip tokens.
    void tokensAreCounted()
    {
        CPPUNIT_ASSERT(!scanEvent(R"({"choices":[{"delta":{"role":"assistant"}}]})").hasToken);
        CPPUNIT_ASSERT(!scanEvent(R"({"choices":[{"delta":{"content":""}}]})").hasToken);
        CPPUNIT_ASSERT(!scanEvent(R"({"content":"x"})").hasToken);
        CPPUNIT_ASSERT(scanEvent(R"({"choices":[{"text":"x"}]})").hasToken);
        const auto last = scanEvent(
                R"({"choices":[{"finish_reason":"stop"}],"usage":{"completion_tokens": 12}})");
        CPPUNIT_ASSERT(last.finished && last.completionTokens == 12U);
    }

    // Guards against events that are lost or split at the boundaries of received pieces.
    void eventsSurviveAnySplit()
    {
        std::string body = ": ping\r\n\r\n";
        for (int i = 0; i < 50; ++i)
            body += event("t" + std::to_string(i), i % 2 == 0 ? "\r\n" : "\n");
        body += "data: [DONE]\n\n";
        for (unsigned seed = 1; seed <= 20; ++seed) {
            std::mt19937 random(seed);
            StreamReader reader;
            reader.begin("a", 0);
            std::string text;
            std::uint32_t tokens = 0;
            bool done = false;
            for (std::size_t at = 0; at < body.size();) {
                const std::size_t n = 1 + random() % 90;
                const auto part = reader.read(body.substr(at, n), false);
                at += n;
                text += part.text;
                tokens += part.tokens;
                done = part.done;
            }
            CPPUNIT_ASSERT(done);
            CPPUNIT_ASSERT_EQUAL(50U, tokens);
            CPPUNIT_ASSERT_EQUAL(body.substr(body.find("data")), text);
        }
    }

    // Guards I3: an event of another request arrives in place of one of this request.
    void missingTokenIsDetected()
    {
        StreamReader reader;
        reader.begin("a", 0);
        const auto part =
                reader.read(event("1") + R"(data: {"id":"b"})" + "\n\n" +
                                    R"(data: {"id":"a","choices":[{"finish_reason":"stop"}],)" +
                                    R"("usage":{"completion_tokens":2}})" + "\n\ndata: [DONE]\n\n",
                            false);
        CPPUNIT_ASSERT_EQUAL(1U, part.mismatches);
        CPPUNIT_ASSERT(part.broken);
        CPPUNIT_ASSERT(!part.done);
    }

    // Guards against an upstream that exhausts memory with one event of unbounded size.
    void oversizedEventBreaksTheStream()
    {
        StreamReader reader;
        reader.begin("a", 0);
        bool broken = false;
        for (std::size_t n = 0; n <= EventStreamParser::kMaxEventBytes && !broken; n += 1 << 16)
            broken = reader.read("data: " + std::string(1 << 16, 'x'), false).broken;
        CPPUNIT_ASSERT(broken);
    }

private:
    static std::string event(const std::string &token, const std::string &end = "\n")
    {
        return R"(data: {"id":"a","choices":[{"delta":{"content":")" + token +
               R"("},"finish_reason":null}]})" + end + end;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StreamReaderTest);

} // namespace hawthornslip
