#pragma once

#include "servers/request_path/event_stream_parser.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornslip {

/** Validates the events of one attempt's stream and selects those to relay. */
class StreamReader
{
public:
    /** The result of reading a piece of the stream. */
    struct ReadResult
    {
        /** Complete events to relay. */
        std::string text;
        std::uint32_t tokens = 0;
        /** The first token or a finish reason was received, in this or an earlier piece. */
        bool started = false;
        /** The last event was received and no token is missing. */
        bool done = false;
        /** The stream is invalid and must not be read further. */
        bool broken = false;
        /** Events of other requests, which were dropped. */
        std::uint32_t mismatches = 0;
    };

    /**
     * Prepares for a new stream.
     *
     * @param id the id that each event must have.
     * @param tokensBefore number of tokens relayed by earlier attempts.
     */
    void begin(std::string id, std::uint32_t tokensBefore);

    /**
     * Reads the next bytes of the body.
     *
     * @param stopAtMismatch whether an event of another request, which may replace one of this
     *        request, breaks the stream. Set when the stream can be resumed elsewhere.
     */
    ReadResult read(std::string_view bytes, bool stopAtMismatch);

private:
    void processEvent(const EventStreamParser::Event &event, bool stopAtMismatch,
                      ReadResult &result);

    EventStreamParser m_events;
    std::string m_id;
    std::uint32_t m_tokensBefore = 0;
    std::uint32_t m_tokens = 0;
    std::uint32_t m_mismatches = 0;
    bool m_started = false;
    bool m_tokensMissing = false;
    /** Events before the first token, relayed with it. */
    std::string m_preamble;
};

} // namespace hawthornslip
