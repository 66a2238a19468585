#include "core/interfaces/http_server.h"

#include <algorithm>
#include <array>

namespace hawthornslip {

const std::string *findHeader(const HttpHeaders &headers, std::string_view lowerName)
{
    for (const auto &[name, value] : headers) {
        if (name == lowerName)
            return &value;
    }
    return nullptr;
}

bool isHopByHopHeader(std::string_view lowerName)
{
    static constexpr std::array<std::string_view, 10> kNames = {
            "connection", "keep-alive",    "proxy-connection",  "proxy-authenticate",
            "te",         "trailer",       "transfer-encoding", "upgrade",
            "expect",     "content-length"};
    return std::find(kNames.begin(), kNames.end(), lowerName) != kNames.end();
}

} // namespace hawthornslip
