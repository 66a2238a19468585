#pragma once

#include "core/interfaces/byte_ledger.h"
#include "drivers/asio/asio_event_loop.h"

#include <cstddef>
#include <memory>
#include <string>

namespace hawthornslip {

/** What one connection holds in the ledger of its loop; nothing without a ledger. */
class ByteCharge
{
public:
    ByteCharge(AsioEventLoop &loop, ByteHolder &holder);
    ~ByteCharge();
    ByteCharge(const ByteCharge &) = delete;
    ByteCharge &operator=(const ByteCharge &) = delete;

    /** Replaces the charge by @p bytes, rounded down to whole steps. */
    void set(std::size_t bytes);

    /** @return the bytes that are charged at present. */
    std::size_t bytes() const { return m_charged; }

private:
    AsioEventLoop &m_loop;
    ByteHolder &m_holder;
    std::size_t m_charged = 0;
};

/** @return a token that holds @p bytes in the ledger of @p loop while it exists, or nullptr. */
std::shared_ptr<void> holdBytes(AsioEventLoop &loop, std::size_t bytes);

/** Gives unused memory of a buffer back after a large message. */
void trimBuffer(std::string &buffer);

} // namespace hawthornslip
