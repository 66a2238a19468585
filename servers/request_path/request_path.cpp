#include "servers/request_path/request_path.h"

#include "core/logger.h"
#include "servers/request_path/account_filter.h"
#include "servers/request_path/admit_filter.h"
#include "servers/request_path/authenticate_filter.h"
#include "servers/request_path/claim_filter.h"
#include "servers/request_path/classify_filter.h"
#include "servers/request_path/error_answer.h"
#include "servers/request_path/limit_filter.h"
#include "servers/request_path/relay_filter.h"
#include "servers/request_path/request_run.h"
#include "servers/request_path/select_filter.h"
#include "servers/request_path/send_filter.h"

#include <boost/leaf/handle_errors.hpp>

#include <exception>
#include <utility>

namespace leaf = boost::leaf;

namespace hawthornslip {

namespace {

// The attempts are finished first, so that finish() of each filter sees the outcome.
void finishRequest(RequestContext &context, const FilterChain &chain)
{
    if (context.run)
        context.run->finish();
    chain.finish(context);
}

/** Body of a streamed answer; finishes the request when it is destroyed. */
class AnswerSource : public HttpBodySource
{
public:
    AnswerSource(std::unique_ptr<RequestContext> context, const FilterChain &chain)
        : m_context(std::move(context))
        , m_chain(chain)
    {}
    ~AnswerSource() override { finishRequest(*m_context, m_chain); }

    AnswerSource(const AnswerSource &) = delete;
    AnswerSource &operator=(const AnswerSource &) = delete;

    HttpBodyRead read(char *buffer, std::size_t size) override
    {
        const auto result = m_context->run->read(buffer, size);
        m_context->stats.bytes += result.bytes;
        return result;
    }

private:
    std::unique_ptr<RequestContext> m_context;
    const FilterChain &m_chain;
};

void setError(RequestContext &context, const RequestError &error)
{
    context.reason = error.reason;
    context.execution = error.execution;
    context.answer = errorAnswer(error, context.id);
}

} // namespace

RequestPath::RequestPath(const PathServices &services)
    : m_services(services)
    , m_authenticate(std::make_unique<AuthenticateFilter>(m_services))
{
    m_chain.add(std::make_unique<AuthenticateFilter>(m_services));
    m_chain.add(std::make_unique<ClassifyFilter>(m_services));
    m_chain.add(std::make_unique<LimitFilter>(m_services));
    m_chain.add(std::make_unique<ClaimFilter>(m_services));
    m_chain.add(std::make_unique<AdmitFilter>(m_services));
    m_chain.add(std::make_unique<SelectFilter>());
    m_chain.add(std::make_unique<SendFilter>());
    m_chain.add(std::make_unique<RelayFilter>());
    m_chain.add(std::make_unique<AccountFilter>(m_services));
}

HttpResponse RequestPath::handle(std::unique_ptr<RequestContext> context) const
{
    auto &it = *context;
    process(it);
    HttpResponse answer;
    if (it.streaming) {
        answer.status = it.answer.status;
        answer.headers = it.answer.headers;
        answer.stream = std::make_unique<AnswerSource>(std::move(context), m_chain);
        return answer;
    }
    if (it.reason == Reason::None)
        it.answer.headers.emplace_back("X-Hawthornslip-Execution",
                                       std::string(nameOf(it.execution)));
    finishRequest(it, m_chain);
    return std::move(it.answer);
}

void RequestPath::process(RequestContext &context) const
{
    const RequestError internal{Reason::Internal, Execution::MayHaveRun, "the router failed", {}};
    try {
        leaf::try_handle_all([&] { return m_chain.process(context); },
                             [&](const RequestError &error) { setError(context, error); },
                             [&] { setError(context, internal); });
    } catch (const std::exception &error) {
        // Caught here, so that the request is finished and its grants and claim are released.
        logEvent(LogLevel::Error, "request_path_failed", {{"error", error.what()}});
        context.streaming = false;
        setError(context, internal);
    }
}

leaf::result<void> RequestPath::authenticate(RequestContext &context) const
{
    return m_authenticate->process(context);
}

} // namespace hawthornslip
