#include "tests/crowds/crowd_run.h"

#include <fmt/format.h>

namespace hawthornslip::crowds {

namespace {

constexpr std::size_t kMiB = 1 << 20;
// Just short of the largest body that the limits allow.
constexpr std::size_t kAlmostLargest = 4 * kMiB - (128 << 10);

std::string head(std::string_view path, std::string_view framing)
{
    return fmt::format(
            "POST /{}/x HTTP/1.1\r\nHost: crowd.example\r\nAuthorization: Bearer key\r\n"
            "X-Hawthornslip-Attempt-Id: crowd\r\nX-Hawthornslip-Deadline-Ms: 8000\r\n{}\r\n",
            path, framing);
}

std::string chunked(std::string_view path = "plain")
{
    return head(path, "Transfer-Encoding: chunked\r\n");
}

std::string chunkOf(std::size_t size)
{
    return fmt::format("{:x}\r\n{}\r\n", size, std::string(size, 'b'));
}

/** Requests without a body for one of the worker's patterns. */
Pattern request(std::string_view path, bool isDeaf)
{
    return {head(path, "Content-Length: 0\r\n"), "", 0, isDeaf};
}

} // namespace

std::vector<Crowd> allCrowds()
{
    const std::string large = chunkOf(16 << 10);
    const std::string small = chunkOf(1);
    std::vector<Crowd> crowds = {
            {"trailers", {{{chunked() + "1\r\nb\r\n0\r\n", "t: tttttttttttt\r\n", 8 * kMiB}, 12}}},
            {"extensions", {{{chunked() + "1;e=", "eeeeeeeeeeeeeeee", 8 * kMiB}, 12}}},
            {"large_chunks", {{{chunked(), large, kAlmostLargest}, 40}}},
            {"small_chunks", {{{chunked(), small, 5 * kAlmostLargest}, 40}}},
            {"announced",
             {{{head("plain", "Content-Length: 67108864\r\n"), "bbbbbbbbbbbbbbbb", 8 * kMiB}, 40}}},
            {"just_sent", {{{chunked(), large, 8 * kMiB}, 40}}},
            {"slow_readers", {{request("medium", true), 210}, {request("long", true), 50}}},
            {"workers",
             {{request("endless-head", false), 25},
              {request("endless-trailer", false), 25},
              {request("endless-extension", false), 25},
              {request("endless-event", false), 75}}},
    };
    Crowd all{"all", {}};
    for (const auto &crowd : crowds) {
        for (const auto &it : crowd.groups)
            all.groups.push_back({it.pattern, (it.connections + 2) / 3});
    }
    crowds.push_back(all);
    return crowds;
}

} // namespace hawthornslip::crowds
