#include "core/interfaces/http_server.h"

namespace hawthornslip {

const std::string *findHeader(const HttpHeaders &headers, std::string_view lowerName)
{
    for (const auto &[name, value] : headers) {
        if (name == lowerName)
            return &value;
    }
    return nullptr;
}

} // namespace hawthornslip
