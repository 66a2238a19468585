#pragma once

#include "core/interfaces/object_store.h"
#include "modules/config/config_document.h"
#include "servers/peer/control_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace hawthornslip {

/** How an attempt to change the configuration ended. */
enum class ApplyStatus {
    /** The store holds the document. */
    Accepted,
    /** The document has faults; nothing was written. */
    Invalid,
    /** Another change won; nothing was written. */
    Conflict,
    /** The store did not take the write; nothing was written. */
    StoreUnavailable,
    /** The store may have taken the write, and could not be asked. */
    Unknown,
};

/** The result of ConfigService::apply(). */
struct ApplyResultInfo
{
    ApplyStatus status = ApplyStatus::Unknown;
    /** Of the document in the store: the one accepted, or the one that won. */
    std::uint64_t generation = 0;
    std::string author;
    ConfigFaults faults;
};

/**
 * Writes one document to the store by a conditional update and finds out what became of it. Lives
 * until it has called back; runs on the control loop's thread.
 */
class ConfigWriter : public std::enable_shared_from_this<ConfigWriter>
{
public:
    using Done = std::function<void(const ApplyResultInfo &)>;

    /** The object that holds the configuration. */
    static constexpr const char *kKey = "config/current";

    /**
     * @param text a valid document.
     * @param inForce the configuration in force here; the document must be the next one.
     */
    ConfigWriter(ControlLoop &loop, ObjectStore &store, std::string text, SharedConfig config,
                 std::shared_ptr<const SharedConfig> inForce, Done done);

    /** Starts; @p done is called once on the loop's thread. */
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
    /** Whether a write was sent whose effect is not known. */
    bool m_uncertain = false;
};

} // namespace hawthornslip
