#pragma once

#include "core/time.h"

#include <nlohmann/json.hpp>

#include <string>

namespace hawthornslip {

/** An answer of the operator interface before it becomes HTTP. */
struct OperatorAnswer
{
    int status = 200;
    nlohmann::json body;
};

/** @return an error answer: a code for programs and a message for people. */
inline OperatorAnswer errorAnswer(int status, const std::string &code, const std::string &message)
{
    return {status, {{"error", {{"code", code}, {"message", message}}}}};
}

/** What the operator service can ask of its node. Calls block and come from any thread. */
class OperatorBackend
{
public:
    virtual ~OperatorBackend() = default;

    /** @return the configuration document in force. */
    virtual OperatorAnswer config() = 0;

    /** @return recent generations with their authors, newest first. */
    virtual OperatorAnswer history() = 0;

    /**
     * Offers @p document as the new configuration.
     *
     * @param wait how long to wait until all live nodes report it in force; zero does not wait.
     * @return 200; 409 with the generation and author that won; 422 with all faults; 503 when the
     *         store does not answer.
     */
    virtual OperatorAnswer apply(const std::string &document, Duration wait) = 0;

    /** @return the state of this node. */
    virtual OperatorAnswer status() = 0;

    /** @return the live nodes with the generation that each has in force. */
    virtual OperatorAnswer nodes() = 0;
};

} // namespace hawthornslip
