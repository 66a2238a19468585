#include "servers/load_generator/load_plan.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <random>

namespace hawthornslip {

namespace {

/** Bytes of prompt text that the simulated engines count as one token. */
constexpr std::uint32_t kPromptBytesPerToken = 4;
/** Fraction of a prompt that a workspace's requests of one class share, like a system prompt. */
constexpr double kSharedPromptFraction = 0.75;
/** Added to the caller's timeout, so that it still receives the router's timeout answer. */
constexpr Duration kCallerTimeoutMargin = seconds(3);

double rateFactor(const LoadSpec &spec, const LoadClass &loadClass, Duration at)
{
    double factor = 1;
    for (const auto &it : spec.periods) {
        const bool applies = it.profile.empty() || it.profile == loadClass.profile;
        if (applies && at >= it.from && at < it.to)
            factor *= it.factor;
    }
    return factor;
}

double highestFactor(const LoadSpec &spec, const LoadClass &loadClass)
{
    double highest = rateFactor(spec, loadClass, Duration(0));
    for (const auto &it : spec.periods) {
        highest = std::max({highest, rateFactor(spec, loadClass, it.from),
                            rateFactor(spec, loadClass, it.to)});
    }
    return highest;
}

std::uint32_t drawTokens(const LoadClass &loadClass, std::mt19937_64 &random)
{
    // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
    const double sigma = loadClass.sigmaTokens;
    std::lognormal_distribution<double> length(std::log(loadClass.meanTokens) - sigma * sigma / 2,
                                               sigma);
    const double drawn = std::clamp(length(random), 1.0, static_cast<double>(loadClass.maxTokens));
    return static_cast<std::uint32_t>(drawn);
}

/** Draws the arrivals of one class by thinning a Poisson process that has its highest rate. */
void addArrivals(const LoadSpec &spec, std::size_t index, std::vector<PlannedRequest> &plan)
{
    const auto &loadClass = spec.classes[index];
    std::mt19937_64 random(spec.seed * 1000003 + index);
    const double highest = highestFactor(spec, loadClass);
    const double rate = loadClass.requestsPerSecond * highest;
    if (rate <= 0)
        return;
    std::vector<double> shares;
    for (const auto &it : spec.workspaces)
        shares.push_back(it.share);
    std::discrete_distribution<std::size_t> workspace(shares.begin(), shares.end());
    std::uniform_int_distribution<std::size_t> node(0, spec.nodes.size() - 1);
    std::exponential_distribution<double> gap(rate);
    std::uniform_real_distribution<double> uniform(0, highest);
    for (double at = gap(random); at < toSeconds(spec.duration); at += gap(random)) {
        PlannedRequest request;
        request.at = Duration(static_cast<Duration::rep>(at * 1e6));
        request.loadClass = index;
        request.workspace = workspace(random);
        request.node = node(random);
        request.tokens = loadClass.application() ? 0 : drawTokens(loadClass, random);
        if (uniform(random) < rateFactor(spec, loadClass, request.at))
            plan.push_back(request);
    }
}

std::string promptText(const LoadSpec &spec, const PlannedRequest &request)
{
    const auto &loadClass = spec.classes[request.loadClass];
    const std::size_t bytes = std::size_t{loadClass.promptTokens} * kPromptBytesPerToken;
    const auto shared =
            static_cast<std::size_t>(static_cast<double>(bytes) * kSharedPromptFraction);
    std::string text;
    const std::string common =
            spec.workspaces[request.workspace].id + " " + loadClass.profile + ". ";
    while (text.size() < shared)
        text += common;
    text += fmt::format("{} [answer_tokens={}]", request.marker, request.tokens);
    text.resize(std::max(text.size(), bytes), '.');
    return text;
}

nlohmann::json languageBody(const LoadSpec &spec, const PlannedRequest &request)
{
    const auto &loadClass = spec.classes[request.loadClass];
    return {{"model", loadClass.model},
            {"stream", loadClass.streamed},
            {"max_tokens", loadClass.maxTokens},
            {"user", request.marker},
            {"messages", {{{"role", "user"}, {"content", promptText(spec, request)}}}}};
}

nlohmann::json applicationBody(const LoadSpec &spec, const PlannedRequest &request)
{
    const auto &loadClass = spec.classes[request.loadClass];
    return {{"user", request.marker},
            {"note", fmt::format("[work_ms={}]", toMillis(loadClass.work))}};
}

} // namespace

std::vector<PlannedRequest> makeLoadPlan(const LoadSpec &spec)
{
    std::vector<PlannedRequest> plan;
    for (std::size_t i = 0; i < spec.classes.size(); ++i)
        addArrivals(spec, i, plan);
    std::stable_sort(plan.begin(), plan.end(),
                     [](const auto &a, const auto &b) { return a.at < b.at; });
    for (std::size_t i = 0; i < plan.size(); ++i) {
        plan[i].marker = fmt::format("load-{}-{}", spec.seed, i);
        if (spec.classes[plan[i].loadClass].keyed)
            plan[i].key = "key-" + plan[i].marker;
    }
    return plan;
}

UpstreamRequest makeLoadCall(const LoadSpec &spec, const PlannedRequest &request,
                             const std::string &nodeUrl)
{
    const auto &loadClass = spec.classes[request.loadClass];
    UpstreamRequest call;
    call.url = nodeUrl + (loadClass.application() ? "/v1/apps/" + loadClass.route + "/requests"
                                                  : "/v1/chat/completions");
    call.headers = {{"Authorization", "Bearer " + spec.workspaces[request.workspace].key},
                    {"Content-Type", "application/json"},
                    {"X-Hawthornslip-Profile", loadClass.profile}};
    if (!request.key.empty())
        call.headers.emplace_back("Idempotency-Key", request.key);
    call.body =
            (loadClass.application() ? applicationBody(spec, request) : languageBody(spec, request))
                    .dump();
    call.totalTimeout = loadClass.timeout + kCallerTimeoutMargin;
    return call;
}

} // namespace hawthornslip
