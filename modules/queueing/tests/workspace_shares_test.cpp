#include "modules/queueing/service_shares.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hawthornslip {

namespace {

constexpr TimePoint kStart{seconds(100)};
constexpr Duration kTick = milliseconds(10);

/** Workspaces that ask for engine time at constant rates. */
class Load
{
public:
    /** @param capacity engine time that is given in each tick. */
    explicit Load(Duration capacity)
        : m_capacity(capacity)
    {}

    /**
     * Runs for @p time.
     *
     * @param asked engine time that each workspace, from 1 on, asks for in each tick; they get the
     *        same part of it while there is too little for all.
     */
    void run(const std::vector<Duration> &asked, Duration time)
    {
        Duration all{0};
        for (const Duration it : asked)
            all += it;
        const double part = std::min(1.0, toSeconds(m_capacity) / toSeconds(all));
        for (const TimePoint end = now + time; now < end; now += kTick) {
            for (std::size_t i = 0; i < asked.size(); ++i) {
                const auto workspace = static_cast<std::uint32_t>(i + 1);
                shares.onAsked(workspace, asked[i], now);
                shares.onGiven(workspace,
                               std::chrono::duration_cast<Duration>(
                                       part * std::chrono::duration<double>(asked[i])),
                               now);
            }
            if (part < 1)
                shares.onNoRoom(now);
        }
    }

    WorkspaceShares shares;
    TimePoint now = kStart;

private:
    Duration m_capacity;
};

} // namespace

class WorkspaceSharesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkspaceSharesTest);
    CPPUNIT_TEST(oneWorkspaceIsNeverAboveItsShare);
    CPPUNIT_TEST(nothingIsDividedWhileThereIsRoom);
    CPPUNIT_TEST(jumpShowsWithinTenthsOfASecond);
    CPPUNIT_TEST(jumpShowsWhileEnginesAreOverfilled);
    CPPUNIT_TEST(roomIsBoundByPromptsOrSlots);
    CPPUNIT_TEST(unusedShareGoesToTheOthers);
    CPPUNIT_TEST(burstOfASmallWorkspacePasses);
    CPPUNIT_TEST(peersCountUntilTheyAreDropped);
    CPPUNIT_TEST(reportsOnlyInNeedAndOnlyTheLargest);
    CPPUNIT_TEST(requestsWithoutWorkspaceAreNotDivided);
    CPPUNIT_TEST(longPromptsCountMoreThanShortOnes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against other decisions for a deployment with a single workspace. Load: it asks for
    // ten times what the engines take.
    void oneWorkspaceIsNeverAboveItsShare()
    {
        Load load(milliseconds(10));
        load.run({milliseconds(100)}, seconds(2));
        CPPUNIT_ASSERT(load.shares.isInNeed(load.now));
        CPPUNIT_ASSERT(!load.shares.isAboveShare(1, load.now));
    }

    // Guards against a large workspace that is cut back although the engines have room for all.
    void nothingIsDividedWhileThereIsRoom()
    {
        Load load(milliseconds(10));
        load.run({milliseconds(7), milliseconds(1)}, seconds(2));
        CPPUNIT_ASSERT(!load.shares.isAboveShare(1, load.now));
        CPPUNIT_ASSERT(load.shares.usesForReport(load.now).empty());
    }

    // Guards against a jump that is noticed by what is late already. Load: one of four workspaces
    // goes to ten times its usual.
    void jumpShowsWithinTenthsOfASecond()
    {
        Load load(milliseconds(10));
        const Duration usual = milliseconds(2);
        load.run({usual, usual, usual, usual}, seconds(3));
        CPPUNIT_ASSERT(!load.shares.isAboveShare(1, load.now));
        load.run({10 * usual, usual, usual, usual}, milliseconds(300));
        CPPUNIT_ASSERT(load.shares.isAboveShare(1, load.now));
        for (std::uint32_t it = 2; it <= 4; ++it)
            CPPUNIT_ASSERT(!load.shares.isAboveShare(it, load.now));
    }

    // Guards against a jump that stays unseen while nodes that do not know yet of each other's
    // requests send all of them. Load: one of four workspaces goes to ten times its usual.
    void jumpShowsWhileEnginesAreOverfilled()
    {
        Load load(seconds(1));
        const Duration usual = milliseconds(2);
        load.run({usual, usual, usual, usual}, seconds(3));
        load.shares.setRoom(1);
        load.run({10 * usual, usual, usual, usual}, milliseconds(300));
        load.shares.onNoRoom(load.now);
        CPPUNIT_ASSERT(load.shares.isAboveShare(1, load.now));
        CPPUNIT_ASSERT(!load.shares.isAboveShare(2, load.now));
    }

    // Guards against room that counts free slots which no prompt can reach, and the other way
    // round.
    void roomIsBoundByPromptsOrSlots()
    {
        EngineRoom prompts;
        prompts.onAsked({milliseconds(90), milliseconds(10)}, kStart);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10 * 0.65 / 0.9, prompts.perSecond(10), 1e-9);
        EngineRoom slots;
        slots.onAsked({milliseconds(10), milliseconds(90)}, kStart);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(10 / 0.9, slots.perSecond(10), 1e-9);
    }

    // Guards against shares that leave engines idle. Load: two small workspaces leave 80 % to two
    // large ones, which ask for half as much again.
    void unusedShareGoesToTheOthers()
    {
        Load load(milliseconds(10));
        load.run({milliseconds(1), milliseconds(1), milliseconds(6), milliseconds(6)}, seconds(4));
        CPPUNIT_ASSERT(!load.shares.isAboveShare(1, load.now));
        // Each of the large ones has less than the 40 % that are left to it, as the small ones were
        // cut back too.
        CPPUNIT_ASSERT(!load.shares.isAboveShare(3, load.now));
        CPPUNIT_ASSERT(!load.shares.isAboveShare(4, load.now));
    }

    // Guards against a small workspace whose short burst waits behind one that fills the service.
    void burstOfASmallWorkspacePasses()
    {
        Load load(milliseconds(10));
        load.run({milliseconds(40), milliseconds(1)}, seconds(3));
        load.run({milliseconds(40), milliseconds(10)}, milliseconds(300));
        CPPUNIT_ASSERT(load.shares.isAboveShare(1, load.now));
        CPPUNIT_ASSERT(!load.shares.isAboveShare(2, load.now));
    }

    // Guards against nodes that divide only their own traffic, and against a peer that left and
    // still counts.
    void peersCountUntilTheyAreDropped()
    {
        WorkspaceShares shares;
        shares.onNoRoom(kStart);
        shares.onAsked(1, milliseconds(10), kStart);
        shares.onGiven(1, milliseconds(10), kStart);
        const std::vector<WorkspaceUse> uses = {{1, seconds(9), seconds(2)},
                                                {2, milliseconds(500), milliseconds(500)}};
        shares.setPeer("10.0.0.2:1", uses, kStart);
        CPPUNIT_ASSERT(shares.isAboveShare(1, kStart) == false);
        shares.setPeer("10.0.0.3:1",
                       {{2, seconds(1), milliseconds(900)}, {3, seconds(1), milliseconds(200)}},
                       kStart);
        const TimePoint later = kStart + milliseconds(100);
        CPPUNIT_ASSERT(shares.isAboveShare(1, later));
        CPPUNIT_ASSERT(!shares.isAboveShare(2, later));
        shares.setPeer("10.0.0.2:1", {}, later);
        shares.setPeer("10.0.0.3:1", {}, later);
        CPPUNIT_ASSERT(!shares.isAboveShare(1, later + milliseconds(100)));
    }

    // Guards against reports that grow in calm times or with the number of workspaces.
    void reportsOnlyInNeedAndOnlyTheLargest()
    {
        WorkspaceShares shares;
        for (std::uint32_t it = 1; it <= 100; ++it)
            shares.onAsked(it, milliseconds(it), kStart);
        CPPUNIT_ASSERT(shares.usesForReport(kStart).empty());
        shares.onNoRoom(kStart);
        const auto uses = shares.usesForReport(kStart);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, uses.size());
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{100}, uses.front().workspace);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{93}, uses.back().workspace);
        CPPUNIT_ASSERT(shares.usesForReport(kStart + seconds(2)).empty());
    }

    // Guards against other decisions where the configuration has no workspaces.
    void requestsWithoutWorkspaceAreNotDivided()
    {
        ServiceShares shares;
        const SharedRequest request{0, {seconds(1), Duration(0)}};
        shares.workspaces().onNoRoom(kStart);
        shares.onAsked(request, 1, kStart);
        shares.onGiven(request, kStart);
        CPPUNIT_ASSERT(!shares.workspaces().isAboveShare(0, kStart));
        CPPUNIT_ASSERT(shares.workspaces().usesForReport(kStart).empty());
    }

    // Guards against shares by number of requests, of which long prompts take the engines.
    void longPromptsCountMoreThanShortOnes()
    {
        ServiceShares shares;
        CPPUNIT_ASSERT(shares.engineTime("report", 6000, 60'000, 24).total() == milliseconds(100));
        shares.onAnswered("report", milliseconds(2400));
        CPPUNIT_ASSERT(shares.engineTime("report", 6000, 60'000, 24).total() == milliseconds(200));
        CPPUNIT_ASSERT(shares.engineTime("report", 0, 60'000, 0).slot == milliseconds(2400));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkspaceSharesTest);

} // namespace hawthornslip
