#include "tests/matrix/matrix_caller.h"

#include "servers/request_path/request_context.h"

#include <array>
#include <sstream>
#include <utility>

namespace hawthornslip::matrix {

namespace {

constexpr int kFirstError = 400;

Reason reasonOf(const std::string &name)
{
    for (const auto &it : kReasons) {
        if (it.name == name)
            return it.reason;
    }
    return Reason::Internal;
}

} // namespace

MatrixCaller::MatrixCaller(MatrixWorld &world, MatrixNode &node, CallerAsk what, RequestId id)
    : ask(std::move(what))
    , request(std::move(id))
    , m_node(node)
    , m_thread(std::make_unique<SimThread>(world.events.clock(),
                                           [this](SimThread &thread) { run(thread); }))
{
    m_link = std::make_shared<SimClientLink>(*m_thread);
}

MatrixCaller::~MatrixCaller()
{
    crash();
}

void MatrixCaller::crash()
{
    if (m_thread->ended())
        return;
    nodeCrashed = true;
    m_thread->kill();
    m_link->detach();
    if (end == CallerEnd::Pending)
        end = CallerEnd::Broken;
}

void MatrixCaller::run(SimThread & /*thread*/)
{
    m_node.stage(Stage::Accept, request);
    auto context = std::make_unique<RequestContext>();
    context->http = httpRequest();
    context->client = m_link;
    context->route = ask.application ? RouteKind::Application : RouteKind::Language;
    context->id = request;
    context->acceptedAt = m_node.path.services().clock.now();
    auto answer = m_node.path.handle(std::move(context));
    if (answer.stream) {
        readStream(*answer.stream);
        answer.stream.reset();
    } else {
        checkWhole(answer);
    }
    m_node.stage(Stage::Reply, request);
    m_link->detach();
}

HttpRequest MatrixCaller::httpRequest() const
{
    HttpRequest http;
    http.method = "POST";
    http.path = ask.application ? "/v1/apps/orders/new" : "/v1/completions";
    http.headers = {{"authorization", std::string("Bearer ") + kWorkspaceKey},
                    {"x-hawthornslip-profile", ask.profile}};
    if (!ask.key.empty())
        http.headers.emplace_back("idempotency-key", ask.key);
    nlohmann::json body{{"tag", ask.tag}};
    if (!ask.application) {
        body["model"] = "m";
        // Different prompts, so that cache affinity spreads the requests over the engines.
        body["prompt"] = ask.tag;
        body["stream"] = ask.stream;
    }
    http.body = body.dump();
    return http;
}

void MatrixCaller::readStream(HttpBodySource &source)
{
    std::string text;
    std::array<char, 4096> room{};
    while (true) {
        const auto part = source.read(room.data(), room.size());
        text.append(room.data(), part.bytes);
        if (part.state == HttpBodyRead::State::More)
            continue;
        if (part.state == HttpBodyRead::State::Broken)
            end = CallerEnd::Broken;
        else
            checkStream(text);
        return;
    }
}

void MatrixCaller::checkStream(const std::string &text)
{
    std::istringstream lines(text);
    std::string line;
    int next = 1;
    bool done = false;
    while (std::getline(lines, line)) {
        if (!line.starts_with("data: "))
            continue;
        const auto data = line.substr(6);
        if (data == "[DONE]") {
            done = true;
            continue;
        }
        const auto json = nlohmann::json::parse(data, nullptr, false);
        if (json.is_object() && json.contains("error")) {
            readError(json);
            continue;
        }
        // A replayed answer carries the id of the request with the same key that ran.
        if (!json.is_object() || (!replayed && json.value("id", "") != request.value)) {
            fault = "a piece of another answer";
            return;
        }
        const auto content = json.at("choices").at(0).at("delta").value("content", "");
        if (content != ask.tag + "#" + std::to_string(next++)) {
            fault = "token " + content + " out of place";
            return;
        }
    }
    if (reason != Reason::None)
        return;
    if (done && next > 1)
        end = CallerEnd::Answered;
    else
        fault = "a stream that ended without its last token";
}

void MatrixCaller::checkWhole(const HttpResponse &answer)
{
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    if (answer.status >= kFirstError) {
        readError(json);
        return;
    }
    for (const auto &[name, value] : answer.headers)
        replayed = replayed || name == "X-Hawthornslip-Replayed";
    if (replayed && ask.stream) {
        checkStream(answer.body);
        return;
    }
    const bool own = json.is_object() && json.value("echo", "") == ask.tag &&
                     (replayed || json.value("id", "") == request.value);
    if (own)
        end = CallerEnd::Answered;
    else
        fault = "the answer to another request";
}

void MatrixCaller::readError(const nlohmann::json &json)
{
    end = CallerEnd::Refused;
    if (!json.is_object() || !json.contains("error")) {
        fault = "an error answer without its reason";
        return;
    }
    const auto &error = json.at("error");
    reason = reasonOf(error.value("code", ""));
    execution = valueOf(kExecutionNames, error.value("execution", ""));
    if (!execution)
        fault = "an error answer without its execution";
}

} // namespace hawthornslip::matrix
