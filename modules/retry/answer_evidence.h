#pragma once

#include "core/interfaces/wire_dialect.h"
#include "modules/retry/execution_tracker.h"

#include <cstdint>
#include <string_view>

namespace hawthornslip {

/** Where the body of an answer ended that its framing says is complete. */
struct AnswerEnding
{
    /** The answer is a stream of events. */
    bool isStream = false;
    /** Complete events of the stream. */
    std::uint64_t events = 0;
    /** The last bytes belong to an event that is not complete. */
    bool hasPartialEvent = false;
    /** The answer has neither a length nor chunks and ended with its connection. */
    bool endedByClose = false;
};

/**
 * What the answer of an upstream proves: whether its request has run, whether the answer is the
 * upstream's and complete, and whether the upstream leaves. A status that tells the caller "not
 * run" proves nothing by itself.
 */
class AnswerEvidence
{
public:
    /** No answer yet. */
    AnswerEvidence() = default;
    AnswerEvidence(int status, const ResponseMeta &meta);

    /** @return the HTTP status, 0 before the answer. */
    int status() const { return m_status; }

    /** @return what the head says. */
    const ResponseMeta &meta() const { return m_meta; }

    /** @return true when the answer has the stamp of an upstream. */
    bool hasStamp() const { return m_meta.hasResponseStamp; }

    /** @return true when the upstream states that it has not run the request. */
    bool isNotRun() const { return m_meta.certainlyNotRun; }

    /** @return true when the upstream states that it leaves, whatever became of the request. */
    bool isLeaving() const { return m_meta.isLeaving; }

    /** @return true when the address belongs to another upstream by now. */
    bool isOtherUpstream() const { return m_meta.isMisdirected; }

    /**
     * @return true when the caller may get this answer: a success has the upstream's stamp, and a
     *         status that promises "not run" comes with the statement that it has not.
     */
    bool isProven() const;

    /** @return true when the answer is a failure after the request may have run. */
    bool isFailure() const;

    /** @return the state of the attempt once the answer is complete. */
    AttemptState stateWhenComplete() const;

    /**
     * Checks what the framing of an answer does not show.
     *
     * @return what is missing at the end of the answer, or an empty text when it is complete.
     */
    static std::string_view findMissingPart(const AnswerEnding &ending);

private:
    int m_status = 0;
    ResponseMeta m_meta;
};

} // namespace hawthornslip
