#pragma once

#include "core/interfaces/stream_server.h"

#include <functional>
#include <string>
#include <utility>

namespace hawthornslip {

/** Answers every request of a listener with a plain-text page, such as readiness or metrics. */
class StatusSink : public RequestSink
{
public:
    /** HTTP status and body. */
    using Page = std::pair<int, std::string>;

    explicit StatusSink(std::function<Page()> page)
        : m_page(std::move(page))
    {}

    std::shared_ptr<CallerEvents> onRequest(HttpRequest,
                                            std::shared_ptr<ResponseWriter> writer) override
    {
        const auto [status, body] = m_page();
        writer->begin(status, {{"Content-Type", "text/plain; version=0.0.4"}}, body.size());
        writer->write(body);
        writer->end();
        return nullptr;
    }

    CallerLimits limits() const override { return {}; }
    bool isStopping() const override { return false; }
    void onBadInput(int, std::string_view) override {}

private:
    std::function<Page()> m_page;
};

} // namespace hawthornslip
