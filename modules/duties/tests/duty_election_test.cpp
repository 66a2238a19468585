#include "modules/duties/duty_election.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hawthornslip {

namespace {

// A sanitizer slows a schedule up to twentyfold; it looks for faults of memory, not of the order of
// events, which the plain build searches.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t kSchedules = 1'000;
#else
constexpr std::uint64_t kSchedules = 10'000;
#endif
constexpr Duration kLease = seconds(3);
constexpr Duration kStep = milliseconds(50);

struct Object
{
    LeaseRecord record;
    std::uint64_t version = 0;
};

/** A call that was given out and is carried out, or answered, at a drawn time. */
struct Pending
{
    std::size_t node = 0;
    std::uint64_t process = 0;
    LeaseAction action;
    std::uint64_t era = 0;
    TimePoint carriedOutAt{};
    TimePoint answeredAt{};
    bool isLost = false;
    bool isCarriedOut = false;
    StoreResult result;
};

/** A use of a term at the provider. */
struct Call
{
    std::size_t node = 0;
    std::uint64_t process = 0;
    std::uint64_t generation = 0;
    TimePoint at{};
};

/**
 * Plays one schedule of elections: three nodes, the store and the provider, with delays, lost
 * answers, late writes, freezes, restarts and a store that restarts from an older copy.
 */
class Schedule
{
public:
    explicit Schedule(std::uint64_t seed)
        : m_random(seed)
    {
        for (std::size_t i = 0; i < 3; ++i)
            restart(i);
    }

    /** How often each disturbance is drawn; 0 never. */
    int disturbancePercent = 100;

    void play(Duration span)
    {
        const TimePoint end = m_now + span;
        for (; m_now < end; m_now += kStep) {
            disturb();
            carryOut();
            answer();
            for (std::size_t i = 0; i < m_nodes.size(); ++i)
                step(i);
        }
    }

    const std::vector<Call> &calls() const { return m_calls; }
    const std::string &fault() const { return m_fault; }

private:
    struct Node
    {
        std::unique_ptr<DutyElection> election;
        std::uint64_t process = 0;
        TimePoint frozenUntil{};
        TimePoint wakeAt{};
        bool isCut = false;
    };

    bool draw(int perMille)
    {
        return std::uniform_int_distribution<int>(0, 99'999)(m_random) <
               perMille * disturbancePercent;
    }

    Duration span(std::int64_t low, std::int64_t high)
    {
        return milliseconds(std::uniform_int_distribution<std::int64_t>(low, high)(m_random));
    }

    void restart(std::size_t i)
    {
        auto &node = m_nodes[i];
        node.process = ++m_lastProcess;
        node.election = std::make_unique<DutyElection>(NodeId("node-" + std::to_string(i)),
                                                       node.process, kLease, m_now);
        node.wakeAt = m_now;
        perform(i, node.election->setWanted(true, m_now));
    }

    void disturb()
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (draw(2))
                restart(i);
            if (draw(3))
                m_nodes[i].frozenUntil = m_now + span(200, 8000);
            if (draw(3))
                m_nodes[i].isCut = !m_nodes[i].isCut;
        }
        if (draw(1))
            m_copy = m_objects;
        if (draw(1) && m_copy) {
            m_objects = *m_copy;
            ++m_era;
        }
    }

    void perform(std::size_t i, const LeaseActions &actions)
    {
        auto &node = m_nodes[i];
        for (const auto &it : actions) {
            if (const auto *wake = std::get_if<WakeLease>(&it)) {
                node.wakeAt = std::min(node.wakeAt, wake->at);
                if (node.wakeAt <= m_now)
                    node.wakeAt = wake->at;
            } else if (std::holds_alternative<ReadLease>(it) ||
                       std::holds_alternative<WriteLease>(it)) {
                Pending call;
                call.node = i;
                call.process = node.process;
                call.action = it;
                call.era = node.election->era();
                call.carriedOutAt = m_now + (draw(50) ? span(0, 6000) : span(0, 20));
                call.answeredAt = call.carriedOutAt + span(0, 20);
                call.isLost = node.isCut || draw(50);
                if (node.isCut && draw(500))
                    continue;
                m_pending.push_back(call);
            }
        }
    }

    void carryOut()
    {
        for (auto &it : m_pending) {
            if (it.isCarriedOut || it.carriedOutAt > m_now)
                continue;
            it.isCarriedOut = true;
            auto &object = m_objects[it.era];
            it.result.era = m_era;
            if (const auto *write = std::get_if<WriteLease>(&it.action)) {
                if (write->expectedVersion != object.version) {
                    it.result.error = StoreError::Conflict;
                } else {
                    object = {write->record, ++m_revision};
                }
            } else if (object.version == 0) {
                it.result.error = StoreError::NotFound;
            } else {
                it.result.object.value = encodeLease(object.record);
            }
            it.result.object.version = object.version;
        }
    }

    void answer()
    {
        for (std::size_t k = 0; k < m_pending.size();) {
            const Pending it = m_pending[k];
            if (!it.isCarriedOut || it.answeredAt > m_now) {
                ++k;
                continue;
            }
            if (m_nodes[it.node].frozenUntil > m_now) {
                ++k;
                continue;
            }
            m_pending.erase(m_pending.begin() + static_cast<std::ptrdiff_t>(k));
            auto &node = m_nodes[it.node];
            if (node.process != it.process || it.isLost || node.election->era() != it.era)
                continue;
            if (const auto *write = std::get_if<WriteLease>(&it.action))
                perform(it.node, node.election->onWritten(write->operation, it.result, m_now));
            else
                perform(it.node, node.election->onRead(std::get<ReadLease>(it.action).operation,
                                                       it.result, m_now));
        }
    }

    void step(std::size_t i)
    {
        auto &node = m_nodes[i];
        if (node.frozenUntil > m_now)
            return;
        // A frozen holder asks for its term before anything else has run.
        use(i);
        if (node.wakeAt <= m_now) {
            node.wakeAt = m_now + kStep;
            perform(i, node.election->wake(m_now));
        }
        use(i);
    }

    void use(std::size_t i)
    {
        auto &node = m_nodes[i];
        const auto term = node.election->current(m_now);
        if (!term)
            return;
        if (term->generation < m_highest) {
            node.election->onSuperseded(term->generation, m_now);
            return;
        }
        m_highest = term->generation;
        for (const auto &it : m_nodes) {
            if (&it != &node && it.election->era() == node.election->era() &&
                it.election->current(m_now))
                m_fault = "two nodes hold the lease";
        }
        const auto [user, isNew] = m_users.emplace(term->generation, node.process);
        if (user->second != node.process)
            m_fault = "two processes used one generation";
        for (auto it = m_calls.rbegin(); it != m_calls.rend() && m_now - it->at < kLease; ++it) {
            if (it->node == i)
                continue;
            for (auto first = it; first != m_calls.rend() && m_now - first->at < kLease; ++first) {
                if (first->node == i)
                    m_fault = "two nodes acted in turns within the lease";
            }
            break;
        }
        if (m_calls.empty() || m_calls.back().generation != term->generation ||
            m_now - m_calls.back().at > milliseconds(400))
            m_calls.push_back({i, node.process, term->generation, m_now});
        else
            m_calls.back().at = m_now;
    }

    std::mt19937_64 m_random;
    TimePoint m_now{seconds(1000)};
    std::array<Node, 3> m_nodes;
    std::uint64_t m_lastProcess = 0;
    std::uint64_t m_era = 1;
    std::uint64_t m_revision = 0;
    std::map<std::uint64_t, Object> m_objects;
    std::optional<std::map<std::uint64_t, Object>> m_copy;
    std::vector<Pending> m_pending;
    std::vector<Call> m_calls;
    std::map<std::uint64_t, std::uint64_t> m_users;
    std::uint64_t m_highest = 0;
    std::string m_fault;
};

} // namespace

class DutyElectionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(DutyElectionTest);
    CPPUNIT_TEST(calmScheduleHasOneHolder);
    CPPUNIT_TEST(noScheduleHasTwoHoldersOfOneGeneration);
    CPPUNIT_TEST(noTermStartsWithinOneLeaseOfTheStart);
    CPPUNIT_TEST(supersededTermEndsAtOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against duties that nobody performs, or that wander between healthy nodes.
    void calmScheduleHasOneHolder()
    {
        Schedule schedule(1);
        schedule.disturbancePercent = 0;
        schedule.play(seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::string(), schedule.fault());
        CPPUNIT_ASSERT(!schedule.calls().empty());
        CPPUNIT_ASSERT_EQUAL(schedule.calls().front().generation,
                             schedule.calls().back().generation);
    }

    // Guards against two nodes, or two processes of one node, that call with the same generation,
    // and against nodes that act in turns, in any order of delays, losses, freezes and restarts.
    void noScheduleHasTwoHoldersOfOneGeneration()
    {
        std::size_t terms = 0;
        for (std::uint64_t seed = 1; seed <= kSchedules; ++seed) {
            Schedule schedule(seed);
            schedule.play(seconds(30));
            CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed), std::string(),
                                         schedule.fault());
            terms += schedule.calls().size();
        }
        CPPUNIT_ASSERT(terms > kSchedules);
    }

    // Guards against a process that has just started and takes the duties back that its
    // predecessor gave up while another node acted.
    void noTermStartsWithinOneLeaseOfTheStart()
    {
        const TimePoint start{seconds(5)};
        DutyElection election(NodeId("a"), 1, kLease, start);
        const auto actions = election.setWanted(true, start + kLease / 2);
        CPPUNIT_ASSERT(std::none_of(actions.begin(), actions.end(), [](const auto &it) {
            return std::holds_alternative<ReadLease>(it) || std::holds_alternative<WriteLease>(it);
        }));
    }

    // Guards against a holder that calls on after the provider has refused its generation.
    void supersededTermEndsAtOnce()
    {
        const TimePoint start{seconds(5)};
        const TimePoint now = start + kLease;
        DutyElection election(NodeId("a"), 1, kLease, start);
        auto actions = election.setWanted(true, now);
        auto read = std::get<ReadLease>(actions.front());
        actions = election.onRead(read.operation, {StoreError::NotFound, {}, {}}, now);
        const auto write = std::get<WriteLease>(actions.front());
        actions = election.onWritten(write.operation, {StoreError::None, {{}, 7}, {}}, now);
        const auto term = election.current(now);
        CPPUNIT_ASSERT(term.has_value());
        election.onSuperseded(term->generation, now);
        CPPUNIT_ASSERT(!election.current(now).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DutyElectionTest);

} // namespace hawthornslip
