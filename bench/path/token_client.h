#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hawthornslip::bench {

/** What a run of the client measured. */
struct ClientFigures
{
    /** Microseconds from sending a request to its first token. */
    std::vector<double> firstByte;
    /** Microseconds from the time in a token to its arrival. */
    std::vector<double> token;
    std::uint64_t requests = 0;
    std::uint64_t tokens = 0;
    std::uint64_t failed = 0;
    double seconds = 0;

    /** @return the value below which the share @p q of @p samples lies; 0 without samples. */
    static double quantile(std::vector<double> samples, double q);
};

/**
 * Streams answers over kept-alive connections and measures them.
 *
 * @param streams number of connections, each with one request after another.
 * @param duration no request is sent after this.
 */
ClientFigures runClient(std::uint16_t port, int streams, std::chrono::milliseconds duration);

} // namespace hawthornslip::bench
