#include "tests/servers/request_path/path_fixture.h"

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace hawthornslip {

using test::PathFixture;

/** Retries, hedges, resumed streams and cancellation, with fake dependencies. */
class AttemptsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AttemptsTest);
    CPPUNIT_TEST(streamIsRelayedCompletely);
    CPPUNIT_TEST(connectFailureIsRetriedForAnyProfile);
    CPPUNIT_TEST(refusalByUpstreamIsRetriedForAnyProfile);
    CPPUNIT_TEST(refusalWithoutProofIsNotPassedOn);
    CPPUNIT_TEST(brokenOrderIsNotRetried);
    CPPUNIT_TEST(brokenRequestIsRetriedWithinBudget);
    CPPUNIT_TEST(brokenStreamResumesAfterItsTokens);
    CPPUNIT_TEST(brokenStreamIsNotJoinedFromTwoVersions);
    CPPUNIT_TEST(brokenStreamIsNotJoinedWithAnUnnamedVersion);
    CPPUNIT_TEST(preemptedStreamResumes);
    CPPUNIT_TEST(preemptionOfAnOrderIsIgnored);
    CPPUNIT_TEST(plainAnswerDoesNotCompleteABrokenStream);
    CPPUNIT_TEST(streamThatMayNotResumeReportsItsError);
    CPPUNIT_TEST(answerOfAnotherRequestIsDropped);
    CPPUNIT_TEST(eventOfAnotherRequestIsDropped);
    CPPUNIT_TEST(lateAnswerAfterRetryIsNotRelayed);
    CPPUNIT_TEST(hedgeWinsAndTheFirstAttemptIsCancelled);
    CPPUNIT_TEST(queuedRetryDoesNotBusyWait);
    CPPUNIT_TEST(largeApplicationAnswerIsStreamed);
    CPPUNIT_TEST(queuedRequestIsCancelledWhenCallerDisconnects);
    CPPUNIT_TEST(streamIsCancelledWhenCallerDisconnects);
    CPPUNIT_TEST(slowCallerPausesTheUpstream);
    CPPUNIT_TEST(idleStreamSendsComments);
    CPPUNIT_TEST(requestPastDeadlineInQueueIsNotRun);
    CPPUNIT_TEST(grantAfterCancelIsReleased);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against lost tokens, a missing end of stream and a grant that is not released.
    void streamIsRelayedCompletely()
    {
        PathFixture it;
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("a");
        });
        it.then([&] { it.call(0).token("b"); });
        it.then([&] { it.call(0).done(2); });
        auto answer = it.language("chat", true);
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        const auto text = PathFixture::readAll(answer);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), PathFixture::tokensOf(text));
        CPPUNIT_ASSERT(text.ends_with("data: [DONE]\n\n"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.admission.released.size());
        CPPUNIT_ASSERT(it.admission.released[0].result == AttemptResult::Complete);
        CPPUNIT_ASSERT_EQUAL(2U, it.admission.released[0].tokens);
        CPPUNIT_ASSERT(!it.call(0).cancelled);
        CPPUNIT_ASSERT_EQUAL(std::string("2"),
                             *findHeader(it.call(0).request.headers, "x-priority"));
    }

    // Guards I5 and the first row of the failure table: nothing was sent, so any profile retries.
    void connectFailureIsRetriedForAnyProfile()
    {
        PathFixture it;
        it.retries.budget = 0;
        it.then([&] { it.call(0).end(UpstreamResult::ConnectFailed); });
        it.then([&] {
            it.call(1).headers(200, "text/plain");
            it.call(1).handler->onData("ok");
            it.call(1).end(UpstreamResult::Complete);
        });
        const auto answer = it.application("order");
        CPPUNIT_ASSERT_EQUAL(200, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), answer.body);
        CPPUNIT_ASSERT_EQUAL(std::string("http://e2/orders/7?q=1"), it.call(1).request.url);
        CPPUNIT_ASSERT(it.call(1).request.sendOnce);
    }

    // Guards against an order that is not retried although the upstream reported that it did not
    // run.
    void refusalByUpstreamIsRetriedForAnyProfile()
    {
        PathFixture it;
        it.then([&] {
            it.call(0).headers(503, "text/plain", {{"x-execution", "not_run"}});
            it.call(0).end(UpstreamResult::Complete);
        });
        it.then([&] {
            it.call(1).headers(429, "text/plain", {{"x-execution", "not_run"}});
            it.call(1).end(UpstreamResult::Complete);
        });
        it.retries.budget = 1;
        const auto answer = it.application("order");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.upstream.calls.size());
        assertError(answer, 502, "upstream_refused", "not_run");
        CPPUNIT_ASSERT(answerHeader(answer, "Retry-After") != nullptr);
    }

    // Guards against a caller that is told by a status that its order has not run, although the
    // upstream does not state that.
    void refusalWithoutProofIsNotPassedOn()
    {
        for (const int status : {408, 421, 429, 503}) {
            PathFixture it;
            it.then([&] {
                it.call(0).headers(status, "text/plain", {});
                it.call(0).end(UpstreamResult::Complete);
            });
            const auto answer = it.application("order");
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.upstream.calls.size());
            assertError(answer, 502, "upstream_failed", "may_have_run");
        }
    }

    // Guards I4 and I5: an order whose connection failed may have run and is never retried.
    void brokenOrderIsNotRetried()
    {
        PathFixture it;
        it.then([&] { it.call(0).end(UpstreamResult::Broken); });
        const auto answer = it.application("order");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.upstream.calls.size());
        assertError(answer, 502, "upstream_failed", "may_have_run");
    }

    // Guards against retries beyond the retry budget.
    void brokenRequestIsRetriedWithinBudget()
    {
        PathFixture it;
        it.retries.budget = 1;
        it.then([&] { it.call(0).end(UpstreamResult::Broken); });
        it.then([&] { it.call(1).end(UpstreamResult::FirstByteTimeout); });
        const auto answer = it.language("chat", true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.upstream.calls.size());
        assertError(answer, 504, "upstream_timeout", "may_have_run");
        CPPUNIT_ASSERT_EQUAL(1.0, it.metrics.sum("hawthornslip_retries_total"));
        CPPUNIT_ASSERT(it.admission.released[1].result == AttemptResult::TimedOut);
    }

    // Guards I3: no token is lost or duplicated when a stream resumes at another upstream.
    void brokenStreamResumesAfterItsTokens()
    {
        PathFixture it;
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("a");
            it.call(0).token("b");
            it.call(0).handler->onData("data: {\"id\":\"cut of");
            it.call(0).end(UpstreamResult::Broken);
        });
        it.then([&] {
            it.call(1).streamHeaders();
            it.call(1).token("");
            it.call(1).token("c");
            it.call(1).done(3);
        });
        auto answer = it.language("chat", true);
        const auto text = PathFixture::readAll(answer);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), PathFixture::tokensOf(text));
        CPPUNIT_ASSERT(text.ends_with("data: [DONE]\n\n"));
        const auto body = nlohmann::json::parse(it.call(1).request.body);
        CPPUNIT_ASSERT_EQUAL(2, body.at("resume_after_tokens").get<int>());
        CPPUNIT_ASSERT_EQUAL(it.call(0).requestId(), it.call(1).requestId());
        CPPUNIT_ASSERT_EQUAL(2U, it.admission.asks[1].tokensDone);
    }

    void brokenStreamIsNotJoinedFromTwoVersions()
    {
        for (const bool isVersionLeft : {true, false}) {
            PathFixture it;
            auto config = std::make_shared<SharedConfig>(*it.config.config);
            config->upstreams[0].softwareVersion = "v1";
            config->upstreams[1].softwareVersion = "v2";
            config->upstreams[2].softwareVersion = isVersionLeft ? "v1" : "v2";
            it.config.config = config;
            it.then([&] {
                it.call(0).streamHeaders();
                it.call(0).token("a");
                it.call(0).end(UpstreamResult::Broken);
            });
            if (isVersionLeft)
                it.then([&] {
                    it.call(1).streamHeaders();
                    it.call(1).token("b");
                    it.call(1).done(2);
                });
            auto answer = it.language("chat", true);
            const auto text = PathFixture::readAll(answer);
            CPPUNIT_ASSERT_EQUAL(std::string(isVersionLeft ? "ab" : "a"),
                                 PathFixture::tokensOf(text));
            CPPUNIT_ASSERT_EQUAL(isVersionLeft, text.ends_with("data: [DONE]\n\n"));
            CPPUNIT_ASSERT_EQUAL(std::size_t(isVersionLeft ? 2 : 1), it.upstream.calls.size());
            if (isVersionLeft)
                CPPUNIT_ASSERT(it.call(1).request.url.starts_with("http://e3"));
        }
    }

    void brokenStreamIsNotJoinedWithAnUnnamedVersion()
    {
        PathFixture it;
        auto config = std::make_shared<SharedConfig>(*it.config.config);
        config->upstreams[2].softwareVersion = "v2";
        it.config.config = config;
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("a");
            it.call(0).end(UpstreamResult::Broken);
        });
        auto answer = it.language("chat", true);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), PathFixture::tokensOf(PathFixture::readAll(answer)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.upstream.calls.size());
    }

    // Guards against a preempted stream that is cut off, or that keeps its slot instead of yielding
    // it to the order.
    void preemptedStreamResumes()
    {
        PathFixture it;
        it.retries.budget = 0;
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("a");
        });
        it.then([&] {
            it.admission.hold = true;
            it.admission.preempts[0]();
        });
        it.then([&] {
            CPPUNIT_ASSERT(it.call(0).cancelled);
            CPPUNIT_ASSERT(it.admission.released.at(0).result == AttemptResult::Preempted);
            it.call(0).token("late");
            it.admission.grant(1);
        });
        it.then([&] {
            it.call(1).streamHeaders();
            it.call(1).token("b");
            it.call(1).done(2);
        });
        auto answer = it.language("chat", true);
        const auto text = PathFixture::readAll(answer);
        CPPUNIT_ASSERT_EQUAL(std::string("ab"), PathFixture::tokensOf(text));
        CPPUNIT_ASSERT(text.ends_with("data: [DONE]\n\n"));
    }

    // Guards I1 and I5: an order is not interrupted, even when the group owner preempts it.
    void preemptionOfAnOrderIsIgnored()
    {
        PathFixture it;
        it.then([&] { it.admission.preempts[0](); });
        it.then([&] {
            it.call(0).headers(200, "text/plain");
            it.call(0).handler->onData("ok");
            it.call(0).end(UpstreamResult::Complete);
        });
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), it.application("order").body);
        CPPUNIT_ASSERT(!it.call(0).cancelled);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.upstream.calls.size());
    }

    // Guards against a stream that ends without its error or its rest because the next upstream
    // answers with something else.
    void plainAnswerDoesNotCompleteABrokenStream()
    {
        for (const int status : {200, 302, 400, 404, 500, 503}) {
            PathFixture it;
            it.retries.budget = 1;
            it.then([&] {
                it.call(0).streamHeaders();
                it.call(0).token("a");
                it.call(0).end(UpstreamResult::Broken);
            });
            it.then([&] {
                it.call(1).headers(status, "application/json");
                it.call(1).handler->onData(R"({"error":"text of the error"})");
                it.call(1).end(UpstreamResult::Complete);
            });
            auto answer = it.language("chat", true);
            const auto text = PathFixture::readAll(answer);
            const std::string name = fmt::format("{}: {}", status, text);
            CPPUNIT_ASSERT_MESSAGE(name, text.find("text of the error") == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(name, text.find("[DONE]") == std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(name,
                                   text.find(R"("code":"upstream_failed")") != std::string::npos);
        }
    }

    // Guards against a truncated stream that looks complete to its caller.
    void streamThatMayNotResumeReportsItsError()
    {
        PathFixture it;
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("a");
            it.call(0).end(UpstreamResult::Complete);
        });
        auto answer = it.language("plain", true);
        const auto text = PathFixture::readAll(answer);
        CPPUNIT_ASSERT(text.find(R"("code":"upstream_failed")") != std::string::npos);
        CPPUNIT_ASSERT(text.find("[DONE]") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.upstream.calls.size());
        answer.stream.reset();
        CPPUNIT_ASSERT_EQUAL(1.0, it.metrics.sum("hawthornslip_tokens_total/use=wasted"));
    }

    // Guards I3: an answer whose header has another request's id is never relayed.
    void answerOfAnotherRequestIsDropped()
    {
        PathFixture it;
        it.then([&] {
            it.call(0).headers(200, "text/plain", {{"x-request-id", "other"}});
            it.call(0).handler->onData("secret of another caller");
            it.call(0).end(UpstreamResult::Complete);
        });
        const auto answer = it.application("order");
        assertError(answer, 502, "answer_mismatch", "may_have_run");
        CPPUNIT_ASSERT(answer.body.find("secret") == std::string::npos);
        CPPUNIT_ASSERT_EQUAL(1.0, it.metrics.sum("hawthornslip_mismatched_answers_total"));
        CPPUNIT_ASSERT(it.call(0).cancelled);
    }

    // Guards I3: an event of another request is dropped, and the stream resumes at another upstream
    // to get the token that the event replaced.
    void eventOfAnotherRequestIsDropped()
    {
        PathFixture it;
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("a");
            it.call(0).token("X", "other");
            it.call(0).token("c");
        });
        it.then([&] {
            it.call(1).streamHeaders();
            it.call(1).token("b");
            it.call(1).token("c");
            it.call(1).done(3);
        });
        auto answer = it.language("chat", true);
        CPPUNIT_ASSERT_EQUAL(std::string("abc"),
                             PathFixture::tokensOf(PathFixture::readAll(answer)));
        CPPUNIT_ASSERT_EQUAL(1.0, it.metrics.sum("hawthornslip_mismatched_answers_total"));
    }

    // Guards I3: the first upstream answers after its attempt timed out.
    void lateAnswerAfterRetryIsNotRelayed()
    {
        PathFixture it;
        it.then([&] { it.call(0).end(UpstreamResult::FirstByteTimeout); });
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("late");
            it.call(1).streamHeaders();
            it.call(1).token("a");
            it.call(1).done(1);
        });
        auto answer = it.language("chat", true);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), PathFixture::tokensOf(PathFixture::readAll(answer)));
    }

    // Guards against relaying both a hedge and the first attempt, or leaving the loser running.
    void hedgeWinsAndTheFirstAttemptIsCancelled()
    {
        PathFixture it;
        it.retries.delay = milliseconds(100);
        it.then([&] { it.clock.advance(milliseconds(100)); });
        it.then([&] {
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.upstream.calls.size());
            it.call(1).streamHeaders();
            it.call(1).token("a");
        });
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("z");
            it.call(1).done(1);
        });
        auto answer = it.language("chat", true);
        CPPUNIT_ASSERT_EQUAL(std::string("a"), PathFixture::tokensOf(PathFixture::readAll(answer)));
        CPPUNIT_ASSERT(it.call(0).cancelled);
        CPPUNIT_ASSERT(!it.call(1).cancelled);
        CPPUNIT_ASSERT_EQUAL(std::string("http://e2/v1/chat/completions"), it.call(1).request.url);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), it.admission.released.size());
    }

    // Guards against busy waiting: a hedge timer left over from a failed attempt keeps the queued
    // retry awake.
    void queuedRetryDoesNotBusyWait()
    {
        PathFixture it;
        it.retries.delay = milliseconds(100);
        it.then([&] {
            it.admission.hold = true;
            it.call(0).end(UpstreamResult::ConnectFailed);
        });
        assertError(it.language("chat", true), 504, "deadline_exceeded", "not_run");
        CPPUNIT_ASSERT(it.link->waits < 10);
    }

    // Guards against buffering large answers in memory, and a truncated one that looks complete.
    void largeApplicationAnswerIsStreamed()
    {
        for (const bool cut : {false, true}) {
            PathFixture it;
            const std::string piece(40 << 10, 'x');
            it.then([&] {
                it.call(0).headers(200, "application/zip");
                it.call(0).handler->onData(piece);
            });
            it.then([&] { it.call(0).handler->onData(piece); });
            it.then([&] { it.call(0).handler->onData("end"); });
            it.then([&] {
                it.call(0).end(cut ? UpstreamResult::Broken : UpstreamResult::Complete);
            });
            auto answer = it.application("chat", "GET");
            CPPUNIT_ASSERT(answer.stream != nullptr);
            CPPUNIT_ASSERT_EQUAL(std::string("application/zip"),
                                 *findHeader(answer.headers, "content-type"));
            bool broken = false;
            const auto body = PathFixture::readAll(answer, &broken);
            CPPUNIT_ASSERT(body == piece + piece + "end");
            CPPUNIT_ASSERT_EQUAL(cut, broken);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.upstream.calls.size());
        }
    }

    // Guards against running a queued request whose caller has disconnected.
    void queuedRequestIsCancelledWhenCallerDisconnects()
    {
        PathFixture it;
        it.admission.hold = true;
        it.then([&] { it.link->present = false; });
        assertError(it.language("chat", true), 499, "caller_gone", "not_run");
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.admission.cancelled.size());
        CPPUNIT_ASSERT(it.upstream.calls.empty());
    }

    // Guards against an upstream that keeps generating after the caller disconnected.
    void streamIsCancelledWhenCallerDisconnects()
    {
        PathFixture it;
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("a");
        });
        it.then([&] { it.link->present = false; });
        auto answer = it.language("chat", true);
        bool broken = false;
        PathFixture::readAll(answer, &broken);
        CPPUNIT_ASSERT(broken);
        CPPUNIT_ASSERT(it.call(0).cancelled);
        CPPUNIT_ASSERT(it.admission.released.at(0).result == AttemptResult::Cancelled);

        PathFixture dropped;
        dropped.then([&] {
            dropped.call(0).streamHeaders();
            dropped.call(0).token("a");
        });
        dropped.language("chat", true).stream.reset();
        CPPUNIT_ASSERT(dropped.call(0).cancelled);
        CPPUNIT_ASSERT_EQUAL(1.0,
                             dropped.metrics.sum("hawthornslip_requests_total/result=caller_gone"));
    }

    // Guards against unbounded buffering for a slow caller.
    void slowCallerPausesTheUpstream()
    {
        PathFixture it;
        it.settings.relayBufferBytes = 300;
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("a");
        });
        auto answer = it.language("chat", true);
        CPPUNIT_ASSERT(it.call(0).token("b"));
        CPPUNIT_ASSERT(it.call(0).token("c"));
        CPPUNIT_ASSERT(!it.call(0).token("d"));
        it.then([&] { it.call(0).token("d"); });
        it.then([&] { it.call(0).done(4); });
        CPPUNIT_ASSERT_EQUAL(std::string("abcd"),
                             PathFixture::tokensOf(PathFixture::readAll(answer)));
        CPPUNIT_ASSERT(it.call(0).resumed >= 1);
    }

    // Guards against an idle stream, on which a disconnected caller is not detected.
    void idleStreamSendsComments()
    {
        PathFixture it;
        it.then([&] {
            it.call(0).streamHeaders();
            it.call(0).token("a");
        });
        auto answer = it.language("chat", true);
        std::string buffer(256, '\0');
        answer.stream->read(buffer.data(), buffer.size());
        const auto before = it.clock.now();
        const auto part = answer.stream->read(buffer.data(), buffer.size());
        CPPUNIT_ASSERT_EQUAL(std::string(": waiting\n\n"), buffer.substr(0, part.bytes));
        CPPUNIT_ASSERT(it.clock.now() - before <= it.settings.commentInterval);
    }

    // Guards against a request that waits beyond its deadline.
    void requestPastDeadlineInQueueIsNotRun()
    {
        PathFixture it;
        it.admission.hold = true;
        const auto before = it.clock.now();
        assertError(it.language("chat", true, {{"x-hawthornslip-deadline-ms", "250"}}), 504,
                    "deadline_exceeded", "not_run");
        CPPUNIT_ASSERT(it.clock.now() - before == milliseconds(250));
    }

    // Guards against leaking a slot when the caller disconnects while its grant is in flight.
    void grantAfterCancelIsReleased()
    {
        PathFixture it;
        it.admission.hold = true;
        it.then([&] { it.link->present = false; });
        it.language("chat", true);
        it.admission.grant(0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), it.admission.released.size());
        CPPUNIT_ASSERT(it.admission.released[0].result == AttemptResult::Unused);
        CPPUNIT_ASSERT(it.upstream.calls.empty());
    }

private:
    static const std::string *answerHeader(const HttpResponse &answer, const std::string &name)
    {
        return findHeader(answer.headers, name);
    }

    static void assertError(const HttpResponse &answer, int status, const std::string &code,
                            const std::string &execution)
    {
        CPPUNIT_ASSERT_EQUAL(status, answer.status);
        const auto error = nlohmann::json::parse(answer.body).at("error");
        CPPUNIT_ASSERT_EQUAL(code, error.at("code").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(execution, error.at("execution").get<std::string>());
        CPPUNIT_ASSERT_EQUAL(execution, *answerHeader(answer, "X-Hawthornslip-Execution"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AttemptsTest);

} // namespace hawthornslip
