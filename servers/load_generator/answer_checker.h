#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornslip {

/** The kinds of damage found in an answer. */
struct AnswerFaults
{
    /** The answer has content, an id or a marker that does not belong to the request. */
    bool crossed = false;
    /** One token was skipped; a larger gap counts as crossed. */
    bool missing = false;
    /** A token came twice, or an event followed the end of the stream. */
    bool repeated = false;
    /** It ended early, with another number of tokens, or was not valid JSON. */
    bool incomplete = false;

    bool any() const { return crossed || missing || repeated || incomplete; }
};

/** Parses the answer to one request incrementally and checks each token. */
class AnswerChecker
{
public:
    /** Stands for the code of an error answer that has none. */
    static constexpr const char *kMissingErrorCode = "unnamed";

    /**
     * @param streamed whether server-sent events are expected.
     * @param marker value that an application's answer must return as `user`; empty for a language
     *               request.
     * @param tokens expected number of tokens of a language request.
     */
    AnswerChecker(bool streamed, std::string marker, std::uint32_t tokens);

    /** Starts the answer. @param status HTTP status; 300 and above is an error answer. */
    void begin(int status);

    /** Adds a piece of the body. */
    void add(std::string_view piece);

    /** Ends the answer. @param complete whether the response was received to its end. */
    void finish(bool complete);

    const AnswerFaults &faults() const { return m_faults; }
    /** @return the request id in the answer. */
    const std::string &requestId() const { return m_id; }
    /** @return the position after the last valid token; the token count of a faultless answer. */
    std::uint32_t tokens() const { return m_tokens; }
    /** @return true when the answer is complete and without faults or error. */
    bool succeeded() const { return m_finished && !m_faults.any() && m_errorCode.empty(); }
    /** @return the code of an error answer or error event; empty without error. */
    const std::string &errorCode() const { return m_errorCode; }
    /** @return the error's execution state, such as `not_run`; empty when it has none. */
    const std::string &errorExecution() const { return m_errorExecution; }

private:
    void parseEvents();
    void parseEvent(std::string_view data);
    void parseBody();
    void checkId(const std::string &id);
    void checkContent(const std::string &content);
    void setError(const std::string &code, const std::string &execution);

    bool m_streamed;
    std::string m_marker;
    std::uint32_t m_expectedTokens;
    bool m_statusOk = false;
    bool m_finished = false;
    bool m_endReceived = false;
    std::string m_id;
    std::string m_buffer;
    std::uint32_t m_tokens = 0;
    AnswerFaults m_faults;
    std::string m_errorCode;
    std::string m_errorExecution;
};

} // namespace hawthornslip
