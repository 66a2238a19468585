#pragma once

#include "core/profile.h"
#include "core/reasons.h"
#include "tests/matrix/matrix_node.h"
#include "tests/matrix/sim_thread.h"

#include <memory>
#include <optional>
#include <string>

namespace hawthornslip::matrix {

/** What a caller sends. */
struct CallerAsk
{
    /** Profile of the shared configuration: pickup, chat, batch or order. */
    std::string profile = "chat";
    /** Unique text, which the answer repeats; the same for a repeat with the same key. */
    std::string tag;
    /** Empty for a request without an idempotency key. */
    std::string key;
    bool stream = true;
    /** Calls the application service instead of an engine. */
    bool application = false;
};

/** How a request ended for its caller. */
enum class CallerEnd {
    Pending,
    /** The whole answer came. */
    Answered,
    /** An error answer came, with its reason and execution. */
    Refused,
    /** The connection broke off. */
    Broken
};

/** One request of a caller, on its own thread. */
class MatrixCaller
{
public:
    MatrixCaller(MatrixWorld &world, MatrixNode &node, CallerAsk ask, RequestId request);
    ~MatrixCaller();

    MatrixCaller(const MatrixCaller &) = delete;
    MatrixCaller &operator=(const MatrixCaller &) = delete;

    /** Ends the request with its node. */
    void crash();

    SimThread &thread() const { return *m_thread; }
    const MatrixNode &node() const { return m_node; }

    const CallerAsk ask;
    const RequestId request;
    CallerEnd end = CallerEnd::Pending;
    Reason reason = Reason::None;
    std::optional<Execution> execution;
    /** Violations of I3 that the caller saw in its answer. */
    std::string fault;
    bool replayed = false;
    /** The node that had it crashed, so that a broken connection is no violation of I7. */
    bool nodeCrashed = false;

private:
    void run(SimThread &thread);
    HttpRequest httpRequest() const;
    void readStream(HttpBodySource &source);
    void checkStream(const std::string &text);
    void checkWhole(const HttpResponse &answer);
    void readError(const nlohmann::json &json);

    MatrixNode &m_node;
    std::shared_ptr<SimClientLink> m_link;
    std::unique_ptr<SimThread> m_thread;
};

/** The bearer key of the one workspace of a run. */
inline constexpr const char *kWorkspaceKey = "matrix-key";

} // namespace hawthornslip::matrix
