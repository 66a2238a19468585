#include "core/nearest_name.h"

#include <algorithm>
#include <numeric>

namespace hawthornslip {

namespace {

// Longer names are likely malicious input, and comparing them is expensive.
constexpr std::size_t kMaxNameBytes = 64;

} // namespace

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t substituted = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({substituted, row[j] + 1, row[j + 1] + 1});
        }
    }
    return row.back();
}

std::string_view nearestName(std::string_view name, const std::vector<std::string_view> &known)
{
    if (name.size() > kMaxNameBytes)
        return {};
    std::string_view best;
    std::size_t bestDistance = kMaxNameBytes;
    for (const auto it : known) {
        const std::size_t distance = editDistance(name, it);
        const std::size_t allowed = std::max<std::size_t>(1, it.size() / 3);
        if (distance <= allowed && distance < bestDistance) {
            best = it;
            bestDistance = distance;
        }
    }
    return best;
}

} // namespace hawthornslip
