#pragma once

#include "tests/support/broken_answers.h"
#include "tests/support/raw_server.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <vector>

/** Checks of what callers get on their sockets while a worker sends bytes that are no answer. */
namespace hawthornslip::test {

using Answers = std::function<std::vector<RawAnswer>(const std::string &fields)>;

// More than the buffers of both sockets hold.
inline constexpr std::size_t kUploadBytes = 16 << 20;
inline constexpr std::chrono::seconds kPatience{10};

/** A process that passes requests on, seen from the socket of a caller. */
class CallerFront
{
public:
    virtual ~CallerFront() = default;
    virtual std::uint16_t port() const = 0;
    /** Lets the thread that reads answers wait for @p until, where that is possible. */
    virtual void holdUp(const std::shared_future<void> &) {}

    /** @return the bytes that a caller gets for a repeatable request with @p body. */
    std::string call(const std::string &body) const
    {
        auto caller = RawConnection::connectTo(port());
        caller.send("POST /v1/apps/shop/read"
                    " HTTP/1.1\r\nHost: h\r\nid: 1\r\nAuthorization: Bearer secret\r\n"
                    "X-Hawthornslip-Profile: chat\r\n" +
                    fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body));
        return caller.readMessage();
    }
};

inline std::vector<std::string> urlsOf(const RawServer &first, const RawServer &second,
                                       bool hasRetries)
{
    if (hasRetries)
        return {first.url(), second.url()};
    return {first.url()};
}

/** @return fields with which gateways and daemons take an answer to @p request for proven. */
inline std::string provingFields(const std::string &request)
{
    constexpr std::string_view kName = "x-request-id: ";
    std::string fields = "proof: 1\r\n";
    if (const auto at = request.find(kName); at != std::string::npos)
        fields += "X-Request-Id: " + request.substr(at + kName.size(), 32) + "\r\n";
    return fields;
}

inline void answerSound(RawConnection &it)
{
    it.send(makeAnswer("HTTP/1.1 200 OK", provingFields(it.readMessage()), BodyEnd::Close,
                       kSoundBody)
                    .bytes);
}

/** @return whether a caller got the answer of another attempt, or else the front's own refusal. */
inline bool isSoundOrFailed(const std::string &got, bool hasRetries)
{
    if (got.find(kBrokenBody) != std::string::npos || got.find("Trouble") != std::string::npos)
        return false;
    if (hasRetries)
        return got.starts_with("HTTP/1.1 200 ") && got.ends_with("\r\n\r\n" + kSoundBody);
    return got.starts_with("HTTP/1.1 502 ") && got.find("may_have_run") != std::string::npos;
}

template <typename AnyFront>
void expectNone(const Answers &answers)
{
    CaseReport report;
    for (const bool hasRetries : {true, false}) {
        for (std::size_t i = 0; i < answers("").size(); ++i) {
            // Whichever upstream is chosen first sends the broken answer.
            std::atomic<int> requests{0};
            const auto answer = [&](RawConnection &it, int) {
                if (requests++ > 0) {
                    answerSound(it);
                    return;
                }
                const auto broken = answers(provingFields(it.readMessage())).at(i);
                it.send(broken.bytes);
                if (!broken.closes)
                    it.waitClosed();
            };
            RawServer first(answer);
            RawServer second(answer);
            AnyFront front(urlsOf(first, second, hasRetries));
            const auto start = std::chrono::steady_clock::now();
            const auto got = front.call("x");
            const auto text = visible(answers("").at(i).bytes) + " as " + visible(got);
            report.expect(std::chrono::steady_clock::now() - start < kAtOnce, "waits: " + text);
            report.expect(isSoundOrFailed(got, hasRetries), text);
        }
    }
    report.check();
}

/** Resets an upload after a part of an answer whose end is told by @p end. */
template <typename AnyFront>
void expectNoPart(BodyEnd end, bool hasRetries)
{
    std::atomic<int> requests{0};
    std::promise<void> begun;
    std::promise<void> heldUp;
    std::promise<void> ended;
    const auto isHeldUp = heldUp.get_future().share();
    const auto isEnded = ended.get_future().share();
    const auto answer = [&](RawConnection &it, int) {
        if (requests++ > 0) {
            answerSound(it);
            return;
        }
        const auto head = it.readUntil("\r\n\r\n");
        begun.set_value();
        isHeldUp.wait_for(kPatience);
        it.send(makePart(provingFields(head), end));
        it.reset();
        ended.set_value();
    };
    RawServer first(answer);
    RawServer second(answer);
    AnyFront front(urlsOf(first, second, hasRetries));
    auto call = std::async(std::launch::async,
                           [&] { return front.call(std::string(kUploadBytes, 'u')); });
    CPPUNIT_ASSERT(begun.get_future().wait_for(kPatience) == std::future_status::ready);
    front.holdUp(isEnded);
    const auto start = std::chrono::steady_clock::now();
    heldUp.set_value();
    const auto got = call.get();
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start < kAtOnce);
    CPPUNIT_ASSERT_MESSAGE(visible(got), isSoundOrFailed(got, hasRetries));
}

template <typename AnyFront>
void expectNoPart()
{
    for (const auto end : {BodyEnd::Length, BodyEnd::Chunks, BodyEnd::Close}) {
        for (const bool hasRetries : {true, false})
            expectNoPart<AnyFront>(end, hasRetries);
    }
}

template <typename AnyFront>
void expectSound()
{
    CaseReport report;
    for (std::size_t i = 0; i < soundAnswers("").size(); ++i) {
        RawServer server([i](RawConnection &it, int) {
            it.send(soundAnswers(provingFields(it.readMessage())).at(i).bytes);
        });
        const auto expected = soundAnswers("").at(i);
        const auto got = AnyFront({server.url()}).call("x");
        const auto text = visible(expected.bytes) + " as " + visible(got);
        report.expect(got.starts_with(fmt::format("HTTP/1.1 {} ", expected.status)) &&
                              got.ends_with("\r\n\r\n" + kSoundBody),
                      text);
    }
    report.check();
}

} // namespace hawthornslip::test
