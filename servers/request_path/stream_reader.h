#pragma once

#include "servers/request_path/event_stream_parser.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornslip {

/** Checks the events of one attempt's stream and tells which of them are relayed. */
class StreamReader
{
public:
    /** What a piece of the stream brought. */
    struct ReadResult
    {
        /** Whole events to relay. */
        std::string text;
        std::uint32_t tokens = 0;
        /** The first token has come, in this or an earlier piece. */
        bool started = false;
        /** The last event has come and nothing is missing. */
        bool done = false;
        /** The stream cannot be used any more. */
        bool broken = false;
        /** Events of other requests, which were dropped. */
        std::uint32_t mismatches = 0;
    };

    /** Sets the id that each event has to carry and the tokens relayed by earlier attempts. */
    void begin(std::string id, std::uint32_t tokensBefore);

    /**
     * Reads the next bytes of the body.
     *
     * @param stopAtMismatch the stream can be resumed elsewhere, so that an event of another
     *        request, which may stand in for one of ours, ends it.
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
