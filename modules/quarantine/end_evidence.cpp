#include "modules/quarantine/end_evidence.h"

#include <array>

namespace hawthornslip {

namespace {

// The kernel closes the connections and the listener of a process that ends one after the other,
// and bytes that it has sent may still be read by then.
constexpr Duration kSettling = milliseconds(20);
// An address that takes connections and answers none may be busy once, not twice.
constexpr std::size_t kMinUnanswered = 2;
// The second ask finds a process that closes its connections before it exits; the others wait for
// the list, from which the platform drops an entry after three heartbeats.
constexpr std::array<EndEvidence::Look, 7> kLooks = {{{kSettling, true},
                                                      {milliseconds(400), true},
                                                      {milliseconds(300), false},
                                                      {milliseconds(400), false},
                                                      {milliseconds(600), false},
                                                      {milliseconds(1000), false},
                                                      {milliseconds(1600), false}}};

} // namespace

void EndEvidence::onLost(bool hadBegun, TimePoint now)
{
    m_lostAt = now;
    m_hasBegun = m_hasBegun || hadBegun;
    if (willAsk())
        return;
    m_looks = 0;
    m_unanswered = 0;
}

void EndEvidence::onListing(ProcessListing listing)
{
    // One that had left before says nothing by being away.
    const bool isNews = listing == ProcessListing::Replaced || m_listing == ProcessListing::Listed;
    if (listing != ProcessListing::Listed && isNews)
        m_conclusion = Conclusion::Ended;
}

bool EndEvidence::willAsk() const
{
    return m_looks < kLooks.size() && kLooks.at(m_looks).asks;
}

void EndEvidence::onProbed(ProbeResult result)
{
    m_hasAnswered = m_hasAnswered || result == ProbeResult::Answered;
    m_unanswered += result == ProbeResult::Unanswered ? 1 : 0;
    // A full upstream resets new connections too, but none whose answer it has begun.
    const bool isDeaf = m_hasBegun && m_unanswered >= kMinUnanswered;
    if (m_conclusion == Conclusion::Unknown && (result == ProbeResult::Refused || isDeaf))
        m_conclusion = Conclusion::Ended;
}

void EndEvidence::onBytes(TimePoint sentAt, TimePoint now)
{
    if (m_conclusion == Conclusion::Unknown && sentAt < m_lostAt && now > m_lostAt + kSettling)
        m_conclusion = Conclusion::Dropped;
}

std::optional<EndEvidence::Look> EndEvidence::nextLook()
{
    if (m_looks == kLooks.size()) {
        m_conclusion = Conclusion::Dropped;
        return std::nullopt;
    }
    return kLooks.at(m_looks++);
}

} // namespace hawthornslip
