#include "drivers/object_store/http_object_store.h"

#include "core/enum_names.h"
#include "core/logger.h"
#include "core/metric_names.h"

#include <charconv>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>

namespace hawthornslip {

namespace {

// The store's own bound on values; a longer answer is not an object of ours.
constexpr std::size_t kMaxValueBytes = 1U << 20;

constexpr int kOk = 200;
constexpr int kNotModified = 304;
constexpr int kNotFound = 404;
constexpr int kPreconditionFailed = 412;
constexpr int kTooLarge = 413;
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

enum class CallKind { Get, Put, Watch };

constexpr EnumNames<CallKind, 3> kCallKindNames = {{
        {CallKind::Get, "get"},
        {CallKind::Put, "put"},
        {CallKind::Watch, "watch"},
}};

constexpr EnumNames<StoreError, 6> kStoreErrorNames = {{
        {StoreError::None, "ok"},
        {StoreError::NotFound, "not_found"},
        {StoreError::Conflict, "conflict"},
        {StoreError::Unavailable, "unavailable"},
        {StoreError::Unknown, "unknown"},
        {StoreError::RateLimited, "rate_limited"},
}};

std::optional<std::uint64_t> parseETag(std::string_view text)
{
    if (text.size() < 3 || text.front() != '"' || text.back() != '"')
        return std::nullopt;
    text = text.substr(1, text.size() - 2);
    std::uint64_t version = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (ec != std::errc() || end != text.data() + text.size() || version == 0)
        return std::nullopt;
    return version;
}

std::string encodeKey(std::string_view key)
{
    constexpr std::string_view kPlain =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    constexpr std::string_view kHex = "0123456789ABCDEF";
    std::string text;
    for (const char it : key) {
        if (kPlain.find(it) != std::string_view::npos) {
            text += it;
            continue;
        }
        const auto byte = static_cast<unsigned char>(it);
        text += '%';
        text += kHex[byte >> 4U];
        text += kHex[byte & 0xFU];
    }
    return text;
}

std::string quoted(std::uint64_t version)
{
    return '"' + std::to_string(version) + '"';
}

// The part of the key before the first slash: claims, leases, config and so on.
std::string dutyOf(const std::string &key)
{
    return key.substr(0, key.find('/'));
}

/** Collects the answer of one call and turns it into a StoreResult. */
class StoreCall : public UpstreamHandler
{
public:
    StoreCall(CallKind kind, std::string duty, std::uint64_t afterVersion, Metrics &metrics,
              ObjectStore::Callback done)
        : m_kind(kind)
        , m_duty(std::move(duty))
        , m_afterVersion(afterVersion)
        , m_metrics(metrics)
        , m_done(std::move(done))
    {}

    void onHeaders(int /*httpStatus*/,
                   const std::vector<std::pair<std::string, std::string>> &headers) override
    {
        for (const auto &[name, value] : headers) {
            if (name == "etag")
                m_version = parseETag(value);
        }
    }

    bool onData(std::string_view piece) override
    {
        if (m_body.size() + piece.size() > kMaxValueBytes)
            m_tooLong = true;
        else
            m_body.append(piece);
        return true;
    }

    void onEnd(const UpstreamEnd &end) override
    {
        StoreResult result;
        result.error = errorOf(end);
        if (result.ok()) {
            result.object.version = m_version.value_or(m_afterVersion);
            if (m_kind != CallKind::Put)
                result.object.value = std::move(m_body);
        }
        m_metrics.count(metric::kStoreCalls, {{"duty", m_duty},
                                              {"call", nameOf(kCallKindNames, m_kind)},
                                              {"result", nameOf(kStoreErrorNames, result.error)}});
        m_done(result);
    }

private:
    StoreError errorOf(const UpstreamEnd &end) const
    {
        const auto noAnswer =
                m_kind == CallKind::Put ? StoreError::Unknown : StoreError::Unavailable;
        if (end.result == UpstreamResult::ConnectFailed)
            return StoreError::Unavailable;
        if (end.result != UpstreamResult::Complete)
            return noAnswer;
        switch (end.httpStatus) {
        case kOk:
            return m_version && !m_tooLong ? StoreError::None : noAnswer;
        case kNotModified:
            if (m_kind != CallKind::Watch)
                return noAnswer;
            return m_afterVersion == 0 ? StoreError::NotFound : StoreError::None;
        case kNotFound:
            return m_kind == CallKind::Put ? noAnswer : StoreError::NotFound;
        case kPreconditionFailed:
            return m_kind == CallKind::Put ? StoreError::Conflict : noAnswer;
        case kTooLarge:
            logEvent(LogLevel::Error, "store_value_too_large", {{"duty", m_duty}});
            return StoreError::Unavailable;
        case kTooManyRequests:
            return StoreError::RateLimited;
        case kServiceUnavailable:
            return StoreError::Unavailable;
        default:
            return noAnswer;
        }
    }

    CallKind m_kind;
    std::string m_duty;
    std::uint64_t m_afterVersion;
    Metrics &m_metrics;
    ObjectStore::Callback m_done;
    std::optional<std::uint64_t> m_version;
    std::string m_body;
    bool m_tooLong = false;
};

} // namespace

HttpObjectStore::HttpObjectStore(UpstreamClient &client, Metrics &metrics, std::string baseUrl,
                                 Duration timeout)
    : m_client(client)
    , m_metrics(metrics)
    , m_baseUrl(std::move(baseUrl))
    , m_timeout(timeout)
{}

void HttpObjectStore::get(const std::string &key, Callback done)
{
    m_client.send(
            makeRequest("GET", key),
            std::make_shared<StoreCall>(CallKind::Get, dutyOf(key), 0, m_metrics, std::move(done)));
}

void HttpObjectStore::put(const std::string &key, const std::string &value,
                          std::uint64_t expectedVersion, Callback done)
{
    auto request = makeRequest("PUT", key);
    request.body = value;
    if (expectedVersion == 0)
        request.headers.emplace_back("If-None-Match", "*");
    else
        request.headers.emplace_back("If-Match", quoted(expectedVersion));
    request.headers.emplace_back("Content-Type", "application/octet-stream");
    m_client.send(std::move(request), std::make_shared<StoreCall>(CallKind::Put, dutyOf(key), 0,
                                                                  m_metrics, std::move(done)));
}

void HttpObjectStore::watch(const std::string &key, std::uint64_t afterVersion, Duration timeout,
                            Callback done)
{
    auto request = makeRequest("GET", key);
    request.url += "?after=" + std::to_string(afterVersion) +
                   "&timeout_ms=" + std::to_string(toMillis(timeout));
    request.totalTimeout += timeout;
    m_client.send(std::move(request),
                  std::make_shared<StoreCall>(CallKind::Watch, dutyOf(key), afterVersion, m_metrics,
                                              std::move(done)));
}

UpstreamRequest HttpObjectStore::makeRequest(std::string method, const std::string &key) const
{
    UpstreamRequest request;
    request.method = std::move(method);
    request.url = m_baseUrl + "/objects/" + encodeKey(key);
    request.totalTimeout = m_timeout;
    return request;
}

} // namespace hawthornslip
