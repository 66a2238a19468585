#include "drivers/asio/asio_event_loop.h"
#include "drivers/asio/asio_upstream_client.h"
#include "drivers/http/curl_upstream_client.h"
#include "drivers/object_store/http_object_store.h"
#include "drivers/vm_list/http_vm_list.h"
#include "tests/support/broken_answers.h"
#include "tests/support/counting_metrics.h"
#include "tests/support/raw_server.h"

#include <boost/asio/post.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <condition_variable>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <thread>

namespace hawthornslip::test {

namespace {

using Steady = std::chrono::steady_clock;

// More than the buffers of both sockets hold.
constexpr std::size_t kUploadBytes = 32 << 20;
// More than the peer's socket takes unread, and less than the client's own socket takes.
constexpr std::size_t kBufferedBytes = 1 << 20;
constexpr std::chrono::seconds kPatience{10};

/** Collects an answer and lets the test wait for its end. */
class Collector : public UpstreamHandler
{
public:
    void onHeaders(int httpStatus,
                   const std::vector<std::pair<std::string, std::string>> &) override
    {
        status = httpStatus;
        if (whenHead)
            whenHead();
    }
    bool onData(std::string_view piece) override
    {
        if (!refusesBody)
            body += piece;
        return !refusesBody;
    }
    void onEnd(const UpstreamEnd &it) override
    {
        end = it;
        m_ended.set_value(Steady::now());
    }

    /** @return the time from @p from to the end. */
    Steady::duration waitEnd(Steady::time_point from)
    {
        auto ended = m_ended.get_future();
        CPPUNIT_ASSERT(ended.wait_for(kPatience) == std::future_status::ready);
        return ended.get() - from;
    }

    int status = 0;
    std::string body;
    UpstreamEnd end;
    std::function<void()> whenHead;
    bool refusesBody = false;

private:
    std::promise<Steady::time_point> m_ended;
};

/** A client whose thread a test can hold up. */
class TestedClient
{
public:
    virtual ~TestedClient() = default;
    /** Runs @p task where the client may be used. */
    virtual void run(std::function<void(UpstreamClient &)> task) = 0;
    /** Lets the client's thread wait for @p until. */
    virtual void holdUp(const std::shared_future<void> &until) = 0;
    virtual std::string name() const = 0;
};

class TestedAsioClient : public TestedClient
{
public:
    ~TestedAsioClient() override
    {
        boost::asio::post(m_loop.context(), [this] { m_client.reset(); });
        boost::asio::post(m_loop.context(), [this] { m_loop.stop(); });
        m_thread.join();
    }
    void run(std::function<void(UpstreamClient &)> task) override
    {
        boost::asio::post(m_loop.context(), [this, task = std::move(task)] { task(*m_client); });
    }
    void holdUp(const std::shared_future<void> &until) override
    {
        std::promise<void> held;
        boost::asio::post(m_loop.context(), [until, &held] {
            held.set_value();
            until.wait_for(kPatience);
        });
        held.get_future().wait();
    }
    std::string name() const override { return "asio"; }

private:
    AsioEventLoop m_loop;
    std::unique_ptr<AsioUpstreamClient> m_client =
            std::make_unique<AsioUpstreamClient>(m_loop, seconds(3));
    std::thread m_thread{[this] { m_loop.run(); }};
};

class TestedCurlClient : public TestedClient
{
public:
    void run(std::function<void(UpstreamClient &)> task) override { task(m_client); }
    void holdUp(const std::shared_future<void> &until) override
    {
        // The client's thread runs the callbacks of its calls.
        auto call = std::make_shared<Collector>();
        auto held = std::make_shared<std::promise<void>>();
        call->whenHead = [until, held] {
            held->set_value();
            until.wait_for(kPatience);
        };
        UpstreamRequest request;
        request.url = m_other.url();
        m_client.send(request, call);
        held->get_future().wait();
    }
    std::string name() const override { return "curl"; }

private:
    RawServer m_other{[](RawConnection &it, int) {
        it.readMessage();
        it.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    }};
    CurlUpstreamClient m_client;
};

std::vector<std::unique_ptr<TestedClient>> testedClients()
{
    std::vector<std::unique_ptr<TestedClient>> clients;
    clients.push_back(std::make_unique<TestedAsioClient>());
    clients.push_back(std::make_unique<TestedCurlClient>());
    return clients;
}

UpstreamRequest requestTo(const RawServer &server, std::size_t bodyBytes = 0)
{
    UpstreamRequest request;
    request.url = server.url() + "/";
    request.headers = {{"host", "x"}};
    request.body = std::string(bodyBytes, 'u');
    request.totalTimeout = kCallTimeout;
    request.sendOnce = true;
    return request;
}

void send(TestedClient &client, const UpstreamRequest &request,
          const std::shared_ptr<UpstreamHandler> &handler)
{
    client.run([request, handler](UpstreamClient &it) { it.send(request, handler); });
}

void answerRaw(RawConnection &it, const RawAnswer &answer)
{
    it.readMessage();
    it.send(answer.bytes);
    if (answer.closes)
        it.close();
    else
        it.waitClosed();
}

} // namespace

/** Answers that are none, over sockets, at each client of back ends. */
class BrokenAnswerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(BrokenAnswerTest);
    CPPUNIT_TEST(brokenStatusFailsTheCallAtOnce);
    CPPUNIT_TEST(brokenHeadFailsTheCallAtOnce);
    CPPUNIT_TEST(unclearEndFailsTheCallAtOnce);
    CPPUNIT_TEST(brokenTrailerFailsTheCall);
    CPPUNIT_TEST(unfinishedHeadThatIsBrokenIsNotWaitedOut);
    CPPUNIT_TEST(unusualAnswerIsNotRefused);
    CPPUNIT_TEST(resetDuringTheUploadIsNoEndOfAnAnswer);
    CPPUNIT_TEST(closeBeforeTheUploadWasReadIsNoEndOfAnAnswer);
    CPPUNIT_TEST(closeAfterTheUploadEndsAnAnswer);
    CPPUNIT_TEST(wholeAnswerBeforeTheEndOfTheUploadIsDelivered);
    CPPUNIT_TEST(wholeAnswerThatWasNotTakenIsNotComplete);
    CPPUNIT_TEST(brokenAnswerOfThePlatformIsNoAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void brokenStatusFailsTheCallAtOnce() { expectBroken(brokenStatusLines("")); }

    void brokenHeadFailsTheCallAtOnce() { expectBroken(brokenHeads("")); }

    void unclearEndFailsTheCallAtOnce() { expectBroken(unclearEnds("")); }

    // Guards against trailers that another parser would read as something else.
    void brokenTrailerFailsTheCall()
    {
        CaseReport report;
        for (const auto &it : testedClients()) {
            for (const auto &answer : brokenTrailers(""))
                report.expect(call(*it, answer, report)->end.result == UpstreamResult::Broken,
                              it->name() + ": " + visible(answer.bytes));
        }
        report.check();
    }

    // Guards against a call that waits for the rest of a head which cannot become one.
    void unfinishedHeadThatIsBrokenIsNotWaitedOut()
    {
        std::vector<RawAnswer> answers = {{"Trouble without an end"},
                                          {"HTTP/1.1 000 Trouble\r\nX-Trouble: 1"},
                                          {"HTTP/1.1 600 Trouble\r\n"}};
        for (const auto &it : brokenFields())
            answers.push_back({"HTTP/1.1 200 OK\r\nX-First: 1\r\nX-Second: 2\r\n" + it + "\r\n"});
        // As a later line it continues the one before.
        std::erase_if(answers,
                      [](const auto &it) { return it.bytes.find("\r\n ") != std::string::npos; });
        expectBroken(answers);
    }

    void unusualAnswerIsNotRefused()
    {
        CaseReport report;
        for (const auto &it : testedClients()) {
            for (const auto &answer : soundAnswers("")) {
                const auto collector = call(*it, answer, report);
                report.expect(collector->end.result == UpstreamResult::Complete &&
                                      collector->status == answer.status &&
                                      collector->body == kSoundBody,
                              it->name() + ": " + visible(answer.bytes));
            }
        }
        report.check();
    }

    // Guards against a part of an answer that passes for the whole because a write has taken the
    // error of the reset, after which reads report an orderly end.
    void resetDuringTheUploadIsNoEndOfAnAnswer() { expectNoEnd(Cut::Reset); }

    // Guards against the end of a process that passes for the end of its answer: it had not read
    // the request.
    void closeBeforeTheUploadWasReadIsNoEndOfAnAnswer() { expectNoEnd(Cut::EndOfStream); }

    void closeAfterTheUploadEndsAnAnswer()
    {
        for (const auto &it : testedClients()) {
            for (const bool isEarly : {false, true}) {
                RawServer server([&](RawConnection &connection, int) {
                    const auto answer =
                            makeAnswer("HTTP/1.1 200 OK", "", BodyEnd::Close, kSoundBody);
                    if (isEarly)
                        connection.send(answer.bytes);
                    connection.readMessage();
                    if (!isEarly)
                        connection.send(answer.bytes);
                });
                const auto collector = std::make_shared<Collector>();
                send(*it, requestTo(server, kUploadBytes), collector);
                collector->waitEnd(Steady::now());
                CPPUNIT_ASSERT_MESSAGE(it->name(),
                                       collector->end.result == UpstreamResult::Complete);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(it->name(), kSoundBody, collector->body);
            }
        }
    }

    // Guards against an answer that is lost because its upstream takes no more of the request.
    void wholeAnswerBeforeTheEndOfTheUploadIsDelivered()
    {
        CaseReport report;
        for (const auto &it : testedClients()) {
            for (const int status : {200, 413}) {
                for (const auto cut : {Cut::Reset, Cut::EndOfStream}) {
                    for (const auto end : {BodyEnd::Length, BodyEnd::Chunks}) {
                        for (const std::size_t size : {std::size_t(6), std::size_t(50'000)})
                            expectWhole(*it, status, cut, end, size, report);
                    }
                }
            }
        }
        report.check();
    }

    // Guards against an answer that ends as complete without the part that a slow reader refused.
    void wholeAnswerThatWasNotTakenIsNotComplete()
    {
        for (const auto &it : testedClients()) {
            CaseReport ignored;
            const auto answer = makeAnswer("HTTP/1.1 200 OK", "", BodyEnd::Length, kSoundBody);
            const auto collector = std::make_shared<Collector>();
            collector->refusesBody = true;
            uploadAndCut(*it, answer.bytes, Cut::Reset, ignored, kUploadBytes, collector);
            CPPUNIT_ASSERT_MESSAGE(it->name(), collector->end.result != UpstreamResult::Complete);
        }
    }

    // Guards against a write that counts as refused, and against a list without nodes, because of
    // bytes that are no answer of the store or of the list.
    void brokenAnswerOfThePlatformIsNoAnswer()
    {
        const std::vector<std::pair<std::string, std::string>> answers = {
                {"HTTP/1.1 000 Trouble\r\n", ""},
                {"HTTP/1.1 200 OK\r\nX Trouble: 1\r\n", "Etag: \"7\"\r\n"},
                {"HTTP/1.1 412 Conflict\r\nContent-Length : 12\r\n", ""},
                {"HTTP/1.1 503 Full\r\nX\x01Trouble: 1\r\n", ""}};
        for (const auto &[head, fields] : answers) {
            const std::string bytes = head + fields + "Content-Length: 12\r\n\r\n{\"vms\":[]   }";
            RawServer server([&](RawConnection &it, int) { answerRaw(it, {bytes}); });
            for (const auto &it : testedClients()) {
                CountingMetrics metrics;
                std::promise<StoreError> written;
                std::promise<StoreError> read;
                std::promise<bool> listed;
                const auto start = Steady::now();
                it->run([&](UpstreamClient &client) {
                    HttpObjectStore store(client, metrics, server.url(), kCallTimeout);
                    store.put("a/b", "v", 1,
                              [&](const auto &result) { written.set_value(result.error); });
                    store.get("a/b", [&](const auto &result) { read.set_value(result.error); });
                    HttpVmList list(client, server.url(), kCallTimeout);
                    list.fetch([&](const auto &entries) { listed.set_value(entries.has_value()); });
                });
                CPPUNIT_ASSERT(written.get_future().get() == StoreError::Unknown);
                CPPUNIT_ASSERT(read.get_future().get() == StoreError::Unavailable);
                CPPUNIT_ASSERT(!listed.get_future().get());
                CPPUNIT_ASSERT_MESSAGE(visible(bytes), Steady::now() - start < kAtOnce);
            }
        }
    }

private:
    enum class Cut { Reset, EndOfStream };

    static std::shared_ptr<Collector> call(TestedClient &client, const RawAnswer &answer,
                                           CaseReport &report)
    {
        RawServer server([&](RawConnection &it, int) { answerRaw(it, answer); });
        const auto collector = std::make_shared<Collector>();
        const auto start = Steady::now();
        send(client, requestTo(server), collector);
        report.expect(collector->waitEnd(start) < kAtOnce,
                      client.name() + " waits: " + visible(answer.bytes));
        return collector;
    }

    static void expectNoEnd(Cut cut)
    {
        CaseReport report;
        for (const auto &it : testedClients()) {
            for (const std::size_t size : {kBufferedBytes, kUploadBytes}) {
                for (const auto end : {BodyEnd::Length, BodyEnd::Chunks, BodyEnd::Close}) {
                    const auto collector = uploadAndCut(*it, makePart("", end), cut, report, size);
                    report.expect(collector->end.result == UpstreamResult::Broken,
                                  fmt::format("{}: {} bytes, end {}", it->name(), size,
                                              static_cast<int>(end)));
                }
            }
        }
        report.check();
    }

    static void expectWhole(TestedClient &client, int status, Cut cut, BodyEnd end,
                            std::size_t size, CaseReport &report)
    {
        const std::string body(size, 'a');
        const auto answer = makeAnswer(fmt::format("HTTP/1.1 {} Early", status), "", end, body);
        const auto collector = uploadAndCut(client, answer.bytes, cut, report);
        report.expect(collector->body == body && collector->status == status &&
                              collector->end.result == UpstreamResult::Complete,
                      fmt::format("{}: status {}, cut {}, end {}, {} of {} bytes, {}",
                                  client.name(), status, static_cast<int>(cut),
                                  static_cast<int>(end), collector->body.size(), size,
                                  collector->end.message));
    }

    static void expectBroken(const std::vector<RawAnswer> &answers)
    {
        CaseReport report;
        for (const auto &it : testedClients()) {
            for (const auto &answer : answers) {
                const auto collector = call(*it, answer, report);
                report.expect(collector->end.result == UpstreamResult::Broken &&
                                      collector->end.httpStatus == 0 && collector->status == 0 &&
                                      collector->body.empty(),
                              it->name() + ": " + visible(answer.bytes));
            }
        }
        report.check();
    }

    /**
     * Uploads to a peer that sends @p answer and ends the connection without reading the body. The
     * client's thread sees all of it at once, while its socket takes no more of the upload.
     */
    static std::shared_ptr<Collector>
    uploadAndCut(TestedClient &client, const std::string &answer, Cut cut, CaseReport &report,
                 std::size_t uploadBytes = kUploadBytes,
                 std::shared_ptr<Collector> collector = std::make_shared<Collector>())
    {
        std::promise<void> begun;
        std::promise<void> heldUp;
        std::promise<void> ended;
        const auto isEnded = ended.get_future().share();
        const auto isHeldUp = heldUp.get_future().share();
        std::promise<void> done;
        const auto isDone = done.get_future().share();
        RawServer server([&](RawConnection &it, int) {
            it.readUntil("\r\n\r\n");
            begun.set_value();
            isHeldUp.wait_for(kPatience);
            it.send(answer);
            if (cut == Cut::Reset) {
                it.reset();
                ended.set_value();
                return;
            }
            it.endStream();
            ended.set_value();
            isDone.wait_for(kPatience);
        });
        send(client, requestTo(server, uploadBytes), collector);
        CPPUNIT_ASSERT(begun.get_future().wait_for(kPatience) == std::future_status::ready);
        client.holdUp(isEnded);
        heldUp.set_value();
        report.expect(collector->waitEnd(Steady::now()) < kAtOnce, client.name() + " waits");
        done.set_value();
        return collector;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BrokenAnswerTest);

} // namespace hawthornslip::test
