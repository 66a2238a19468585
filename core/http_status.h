#pragma once

namespace hawthornslip {

inline constexpr int kBadGateway = 502;

/** @return true for 2xx statuses. */
constexpr bool isSuccess(int status)
{
    constexpr int kFirst = 200;
    constexpr int kAfterLast = 300;
    return status >= kFirst && status < kAfterLast;
}

/** @return true for 5xx statuses. */
constexpr bool isServerFailure(int status)
{
    constexpr int kFirst = 500;
    return status >= kFirst;
}

/** @return true for statuses which mean that the request was not and will not be executed. */
constexpr bool impliesNotRun(int status)
{
    constexpr int kRequestTimeout = 408;
    constexpr int kMisdirectedRequest = 421;
    constexpr int kTooManyRequests = 429;
    constexpr int kServiceUnavailable = 503;
    return status == kRequestTimeout || status == kMisdirectedRequest ||
           status == kTooManyRequests || status == kServiceUnavailable;
}

} // namespace hawthornslip
