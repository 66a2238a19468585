#pragma once

#include "tests/standins/http_host.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace hawthornslip::standin {

/** The answer of an engine to one request, filled by the engine and read by its connection. */
class EngineStream : public BodySource
{
public:
    /** What the answer is about. */
    struct About
    {
        std::string requestId;
        std::string model;
        std::uint32_t promptTokens = 0;
        std::uint32_t tokens = 0;
        std::uint16_t clientPort = 0;
        bool streamed = false;
        /** Number of the run in the engine's log; set when the request starts to run. */
        std::size_t run = 0;
        bool started = false;
        /** Faults of this answer; no effect when below 0. */
        std::int64_t breakAtToken = -1;
        std::int64_t skipToken = -1;
        std::int64_t repeatToken = -1;
        /** Another request's id for the events, or empty. */
        std::string wrongId;
    };

    explicit EngineStream(About about);

    std::string next(bool &failed) override;

    /** Adds the token @p index. */
    void addToken(std::uint32_t index);

    /** Ends the answer. */
    void finish();

    /** Breaks the connection off. */
    void fail();

    /** Waits for the whole answer. @return the JSON, or an empty text when it broke off. */
    std::string waitForWhole();

    About &about() { return m_about; }

private:
    std::string event(const std::string &content, bool last) const;
    const std::string &eventId() const;

    About m_about;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::string m_text;
    bool m_done = false;
    bool m_failed = false;
};

} // namespace hawthornslip::standin
