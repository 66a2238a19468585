#include "modules/claims/claim_holder.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

class ClaimHolderTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimHolderTest);
    CPPUNIT_TEST(grantIsPassedOnOnce);
    CPPUNIT_TEST(lateGrantIsWithdrawn);
    CPPUNIT_TEST(grantReadAfterDeadlineIsWithdrawn);
    CPPUNIT_TEST(unknownGrantIsIgnored);
    CPPUNIT_TEST(certainRefusalNeedsNoReport);
    CPPUNIT_TEST(outcomeIsRetransmittedUntilStored);
    CPPUNIT_TEST(ownerChangeRetransmits);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a duplicate reply that sends a request twice.
    void grantIsPassedOnOnce()
    {
        ClaimHolder holder;
        start(holder);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reply(holder, ClaimVerdict::Granted).size());
        CPPUNIT_ASSERT(reply(holder, ClaimVerdict::Granted).empty());
        CPPUNIT_ASSERT(holder.view(1).known);
    }

    // Guards against sending a request that was already reported as not run.
    void lateGrantIsWithdrawn()
    {
        ClaimHolder holder;
        start(holder);
        m_now += seconds(2);
        const auto actions = holder.wake(m_now);
        CPPUNIT_ASSERT(std::get<AnswerClaim>(actions.at(0)).verdict ==
                       ClaimVerdict::StoreUnavailable);
        CPPUNIT_ASSERT(std::get<SendOutcome>(actions.at(1)).state == ClaimState::NotRun);
        CPPUNIT_ASSERT(reply(holder, ClaimVerdict::Granted).empty());
        holder.outcomeStored(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, holder.heldCount());
        const auto again = reply(holder, ClaimVerdict::Granted);
        CPPUNIT_ASSERT(std::get<SendOutcome>(again.at(0)).state == ClaimState::NotRun);
        CPPUNIT_ASSERT(holder.view(1).state == ClaimState::NotRun);
    }

    // Guards against acting on a grant after the deadline, when the process was paused.
    void grantReadAfterDeadlineIsWithdrawn()
    {
        ClaimHolder holder;
        start(holder);
        m_now += seconds(30);
        const auto actions = reply(holder, ClaimVerdict::Granted);
        CPPUNIT_ASSERT(std::get<AnswerClaim>(actions.at(0)).verdict ==
                       ClaimVerdict::StoreUnavailable);
        CPPUNIT_ASSERT(std::get<SendOutcome>(actions.at(1)).state == ClaimState::NotRun);
    }

    // Guards against a restarted node that reports not_run for a request of its earlier
    // incarnation.
    void unknownGrantIsIgnored()
    {
        ClaimHolder holder;
        CPPUNIT_ASSERT(reply(holder, ClaimVerdict::Granted).empty());
        CPPUNIT_ASSERT(!holder.view(1).known);
    }

    // Guards against outcome reports that accumulate during a long store outage, and against
    // dropping a claim that may be stored.
    void certainRefusalNeedsNoReport()
    {
        ClaimHolder holder;
        start(holder);
        reply(holder, ClaimVerdict::StoreUnavailable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, holder.heldCount());
        start(holder, 2);
        m_now += milliseconds(250);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.wake(m_now).size());
        reply(holder, ClaimVerdict::StoreUnavailable, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.heldCount());
    }

    // Guards against losing an outcome with one lost message.
    void outcomeIsRetransmittedUntilStored()
    {
        ClaimHolder holder;
        start(holder);
        reply(holder, ClaimVerdict::Granted);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.record(1, ClaimState::Ran, 200, m_now).size());
        for (int i = 0; i < 5; ++i) {
            m_now = *holder.nextWake();
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, holder.wake(m_now).size());
        }
        holder.outcomeStored(1);
        CPPUNIT_ASSERT(!holder.nextWake());
        CPPUNIT_ASSERT(!holder.view(1).known);
    }

    // Guards against a claim that waits for a former owner.
    void ownerChangeRetransmits()
    {
        ClaimHolder holder;
        start(holder);
        const auto actions = holder.ownersChanged(m_now);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, std::get<SendClaim>(actions.at(0)).claim.claimId);
    }

private:
    void start(ClaimHolder &holder, std::uint64_t id = 1)
    {
        holder.claim({3, id, "k", 9}, m_now + seconds(2), m_now);
    }

    ClaimHolderActions reply(ClaimHolder &holder, ClaimVerdict verdict, std::uint64_t id = 1)
    {
        return holder.replied({NodeId("n"), id, verdict, {}, 0, 1, false}, m_now);
    }

    TimePoint m_now{seconds(100)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimHolderTest);

} // namespace hawthornslip
