#include "drivers/asio/byte_charge.h"

namespace hawthornslip {

namespace {

// Ordinary requests stay below one step and cost the ledger nothing. A peer that sends less than a
// step makes no progress.
constexpr std::size_t kStepBytes = 4 << 10;
// An empty buffer of this size is kept for the next message.
constexpr std::size_t kKeptBytes = 8 << 10;

/** Bytes held in a ledger for as long as this exists. */
class HeldBytes
{
public:
    HeldBytes(ByteLedger &ledger, std::size_t bytes)
        : m_ledger(ledger)
        , m_bytes(bytes)
    {
        m_ledger.hold(m_bytes);
    }
    ~HeldBytes() { m_ledger.release(m_bytes); }
    HeldBytes(const HeldBytes &) = delete;
    HeldBytes &operator=(const HeldBytes &) = delete;

private:
    ByteLedger &m_ledger;
    std::size_t m_bytes;
};

} // namespace

ByteCharge::ByteCharge(AsioEventLoop &loop, ByteHolder &holder)
    : m_loop(loop)
    , m_holder(holder)
{}

ByteCharge::~ByteCharge()
{
    set(0);
}

void ByteCharge::set(std::size_t bytes)
{
    bytes -= bytes % kStepBytes;
    auto *ledger = m_loop.byteLedger();
    if (bytes == m_charged || ledger == nullptr)
        return;
    m_charged = bytes;
    if (bytes == 0)
        ledger->leave(m_holder);
    else
        ledger->charge(m_holder, bytes, m_loop.now());
}

std::shared_ptr<void> holdBytes(AsioEventLoop &loop, std::size_t bytes)
{
    auto *ledger = loop.byteLedger();
    return ledger == nullptr ? nullptr : std::make_shared<HeldBytes>(*ledger, bytes);
}

void trimBuffer(std::string &buffer)
{
    if (buffer.capacity() > kKeptBytes && buffer.size() < buffer.capacity() / 4)
        std::string(buffer).swap(buffer);
}

} // namespace hawthornslip
