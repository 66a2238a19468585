#include "servers/config/config_writer.h"

#include <algorithm>
#include <utility>

namespace hawthornslip {

namespace {

// Longer than two store timeouts, so that the outcome of an unanswered write can be read back.
constexpr auto kTimeLimit = seconds(8);
constexpr auto kRetryDelay = milliseconds(200);

} // namespace

ConfigWriter::ConfigWriter(ControlLoop &loop, ObjectStore &store, std::string text,
                           SharedConfig config, std::shared_ptr<const SharedConfig> inForce,
                           Done done)
    : m_loop(loop)
    , m_store(store)
    , m_text(std::move(text))
    , m_config(std::move(config))
    , m_inForce(std::move(inForce))
    , m_done(std::move(done))
    , m_deadline(loop.now() + kTimeLimit)
{}

void ConfigWriter::start()
{
    readCurrent();
}

void ConfigWriter::readCurrent()
{
    m_store.get(kKey, [self = shared_from_this()](const StoreResult &result) {
        self->m_loop.post([self, result] { self->onCurrent(result); });
    });
}

void ConfigWriter::onCurrent(const StoreResult &result)
{
    if (!result.ok() && result.error != StoreError::NotFound) {
        retryLater();
        return;
    }
    // If the answer to a write was lost, the store may already hold this document.
    if (result.ok() && result.object.value == m_text) {
        finish(ApplyStatus::Accepted, m_config.generation, m_config.author);
        return;
    }
    std::uint64_t generation = 0;
    std::string author;
    if (result.ok()) {
        const auto current = ConfigDocument::parse(result.object.value);
        generation = current.config.generation;
        author = current.config.author;
    }
    const std::uint64_t highest = std::max(generation, m_inForce->generation);
    if (m_config.generation == highest + 1 && m_loop.now() < m_deadline)
        write(result.ok() ? result.object.version : 0);
    else if (m_config.generation == highest + 1)
        finishFailed();
    else if (m_outcomeUnknown && generation > m_config.generation)
        // This document may have been accepted and replaced since.
        finish(ApplyStatus::Unknown, generation, author);
    else
        finish(ApplyStatus::Conflict, highest, generation == highest ? author : m_inForce->author);
}

void ConfigWriter::write(std::uint64_t expectedVersion)
{
    m_store.put(kKey, m_text, expectedVersion,
                [self = shared_from_this()](const StoreResult &result) {
                    self->m_loop.post([self, result] { self->onWritten(result); });
                });
}

void ConfigWriter::onWritten(const StoreResult &result)
{
    if (result.ok()) {
        finish(ApplyStatus::Accepted, m_config.generation, m_config.author);
        return;
    }
    if (result.error == StoreError::Unknown)
        m_outcomeUnknown = true;
    if (result.error == StoreError::Conflict || result.error == StoreError::Unknown)
        // Reads back which document is stored. Repeating the write is safe, since the store
        // accepts only one write per expected version.
        readCurrent();
    else
        retryLater();
}

void ConfigWriter::retryLater()
{
    if (m_loop.now() + kRetryDelay >= m_deadline) {
        finishFailed();
        return;
    }
    m_loop.after(kRetryDelay, [self = shared_from_this()] { self->readCurrent(); });
}

void ConfigWriter::finishFailed()
{
    finish(m_outcomeUnknown ? ApplyStatus::Unknown : ApplyStatus::StoreUnavailable,
           m_inForce->generation, m_inForce->author);
}

void ConfigWriter::finish(ApplyStatus status, std::uint64_t generation, const std::string &author)
{
    ApplyResultInfo info;
    info.status = status;
    info.generation = generation;
    info.author = author;
    std::exchange(m_done, nullptr)(info);
}

} // namespace hawthornslip
