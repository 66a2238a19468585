#include "platform/object_version_store.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace hawthornslip::platform {

namespace {

/** Answers calls in turn with what a test has prepared, and keeps the requests. */
class PreparedClient : public UpstreamClient
{
public:
    std::shared_ptr<UpstreamCall> send(UpstreamRequest request,
                                       std::shared_ptr<UpstreamHandler> handler) override
    {
        requests.push_back(std::move(request));
        const auto [status, body] = answers.front();
        answers.pop_front();
        const auto result = status == 0 ? UpstreamResult::TotalTimeout : UpstreamResult::Complete;
        handler->onHeaders(status, {});
        handler->onData(body);
        handler->onEnd({result, status, "", false});
        return nullptr;
    }

    std::vector<UpstreamRequest> requests;
    std::deque<std::pair<int, std::string>> answers;
};

const VersionJournal kJournal{1'700'000'000'123,
                              1'700'000'000'100,
                              {{"models", "v1.2", 1'700'000'000'000}, {"models", "", 5}},
                              {{"models", "v1.2", {1, 0xfedcba9876543210}}, {"models", "", {}}}};

/** @return a page with one object. */
std::string pageOf(const std::string &object, bool hasMore = false)
{
    return R"({"entries":[)" + object + R"(],"has_more":)" + (hasMore ? "true" : "false") +
           R"(,"as_of":7})";
}

} // namespace

/** The journals of versions as objects of the platform's store. */
class VersionStoreTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(VersionStoreTest);
    CPPUNIT_TEST(journalIsReadAsItWasWritten);
    CPPUNIT_TEST(firstWriteCreatesTheObject);
    CPPUNIT_TEST(failedWriteIsNotTakenForDone);
    CPPUNIT_TEST(allPagesAreRead);
    CPPUNIT_TEST(objectThatCannotBeReadIsNotTakenForNone);
    CPPUNIT_TEST(failedReadIsNotTakenForEmpty);
    CPPUNIT_TEST_SUITE_END();

public:
    void journalIsReadAsItWasWritten()
    {
        m_client.answers = {{200, "{}"}, {200, pageOf(written())}};
        const auto journals = read();
        CPPUNIT_ASSERT(journals && journals->isComplete);
        CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.1:70"), journals->entries.at(0).node);
        CPPUNIT_ASSERT(kJournal == journals->entries.at(0).journal);
    }

    void firstWriteCreatesTheObject()
    {
        m_client.answers = {{404, ""}, {201, "{}"}};
        CPPUNIT_ASSERT(write());
        CPPUNIT_ASSERT_EQUAL(std::string("PUT"), m_client.requests.at(0).method);
        CPPUNIT_ASSERT_EQUAL(
                std::string("http://10.0.0.2:90/objects/hawthornslip-versions/10.0.0.1:70"),
                m_client.requests.at(0).url);
        CPPUNIT_ASSERT_EQUAL(std::string("POST"), m_client.requests.at(1).method);
        CPPUNIT_ASSERT_EQUAL(std::string("http://10.0.0.2:90/objects/hawthornslip-versions"),
                             m_client.requests.at(1).url);
    }

    void failedWriteIsNotTakenForDone()
    {
        for (const int status : {0, 429, 503}) {
            m_client.answers = {{status, ""}};
            CPPUNIT_ASSERT(!write());
        }
    }

    void allPagesAreRead()
    {
        m_client.answers = {{200, "{}"}, {200, pageOf(written(), true)}, {200, pageOf(written())}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read()->entries.size());
        CPPUNIT_ASSERT(m_client.requests.back().url.ends_with("?after=10.0.0.1:70"));
    }

    // Guards against a version that is taken for the only one because a journal is ignored.
    void objectThatCannotBeReadIsNotTakenForNone()
    {
        for (const std::string object :
             {R"({"metadata":{"name":"x"},"spec":{"written":1}})", R"({"metadata":{}})", "7",
              R"({"metadata":{"name":"x"},"spec":{"written":"1","complete":1,"versions":[],"streams":[]}})"}) {
            m_client.answers = {{200, "{}"}, {200, pageOf(written() + "," + object)}};
            const auto journals = read();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(object, std::size_t{1}, journals->entries.size());
            CPPUNIT_ASSERT_MESSAGE(object, !journals->isComplete);
        }
    }

    void failedReadIsNotTakenForEmpty()
    {
        for (const auto &it : std::vector<std::pair<int, std::string>>{
                     {0, ""}, {503, pageOf("")}, {429, ""}, {200, ""}, {200, "{}"}}) {
            m_client.answers = {it};
            bool isCalled = false;
            m_store.readAll([&isCalled](const auto &journals) {
                isCalled = true;
                CPPUNIT_ASSERT(!journals);
            });
            CPPUNIT_ASSERT(isCalled);
        }
    }

private:
    bool write()
    {
        bool isDone = false;
        m_store.write(kJournal, [&isDone](bool done) { isDone = done; });
        return isDone;
    }

    /** @return the object that a write sends. */
    static std::string written()
    {
        PreparedClient client;
        client.answers = {{200, "{}"}};
        ObjectVersionStore(client, "10.0.0.2:90", "10.0.0.1:70").write(kJournal, [](bool) {});
        return client.requests.at(0).body;
    }

    /** Writes, then reads all objects. */
    std::optional<VersionStore::Journals> read()
    {
        write();
        std::optional<VersionStore::Journals> read;
        m_store.readAll([&read](const auto &journals) { read = journals; });
        return read;
    }

    PreparedClient m_client;
    ObjectVersionStore m_store{m_client, "10.0.0.2:90", "10.0.0.1:70"};
};

CPPUNIT_TEST_SUITE_REGISTRATION(VersionStoreTest);

} // namespace hawthornslip::platform
