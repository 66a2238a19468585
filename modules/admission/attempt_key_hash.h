#pragma once

#include "modules/admission/scheduler_events.h"

#include <cstddef>
#include <functional>

namespace hawthornslip {

/** Hashes attempt keys for unordered containers. */
struct AttemptKeyHash
{
    std::size_t operator()(const AttemptKey &key) const noexcept
    {
        constexpr std::size_t kMultiplier = 0x9E3779B97F4A7C15ULL;
        return std::hash<std::string>{}(key.request.value) ^ (key.attempt * kMultiplier);
    }
};

} // namespace hawthornslip
