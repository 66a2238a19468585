#include "servers/request_path/classify_filter.h"

#include "servers/request_path/body_scanner.h"
#include "servers/request_path/request_context.h"

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>

namespace leaf = boost::leaf;

namespace hawthornslip {

namespace {

constexpr std::string_view kApplicationPrefix = "/v1/apps/";
constexpr std::string_view kApplicationModelPrefix = "app:";
// Approximate average of current tokenizers for mixed text.
constexpr std::size_t kCharactersPerToken = 4;

leaf::error_id refuse(Reason reason, std::string message)
{
    return leaf::new_error(RequestError{reason, Execution::NotRun, std::move(message)});
}

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char it) { return it > ' ' && it < '\x7f'; });
}

bool isServed(const SharedConfig &config, const ModelName &model)
{
    return std::any_of(config.upstreams.begin(), config.upstreams.end(), [&](const Upstream &it) {
        return std::find(it.models.begin(), it.models.end(), model) != it.models.end();
    });
}

// A path with a parent segment ("..", also percent-encoded) could leave the application's base
// address and reach other services of its host.
bool hasParentSegment(std::string_view path)
{
    std::string decoded;
    for (std::size_t i = 0; i < path.size(); ++i) {
        const auto code = path.substr(i, 3);
        const bool isEncodedDot = code == "%2e" || code == "%2E";
        decoded += isEncodedDot ? '.' : path[i];
        i += isEncodedDot ? 2 : 0;
    }
    return decoded.find("/../") != std::string::npos || decoded.ends_with("/..");
}

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

leaf::result<void> ClassifyFilter::process(RequestContext &context)
{
    std::string profile;
    auto classified = context.route == RouteKind::Application ? classifyApplication(context)
                                                              : classifyLanguage(context, profile);
    if (!classified)
        return classified.error();
    if (const auto *header = context.http.header("x-hawthornslip-profile"))
        profile = *header;
    if (profile.empty())
        return refuse(Reason::UnknownProfile,
                      "the request names no profile in X-Hawthornslip-Profile or in its body");
    context.profile = context.config->findProfile(ProfileName(profile));
    if (context.profile == nullptr)
        return refuse(Reason::UnknownProfile, "there is no profile called " + profile);
    const auto &allowed = context.workspace->profiles;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), context.profile->name) == allowed.end())
        return refuse(Reason::ProfileNotAllowed, "the workspace may not use profile " + profile);
    if (auto result = setDeadline(context); !result)
        return result.error();
    return setIdempotencyKey(context);
}

leaf::result<void> ClassifyFilter::classifyLanguage(RequestContext &context,
                                                    std::string &profile) const
{
    std::string error;
    const auto fields = scanBody(context.http.body, error);
    if (!fields)
        return refuse(Reason::InvalidBody, error);
    if (fields->reservedField)
        return refuse(Reason::InvalidBody, "the field resume_after_tokens belongs to the router");
    if (fields->model.empty())
        return refuse(Reason::InvalidBody, "the body names no model");
    context.model = ModelName(fields->model);
    // Without the prefix check a body on the language route could name an application and reach it.
    if (fields->model.starts_with(kApplicationModelPrefix) ||
        !isServed(*context.config, context.model))
        return refuse(Reason::UnknownModel, "no upstream serves model " + fields->model);
    profile = fields->profile;
    context.stream = fields->stream;
    context.promptTokens =
            static_cast<std::uint32_t>(fields->promptCharacters / kCharactersPerToken);
    context.prefixHash = hashOf(fields->promptStart, hashOf(context.workspace->id.value, 0));
    context.upstreamTarget = context.http.path;
    return {};
}

leaf::result<void> ClassifyFilter::classifyApplication(RequestContext &context) const
{
    const std::string_view rest =
            std::string_view(context.http.path).substr(kApplicationPrefix.size());
    const auto slash = rest.find('/');
    const auto route = rest.substr(0, slash);
    context.model = ModelName(std::string(kApplicationModelPrefix) + std::string(route));
    if (route.empty() || hasParentSegment(rest) || !isServed(*context.config, context.model))
        return refuse(Reason::UnknownRoute, "there is no such application route");
    context.upstreamTarget = slash == std::string_view::npos ? "/" : rest.substr(slash);
    if (!context.http.query.empty())
        context.upstreamTarget += '?' + context.http.query;
    return {};
}

leaf::result<void> ClassifyFilter::setDeadline(RequestContext &context) const
{
    auto limit = context.profile->totalTimeout;
    if (const auto *header = context.http.header("x-hawthornslip-deadline-ms")) {
        std::int64_t millis = 0;
        const auto [end, ec] =
                std::from_chars(header->data(), header->data() + header->size(), millis);
        if (ec != std::errc() || end != header->data() + header->size() || millis <= 0)
            return refuse(Reason::InvalidHeader,
                          "X-Hawthornslip-Deadline-Ms is not a positive number of milliseconds");
        // Compared in milliseconds: a large value would overflow when converted to microseconds.
        if (millis < toMillis(limit))
            limit = milliseconds(millis);
    }
    context.deadline = context.acceptedAt + limit;
    return {};
}

leaf::result<void> ClassifyFilter::setIdempotencyKey(RequestContext &context) const
{
    const auto *header = context.http.header("idempotency-key");
    if (header == nullptr)
        return {};
    if (header->empty() || header->size() > m_services.settings.maxKeyBytes ||
        !isVisibleAscii(*header))
        return refuse(Reason::InvalidHeader,
                      "Idempotency-Key is empty, too long or has other than visible characters");
    context.idempotencyKey = *header;
    const auto requestLineHash =
            hashOf(context.http.method + ' ' + context.http.path + '?' + context.http.query, 0);
    context.bodyHash = hashOf(context.http.body, requestLineHash);
    return {};
}

} // namespace hawthornslip
