#pragma once

#include "core/time.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hawthornslip {

/** An answer of the operator interface: HTTP status and JSON body. */
struct OperatorAnswer
{
    int status = 200;
    nlohmann::json body;
};

/** @return an error answer with a machine-readable @p code and a human-readable @p message. */
inline OperatorAnswer errorAnswer(int status, const std::string &code, const std::string &message)
{
    return {status, {{"error", {{"code", code}, {"message", message}}}}};
}

/** The node's functions behind the operator service. Calls block and may come from any thread. */
class OperatorBackend
{
public:
    virtual ~OperatorBackend() = default;

    /** @return the active configuration document. */
    virtual OperatorAnswer config() = 0;

    /** @return recent generations with their authors, newest first. */
    virtual OperatorAnswer history() = 0;

    /**
     * Proposes @p document as the new configuration.
     *
     * @param wait longest time to wait until all live nodes report it active; zero does not wait.
     * @return 200; 409 with the generation and author accepted instead; 422 with all errors of the
     *         document; 503 when the store does not answer.
     */
    virtual OperatorAnswer apply(const std::string &document, Duration wait) = 0;

    /** @return the state of this node. */
    virtual OperatorAnswer status() = 0;

    /** @return the live nodes, each with the generation of its active configuration. */
    virtual OperatorAnswer nodes() = 0;
};

} // namespace hawthornslip
