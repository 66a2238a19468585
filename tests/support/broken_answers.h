#pragma once

#include <cppunit/extensions/HelperMacros.h>
#include <fmt/format.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

/** Bytes that no HTTP/1.1 answer can consist of, and sound ones that look alike. */
namespace hawthornslip::test {

using namespace std::string_literals; // NOLINT(google-build-using-namespace)

/** The only part of a broken answer that a caller could take for its body. */
inline const std::string kBrokenBody = "secret";
inline const std::string kSoundBody = "answer";

/** A broken answer is recognised from its bytes, without waiting for any timeout. */
inline constexpr std::chrono::seconds kAtOnce{2};
inline constexpr std::chrono::seconds kCallTimeout{4};

/** How the end of a body is told. */
enum class BodyEnd { Length, Chunks, Close };

struct RawAnswer
{
    std::string bytes;
    /** The upstream closes the connection after the bytes; otherwise it stays open. */
    bool closes = false;
    int status = 200;
};

/** @return an answer with @p body whose end is told by @p end. */
inline RawAnswer makeAnswer(const std::string &statusLine, const std::string &fields, BodyEnd end,
                            const std::string &body)
{
    std::string bytes = statusLine + "\r\n" + fields;
    if (end == BodyEnd::Length)
        bytes += fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    else if (end == BodyEnd::Chunks)
        bytes += fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                             body.size(), body);
    else
        bytes += "Connection: close\r\n\r\n" + body;
    return {bytes, end == BodyEnd::Close};
}

/** @return lines that are no field of a head. */
inline std::vector<std::string> brokenFields()
{
    return {"X-Trouble : 1",
            "X Trouble: 1",
            "X\tTrouble: 1",
            "X\x01Trouble: 1",
            "X\x7fTrouble: 1",
            "X\0Trouble: 1"s,
            "X\rTrouble: 1",
            "X\xe4Trouble: 1",
            ": 1",
            "no colon",
            " X-Trouble: 1",
            "X-Trouble: a\0b"s,
            "X-Trouble: a\rb",
            "X-Trouble: a\x01"
            "b",
            "X-Trouble: a\x7f"
            "b"};
}

/**
 * @param fields sound fields of the head, each with its line end.
 * @return answers that are none because of their status line.
 */
inline std::vector<RawAnswer> brokenStatusLines(const std::string &fields)
{
    std::vector<RawAnswer> answers;
    for (const auto end : {BodyEnd::Length, BodyEnd::Chunks, BodyEnd::Close}) {
        for (const std::string line :
             {"HTTP/1.1 000 Trouble", "HTTP/1.1 001 Trouble", "HTTP/1.1 099 Trouble",
              "HTTP/1.1 101 Trouble", "HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble",
              "HTTP/1.1 20 Trouble", "HTTP/1.1 2000 Trouble", "HTTP/1.1 2x0 Trouble",
              "HTTP/1.1 -20 Trouble", "HTTP/1.1  200 Trouble", " HTTP/1.1 200 Trouble",
              "HTTP/1.1\t200 Trouble", "HTTP/1.1 200 Tr\x01uble", "HTTP/3.7 200 Trouble",
              "Trouble"})
            answers.push_back(makeAnswer(line, fields, end, kBrokenBody));
    }
    return answers;
}

/** @return answers that are none because of another line of their head, or of an interim one. */
inline std::vector<RawAnswer> brokenHeads(const std::string &fields)
{
    std::vector<RawAnswer> answers;
    for (const auto end : {BodyEnd::Length, BodyEnd::Chunks, BodyEnd::Close}) {
        for (const auto &it : brokenFields()) {
            answers.push_back(
                    makeAnswer("HTTP/1.1 200 OK", it + "\r\n" + fields, end, kBrokenBody));
            auto interim = makeAnswer("HTTP/1.1 200 OK", fields, end, kBrokenBody);
            interim.bytes = "HTTP/1.1 100 Continue\r\n" + it + "\r\n\r\n" + interim.bytes;
            answers.push_back(interim);
        }
    }
    return answers;
}

/** @return answers whose head tells the end of the body in two ways, or in none that is known. */
inline std::vector<RawAnswer> unclearEnds(const std::string &fields)
{
    const std::string chunks = "6\r\n" + kBrokenBody + "\r\n0\r\n\r\n";
    std::vector<RawAnswer> answers;
    for (const auto &[lines, body] : std::vector<std::pair<std::string, std::string>>{
                 {"Content-Length: 6\r\nContent-Length: 7\r\n", kBrokenBody},
                 {"Content-Length: 6, 7\r\n", kBrokenBody},
                 {"Content-Length: 6x\r\n", kBrokenBody},
                 {"Content-Length: -6\r\n", kBrokenBody},
                 {"Content-Length: \r\n", kBrokenBody},
                 {"Content-Length: 6\r\nTransfer-Encoding: chunked\r\n", chunks},
                 {"Transfer-Encoding: chunked\r\nContent-Length: 6\r\n", chunks},
                 {"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks},
                 {"Transfer-Encoding : chunked\r\n", chunks},
                 {"Transfer-Encoding: gzip\r\n", kBrokenBody},
                 {"Transfer-Encoding: gzip\r\nContent-Length: 6\r\n", kBrokenBody},
                 {"Transfer-Encoding: chunked, gzip\r\n", chunks},
                 {"Content-Length : 6\r\n", kBrokenBody}}) {
        for (const bool closes : {false, true})
            answers.push_back({"HTTP/1.1 200 OK\r\n" + fields + lines + "\r\n" + body, closes});
    }
    return answers;
}

/** @return answers with a sound head and body and a broken line in the trailers. */
inline std::vector<RawAnswer> brokenTrailers(const std::string &fields)
{
    std::vector<RawAnswer> answers;
    for (const auto &it : brokenFields()) {
        // A line that begins with a blank would continue the line before.
        const std::string first = it.starts_with(' ') ? "" : "X-First: 1\r\n";
        answers.push_back({"HTTP/1.1 200 OK\r\n" + fields +
                           "Transfer-Encoding: chunked\r\n\r\n6\r\n" + kBrokenBody + "\r\n0\r\n" +
                           first + it + "\r\n\r\n"});
    }
    return answers;
}

/** @return an answer that ends after a part of its body. */
inline std::string makePart(const std::string &fields, BodyEnd end)
{
    const std::string head = "HTTP/1.1 200 OK\r\n" + fields;
    if (end == BodyEnd::Length)
        return head + "Content-Length: 60\r\n\r\n" + kBrokenBody;
    if (end == BodyEnd::Chunks)
        return head + "Transfer-Encoding: chunked\r\n\r\n6\r\n" + kBrokenBody + "\r\n";
    return head + "\r\n" + kBrokenBody;
}

/** @return unusual answers with @c kSoundBody that are sound. */
inline std::vector<RawAnswer> soundAnswers(const std::string &fields)
{
    std::vector<RawAnswer> answers;
    const std::string ok = "HTTP/1.1 200 OK";
    for (const auto end : {BodyEnd::Length, BodyEnd::Chunks, BodyEnd::Close}) {
        for (const auto &[line, status] :
             std::vector<std::pair<std::string, int>>{{ok, 200},
                                                      {"HTTP/1.1 200 ", 200},
                                                      {"HTTP/1.1 299 \xe4 x", 299},
                                                      {"HTTP/1.0 200 OK", 200},
                                                      {"HTTP/1.1 418 ", 418},
                                                      {"HTTP/1.1 499 x", 499}}) {
            answers.push_back(makeAnswer(line, fields, end, kSoundBody));
            answers.back().status = status;
        }
        for (const std::string line :
             {"!#$%&'*+-.^_`|~0aZ: 1", "X-Empty:", "X-Blank: \t ", "X-Text: \xe4\x80\xff",
              "X-Tab: a\tb", "X-Folded: a\r\n b", "X-Same: 1\r\nX-Same: 2"})
            answers.push_back(makeAnswer(ok, line + "\r\n" + fields, end, kSoundBody));
        for (const std::string head :
             {"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
              "HTTP/1.1 199 \r\n\r\nHTTP/1.1 100 \r\n\r\n"}) {
            answers.push_back(makeAnswer(ok, fields, end, kSoundBody));
            answers.back().bytes.insert(0, head);
        }
    }
    for (const std::string lines : {"Content-Length: 6\r\nContent-Length: 6\r\n\r\n",
                                    "Content-Length: 6, 6\r\n\r\n", "content-length:6\r\n\r\n"})
        answers.push_back({ok + "\r\n" + fields + lines + kSoundBody});
    answers.push_back({ok + "\r\n" + fields + "Transfer-Encoding: CHUNKED\r\n\r\n06;a=b\r\n" +
                       kSoundBody + "\r\n0\r\nX-Trailer: 1\r\nX-Last:2\r\n\r\n"});
    for (auto &it : answers)
        it.closes = true;
    return answers;
}

/** @return the bytes of an answer with its control bytes made visible. */
inline std::string visible(const std::string &bytes)
{
    std::string text;
    for (const char it : bytes) {
        const auto byte = static_cast<unsigned char>(it);
        text += byte < 0x20 || byte > 0x7e ? fmt::format("<{:02x}>", byte) : std::string(1, it);
    }
    return text;
}

/** Collects what is wrong in a table of cases, so that one run shows all of it. */
class CaseReport
{
public:
    void expect(bool holds, const std::string &text)
    {
        if (!holds)
            m_failures += "\n" + text;
    }
    /** Fails the test when a case has failed. */
    void check() const { CPPUNIT_ASSERT_EQUAL(std::string(), m_failures); }

private:
    std::string m_failures;
};

} // namespace hawthornslip::test
