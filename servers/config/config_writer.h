#pragma once

#include "core/interfaces/object_store.h"
#include "modules/config/config_document.h"
#include "servers/peer/control_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hawthornslip {

/** Outcome of an attempt to change the configuration. */
enum class ApplyStatus {
    /** The store holds the document. */
    Accepted,
    /** The document has faults; nothing was written. */
    Invalid,
    /** The generation is not the next one, e.g. another change came first; nothing was written. */
    Conflict,
    /** The store was unavailable until the time limit; nothing was written. */
    StoreUnavailable,
    /** The write may have taken effect; reading the store did not settle it. */
    Unknown,
};

/** The result of ConfigService::apply(). */
struct ApplyResultInfo
{
    ApplyStatus status = ApplyStatus::Unknown;
    /** Of the accepted document, or else of the newest known one. */
    std::uint64_t generation = 0;
    std::string author;
    ConfigFaults faults;
};

/**
 * Writes one document to the store by compare-and-swap and determines the outcome. Pending calls
 * keep it alive until it has called back; runs on the control loop's thread.
 */
class ConfigWriter : public std::enable_shared_from_this<ConfigWriter>
{
public:
    using Done = std::function<void(const ApplyResultInfo &)>;

    /** Key of the object that holds the configuration. */
    static constexpr const char *kKey = "config/current";

    /**
     * @param text a valid document.
     * @param inForce the configuration in force on this node; the document must follow it.
     */
    ConfigWriter(ControlLoop &loop, ObjectStore &store, std::string text, SharedConfig config,
                 std::shared_ptr<const SharedConfig> inForce, Done done);

    /** Starts the write; the callback is called once on the loop's thread. */
    void start();

private:
    void readCurrent();
    void onCurrent(const StoreResult &result);
    void write(std::uint64_t expectedVersion);
    void onWritten(const StoreResult &result);
    void retryLater();
    void finish(ApplyStatus status, std::uint64_t generation, const std::string &author);
    void finishFailed();

    ControlLoop &m_loop;
    ObjectStore &m_store;
    std::string m_text;
    SharedConfig m_config;
    std::shared_ptr<const SharedConfig> m_inForce;
    Done m_done;
    TimePoint m_deadline;
    /** Whether a write was sent that may or may not have taken effect. */
    bool m_outcomeUnknown = false;
};

} // namespace hawthornslip
