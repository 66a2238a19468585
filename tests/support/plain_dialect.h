#pragma once

#include "core/interfaces/wire_dialect.h"

#include <string>

namespace hawthornslip::test {

/** Headers with short names, for tests that need no platform. */
class PlainDialect : public WireDialect
{
public:
    RequestMeta readRequest(const HttpHeaders &headers) const override
    {
        RequestMeta meta;
        for (const auto &[name, value] : headers) {
            if (name == "id")
                meta.requestId = value;
            else if (name == "key")
                meta.apiKey = value;
            else if (name == "left-ms")
                meta.timeLeft = milliseconds(std::stoll(value));
            else if (name == "last-event")
                meta.lastEventId = std::stoull(value);
            else if (name == "resumes")
                meta.resumes = value;
            else if (name == "shared")
                addPart(meta, value.substr(0, value.find(':')),
                        std::stoul(value.substr(value.find(':') + 1)));
            else if (name == "own")
                addPart(meta, "own", std::stoul(value));
        }
        return meta;
    }

    bool isReserved(std::string_view name) const override
    {
        return name == "key" || name == "left-ms" || name == "last-event" || name == "expect" ||
               name == "workspace" || name == "priority" || name == "source";
    }

    void writeForward(const ForwardMeta &meta, HttpHeaders &headers) const override
    {
        headers.emplace_back("left-ms", std::to_string(toMillis(meta.timeLeft)));
        headers.emplace_back("expect", std::string(meta.expectedUpstream));
        if (!meta.workspace.empty())
            headers.emplace_back("workspace", std::string(meta.workspace));
        if (meta.priority)
            headers.emplace_back("priority", std::to_string(*meta.priority));
        if (meta.lastEventId)
            headers.emplace_back("last-event", std::to_string(*meta.lastEventId));
        if (!meta.promptSource.empty())
            headers.emplace_back("source", std::string(meta.promptSource));
    }

    ResponseMeta readResponse(int status, const HttpHeaders &headers) const override
    {
        constexpr int kMisdirected = 421;
        ResponseMeta meta;
        meta.hasResponseStamp = findHeader(headers, "proof") != nullptr;
        meta.isMisdirected = status == kMisdirected;
        meta.certainlyNotRun = meta.isMisdirected || findHeader(headers, "not-run") != nullptr;
        meta.isLeaving = findHeader(headers, "leaving") != nullptr;
        if (const auto *limit = findHeader(headers, "limit"))
            meta.requestLimit = std::stod(*limit);
        return meta;
    }

    std::string_view requestIdHeader() const override { return "id"; }

private:
    static void addPart(RequestMeta &meta, const std::string &id, std::size_t tokens)
    {
        meta.prompt.push_back({id, static_cast<std::uint32_t>(tokens)});
        meta.promptTokens += static_cast<std::uint32_t>(tokens);
    }
};

} // namespace hawthornslip::test
