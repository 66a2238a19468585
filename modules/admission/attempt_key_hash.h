#pragma once

#include "modules/admission/scheduler_events.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace hawthornslip {

/**
 * Hashes an attempt key by its request alone, so that all attempts of a request share a bucket
 * and attemptsOf() finds them without knowing their numbers.
 */
struct AttemptKeyHash
{
    std::size_t operator()(const AttemptKey &key) const noexcept
    {
        return std::hash<std::string>{}(key.request.value);
    }
};

/** @return the keys of all attempts of @p request in @p container, which uses AttemptKeyHash. */
template <typename Container>
std::vector<AttemptKey> attemptsOf(const Container &container, const RequestId &request)
{
    std::vector<AttemptKey> keys;
    if (container.empty())
        return keys;
    const std::size_t bucket = container.bucket({request, 0});
    for (auto it = container.begin(bucket); it != container.end(bucket); ++it) {
        if (it->first.request == request)
            keys.push_back(it->first);
    }
    return keys;
}

} // namespace hawthornslip
