#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornslip {

/** What is wrong with an answer. */
struct AnswerFaults
{
    /** Another request's id or mark appeared. */
    bool crossed = false;
    bool missing = false;
    bool repeated = false;
    /** It ended before its end mark, or with another number of tokens. */
    bool notWhole = false;

    bool any() const { return crossed || missing || repeated || notWhole; }
};

/** Reads the answer to one request piece by piece and checks each token. */
class AnswerChecker
{
public:
    /** Code of an error answer that names none. */
    static constexpr const char *kUnnamedError = "unnamed";

    /**
     * @param streamed whether server-sent events are expected.
     * @param marker the mark that an application's answer has to repeat; empty for a language
     *               request.
     * @param tokens expected number of tokens of a language request.
     */
    AnswerChecker(bool streamed, std::string marker, std::uint32_t tokens);

    /** Takes the answer's status. */
    void begin(int status);

    /** Takes a piece of the body. */
    void add(std::string_view piece);

    /** Takes the end. @param complete whether the connection ended in order. */
    void finish(bool complete);

    const AnswerFaults &faults() const { return m_faults; }
    /** @return the request id that the answer bears. */
    const std::string &requestId() const { return m_id; }
    /** @return the tokens received in order. */
    std::uint32_t tokens() const { return m_tokens; }
    /** @return true when the answer is whole and without faults. */
    bool good() const { return m_finished && !m_faults.any() && m_errorCode.empty(); }
    /** @return the code and execution of an error, in the body or as a last event. */
    const std::string &errorCode() const { return m_errorCode; }
    const std::string &errorExecution() const { return m_errorExecution; }

private:
    void takeEvents();
    void takeEvent(std::string_view data);
    void takeWhole();
    void takeId(const std::string &id);
    void takeContent(const std::string &content);
    void takeError(const std::string &code, const std::string &execution);

    bool m_streamed;
    std::string m_marker;
    std::uint32_t m_expected;
    bool m_ok = false;
    bool m_finished = false;
    bool m_endSeen = false;
    std::string m_id;
    std::string m_buffer;
    std::uint32_t m_tokens = 0;
    AnswerFaults m_faults;
    std::string m_errorCode;
    std::string m_errorExecution;
};

} // namespace hawthornslip
