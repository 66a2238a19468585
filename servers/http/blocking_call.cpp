#include "servers/http/blocking_call.h"

#include <future>
#include <memory>

namespace hawthornslip {

namespace {

class CollectingHandler : public UpstreamHandler
{
public:
    std::future<HttpReply> reply() { return m_done.get_future(); }

    void onHeaders(int httpStatus,
                   const std::vector<std::pair<std::string, std::string>> &headers) override
    {
        m_reply.status = httpStatus;
        m_reply.headers = headers;
    }

    bool onData(std::string_view piece) override
    {
        m_reply.body.append(piece);
        return true;
    }

    void onEnd(const UpstreamEnd &end) override
    {
        m_reply.result = end.result;
        m_reply.message = end.message;
        m_done.set_value(std::move(m_reply));
    }

private:
    HttpReply m_reply;
    std::promise<HttpReply> m_done;
};

} // namespace

HttpReply callAndWait(UpstreamClient &client, UpstreamRequest request)
{
    const auto handler = std::make_shared<CollectingHandler>();
    auto reply = handler->reply();
    const auto call = client.send(std::move(request), handler);
    return reply.get();
}

} // namespace hawthornslip
