#include "modules/claims/claim_shard.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>

namespace hawthornslip {

namespace {

// In-memory store for several owners of one shard, with fault injection.
class ShardHarness
{
public:
    explicit ShardHarness(ClaimShardOptions shardOptions = {})
        : options(shardOptions)
    {
        addOwner();
    }

    ClaimShard &addOwner()
    {
        owners.push_back(std::make_unique<ClaimShard>(7, options, owners.size() + 1));
        return *owners.back();
    }

    // Runs actions of owner n and the actions that result from them; records all replies.
    void run(std::size_t n, ClaimActions actions)
    {
        for (auto &it : actions)
            handle(n, it);
    }

    void wake(std::size_t n, Duration span)
    {
        time.now += span;
        time.wall += toMillis(span);
        run(n, owners[n]->wake(time));
    }

    void claim(std::size_t n, std::uint64_t id, const std::string &key = "k",
               std::uint64_t body = 1)
    {
        run(n, owners[n]->claim({NodeId("n" + std::to_string(id)), id, key, body}, time));
    }

    void outcome(std::size_t n, std::uint64_t id, ClaimState state, const std::string &key = "k")
    {
        run(n, owners[n]->outcome({NodeId("n" + std::to_string(id)), id, key, state, 200}, time));
    }

    void lookUp(std::size_t n, const std::string &key = "k")
    {
        run(n, owners[n]->lookUp({NodeId("q"), 99, key}, time));
    }

    void answerHolder(std::size_t n, std::uint64_t id, const HolderView &view)
    {
        run(n, owners[n]->holderAnswered(id, view, time));
    }

    // The verdict of the last reply to claim id, or nothing.
    std::optional<ClaimVerdict> verdict(std::uint64_t id) const
    {
        std::optional<ClaimVerdict> last;
        for (const auto &it : replies) {
            if (it.claimId == id)
                last = it.verdict;
        }
        return last;
    }

    int granted() const
    {
        int n = 0;
        for (const auto &it : replies)
            n += it.verdict == ClaimVerdict::Granted ? 1 : 0;
        return n;
    }

    ClaimShardOptions options;
    std::vector<std::unique_ptr<ClaimShard>> owners;
    ClaimTime time{TimePoint(seconds(1000)), 1'700'000'000'000};
    ClaimShardData object;
    std::uint64_t version = 0;
    std::map<std::string, std::vector<ClaimRecord>> segments;
    std::vector<SendClaimReply> replies;
    std::vector<SendOutcomeAck> acks;
    std::vector<SendLookupReply> lookups;
    std::vector<QueryClaimHolder> holderQueries;
    std::vector<ClaimViolation> violations;
    std::vector<std::string> cleared;
    int writes = 0;
    int reads = 0;
    // Injected faults.
    StoreError writeFault = StoreError::None;
    bool loseAnswer = false;
    StoreError readFault = StoreError::None;
    // Queues writes in heldWrites instead of running them.
    bool holdWrites = false;
    std::vector<std::pair<std::size_t, WriteClaimShard>> heldWrites;

    void commit(std::size_t n, const WriteClaimShard &write)
    {
        ++writes;
        if (writeFault != StoreError::None) {
            run(n, owners[n]->shardWritten(write.operation, writeFault, 0, time));
            return;
        }
        if (write.expectedVersion != version) {
            run(n, owners[n]->shardWritten(write.operation, StoreError::Conflict, 0, time));
            return;
        }
        object = write.data;
        ++version;
        const auto error = loseAnswer ? StoreError::Unknown : StoreError::None;
        loseAnswer = false;
        run(n, owners[n]->shardWritten(write.operation, error, version, time));
    }

private:
    void handle(std::size_t n, ClaimAction &action)
    {
        if (auto *read = std::get_if<ReadClaimShard>(&action)) {
            ++reads;
            const auto error = readFault != StoreError::None ? readFault
                               : version == 0                ? StoreError::NotFound
                                                             : StoreError::None;
            run(n, owners[n]->shardRead(read->operation, error, object, version, time));
        } else if (auto *write = std::get_if<WriteClaimShard>(&action)) {
            if (holdWrites)
                heldWrites.emplace_back(n, *write);
            else
                commit(n, *write);
        } else if (auto *seal = std::get_if<WriteClaimSegment>(&action)) {
            const bool created = segments.emplace(seal->name, seal->records).second;
            run(n,
                owners[n]->segmentWritten(seal->operation,
                                          created ? StoreError::None : StoreError::Conflict, time));
        } else if (auto *segment = std::get_if<ReadClaimSegment>(&action)) {
            const auto it = segments.find(segment->name);
            const bool found = it != segments.end();
            run(n, owners[n]->segmentRead(segment->operation, segment->name,
                                          found ? StoreError::None : StoreError::NotFound,
                                          found ? std::optional(it->second) : std::nullopt, time));
        } else {
            keep(action);
        }
    }

    void keep(const ClaimAction &action)
    {
        if (const auto *reply = std::get_if<SendClaimReply>(&action))
            replies.push_back(*reply);
        else if (const auto *ack = std::get_if<SendOutcomeAck>(&action))
            acks.push_back(*ack);
        else if (const auto *found = std::get_if<SendLookupReply>(&action))
            lookups.push_back(*found);
        else if (const auto *query = std::get_if<QueryClaimHolder>(&action))
            holderQueries.push_back(*query);
        else if (const auto *violation = std::get_if<ClaimViolation>(&action))
            violations.push_back(*violation);
        else if (const auto *clear = std::get_if<ClearClaimSegment>(&action))
            cleared.push_back(clear->name);
    }
};

const auto kBatchWait = milliseconds(5);

} // namespace

class ClaimShardTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClaimShardTest);
    CPPUNIT_TEST(batchSharesOneWrite);
    CPPUNIT_TEST(nothingIsGrantedBeforeTheWrite);
    CPPUNIT_TEST(lostAnswerIsReadBack);
    CPPUNIT_TEST(delayedWriteIsNotGrantedTwice);
    CPPUNIT_TEST(staleOwnerGrantsNothing);
    CPPUNIT_TEST(outageRefusesAndRecovers);
    CPPUNIT_TEST(undecodableObjectGrantsNothing);
    CPPUNIT_TEST(repeatedKeyQueriesTheHolder);
    CPPUNIT_TEST(forgottenClaimIsReadAgain);
    CPPUNIT_TEST(notRunFreesTheKey);
    CPPUNIT_TEST(finalStatesAreKept);
    CPPUNIT_TEST(reusedKeyIsRefused);
    CPPUNIT_TEST(withdrawnClaimIsNotStoredLater);
    CPPUNIT_TEST(outcomeIsAcknowledgedAfterItsWrite);
    CPPUNIT_TEST(sealedRecordsAreFound);
    CPPUNIT_TEST(missingSegmentGrantsNothing);
    CPPUNIT_TEST(expiredRecordsAreDropped);
    CPPUNIT_TEST(fullShardRefuses);
    CPPUNIT_TEST(lookupsAreFresh);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against one store write per claim.
    void batchSharesOneWrite()
    {
        ShardHarness harness;
        for (std::uint64_t id = 1; id <= 20; ++id)
            harness.claim(0, id, "k" + std::to_string(id));
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT_EQUAL(1, harness.writes);
        CPPUNIT_ASSERT_EQUAL(20, harness.granted());
    }

    // Guards against a grant whose claim was never stored.
    void nothingIsGrantedBeforeTheWrite()
    {
        ShardHarness harness;
        harness.holdWrites = true;
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.heldWrites.size());
        CPPUNIT_ASSERT(!harness.verdict(1));
        harness.commit(0, harness.heldWrites[0].second);
        CPPUNIT_ASSERT(harness.verdict(1) == ClaimVerdict::Granted);
    }

    // Guards against refusing or rewriting a claim that is stored, when the answer to its write is
    // lost.
    void lostAnswerIsReadBack()
    {
        ShardHarness harness;
        harness.loseAnswer = true;
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(1) == ClaimVerdict::Granted);
        CPPUNIT_ASSERT_EQUAL(1, harness.writes);
    }

    // Guards against a second grant when a delayed write arrives after another owner's write.
    void delayedWriteIsNotGrantedTwice()
    {
        ShardHarness harness;
        harness.addOwner();
        harness.holdWrites = true;
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        const auto late = harness.heldWrites[0].second;
        harness.holdWrites = false;
        harness.claim(1, 2);
        harness.wake(1, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(2) == ClaimVerdict::Granted);
        harness.commit(0, late);
        harness.answerHolder(0, 2, {true, ClaimState::Claimed, 0});
        CPPUNIT_ASSERT(harness.verdict(1) == ClaimVerdict::InProgress);
        CPPUNIT_ASSERT_EQUAL(1, harness.granted());
    }

    // Guards against a paused owner that grants from an outdated version of the object.
    void staleOwnerGrantsNothing()
    {
        ShardHarness harness;
        harness.addOwner();
        harness.claim(0, 1, "other");
        harness.wake(0, kBatchWait);
        harness.claim(1, 2);
        harness.wake(1, kBatchWait);
        harness.outcome(1, 2, ClaimState::Ran);
        harness.wake(1, milliseconds(100));
        harness.claim(0, 3);
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(3) == ClaimVerdict::Ran);
    }

    // Guards against claims that hang or are granted during a store outage, and against a shard
    // that keeps refusing claims afterwards.
    void outageRefusesAndRecovers()
    {
        ShardHarness harness;
        harness.writeFault = StoreError::Unavailable;
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(1) == ClaimVerdict::StoreUnavailable);
        CPPUNIT_ASSERT(!harness.replies.back().mayBeStored);
        harness.writeFault = StoreError::Unknown;
        harness.readFault = StoreError::Unavailable;
        harness.time.now += seconds(2);
        harness.claim(0, 2);
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(2) == ClaimVerdict::StoreUnavailable);
        CPPUNIT_ASSERT(harness.replies.back().mayBeStored);
        harness.writeFault = harness.readFault = StoreError::None;
        harness.time.now += seconds(2);
        harness.claim(0, 3);
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(3) == ClaimVerdict::Granted);
    }

    // Guards against treating an object of an unknown format as an empty shard.
    void undecodableObjectGrantsNothing()
    {
        ClaimShard shard(7, {}, 1);
        ClaimTime time{TimePoint(seconds(1)), 1};
        const auto actions = shard.claim({NodeId("n"), 1, "k", 1}, time);
        const auto operation = std::get<ReadClaimShard>(actions.front()).operation;
        const auto next = shard.shardRead(operation, StoreError::None, std::nullopt, 3, time);
        const auto &reply = std::get<SendClaimReply>(next.front());
        CPPUNIT_ASSERT(reply.verdict == ClaimVerdict::StoreUnavailable);
    }

    // Guards against a verdict on a claim in progress without a query to its holder.
    void repeatedKeyQueriesTheHolder()
    {
        ShardHarness harness;
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        harness.claim(0, 2);
        CPPUNIT_ASSERT(harness.holderQueries.back().holder == NodeId("n1"));
        harness.answerHolder(0, 1, {true, ClaimState::Claimed, 0});
        CPPUNIT_ASSERT(harness.verdict(2) == ClaimVerdict::InProgress);
        harness.claim(0, 3);
        harness.wake(0, harness.options.holderTimeout);
        CPPUNIT_ASSERT(harness.verdict(3) == ClaimVerdict::MayHaveRun);
        harness.claim(0, 4);
        harness.answerHolder(0, 1, {true, ClaimState::NotRun, 0});
        harness.wake(0, milliseconds(100));
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(4) == ClaimVerdict::Granted);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2}, harness.replies.back().attempt);
    }

    // Guards against "may have run" when another owner has stored the outcome in the meantime.
    void forgottenClaimIsReadAgain()
    {
        ShardHarness harness;
        harness.addOwner();
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        harness.claim(0, 2);
        harness.outcome(1, 1, ClaimState::Ran);
        harness.wake(1, milliseconds(100));
        harness.answerHolder(0, 1, {});
        CPPUNIT_ASSERT(harness.verdict(2) == ClaimVerdict::Ran);
    }

    // Guards against a key that stays blocked after its request was not run.
    void notRunFreesTheKey()
    {
        ShardHarness harness;
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        harness.outcome(0, 1, ClaimState::NotRun);
        harness.wake(0, milliseconds(100));
        harness.claim(0, 2);
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(2) == ClaimVerdict::Granted);
        // A delayed message of the first attempt must neither free nor claim the key.
        harness.outcome(0, 1, ClaimState::NotRun);
        harness.claim(0, 1);
        harness.wake(0, milliseconds(100));
        harness.answerHolder(0, 2, {true, ClaimState::Claimed, 0});
        CPPUNIT_ASSERT(harness.verdict(1) == ClaimVerdict::InProgress);
        CPPUNIT_ASSERT(harness.violations.empty());
    }

    // Guards against a delayed report that frees a key whose request was sent.
    void finalStatesAreKept()
    {
        for (const auto state : {ClaimState::Ran, ClaimState::MayHaveRun}) {
            ShardHarness harness;
            harness.claim(0, 1);
            harness.wake(0, kBatchWait);
            harness.outcome(0, 1, state);
            harness.wake(0, milliseconds(100));
            harness.outcome(0, 1, ClaimState::NotRun);
            harness.wake(0, milliseconds(100));
            CPPUNIT_ASSERT(harness.object.open.at(0).state == state);
            harness.claim(0, 2);
            harness.wake(0, kBatchWait);
            CPPUNIT_ASSERT(harness.verdict(2) != ClaimVerdict::Granted);
        }
    }

    // Guards against answering a request with the outcome of a different one with the same key.
    void reusedKeyIsRefused()
    {
        ShardHarness harness;
        harness.claim(0, 1, "k", 1);
        harness.wake(0, kBatchWait);
        harness.claim(0, 2, "k", 2);
        CPPUNIT_ASSERT(harness.verdict(2) == ClaimVerdict::KeyReused);
    }

    // Guards against a claim that is stored after its holder reported not_run and blocks the key.
    void withdrawnClaimIsNotStoredLater()
    {
        ShardHarness harness;
        harness.addOwner();
        harness.holdWrites = true;
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        const auto late = harness.heldWrites[0].second;
        harness.holdWrites = false;
        harness.outcome(1, 1, ClaimState::NotRun);
        harness.wake(1, milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.acks.size());
        harness.commit(0, late);
        CPPUNIT_ASSERT(harness.verdict(1) == ClaimVerdict::StoreUnavailable);
        harness.claim(1, 2);
        harness.wake(1, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(2) == ClaimVerdict::Granted);
    }

    // Guards against acknowledging an outcome before it is stored.
    void outcomeIsAcknowledgedAfterItsWrite()
    {
        ShardHarness harness;
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        harness.writeFault = StoreError::Unavailable;
        harness.outcome(0, 1, ClaimState::Ran);
        harness.wake(0, milliseconds(100));
        CPPUNIT_ASSERT(harness.acks.empty());
        harness.writeFault = StoreError::None;
        harness.wake(0, seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.acks.size());
    }

    // Guards against granting a key again after its record was sealed into a segment.
    void sealedRecordsAreFound()
    {
        ClaimShardOptions options;
        options.sealBytes = 2000;
        ShardHarness harness(options);
        for (std::uint64_t id = 1; id <= 100; ++id) {
            harness.claim(0, id, "k" + std::to_string(id));
            harness.wake(0, kBatchWait);
        }
        CPPUNIT_ASSERT(harness.object.segments.size() >= 3);
        CPPUNIT_ASSERT_EQUAL(100, harness.granted());
        harness.addOwner();
        for (std::uint64_t id = 1; id <= 100; ++id) {
            harness.claim(1, 1000 + id, "k" + std::to_string(id));
            harness.wake(1, harness.options.holderTimeout);
            CPPUNIT_ASSERT(harness.verdict(1000 + id) == ClaimVerdict::MayHaveRun);
        }
    }

    // Guards against grants while a segment cannot be read.
    void missingSegmentGrantsNothing()
    {
        ShardHarness harness;
        harness.object.segments = {{"claims/7/0-1", harness.time.wall, 5}};
        harness.version = 2;
        harness.claim(0, 1);
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(1) == ClaimVerdict::StoreUnavailable);
    }

    // Guards against a shard object that grows without limit.
    void expiredRecordsAreDropped()
    {
        ClaimShardOptions options;
        options.sealBytes = 2000;
        ShardHarness harness(options);
        for (std::uint64_t id = 1; id <= 50; ++id) {
            harness.claim(0, id, "k" + std::to_string(id));
            harness.wake(0, kBatchWait);
        }
        CPPUNIT_ASSERT(!harness.object.segments.empty());
        harness.wake(0, seconds(24 * 3600 + 10));
        harness.claim(0, 60, "k1");
        harness.wake(0, kBatchWait);
        CPPUNIT_ASSERT(harness.verdict(60) == ClaimVerdict::Granted);
        CPPUNIT_ASSERT(harness.object.segments.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, harness.object.open.size());
        CPPUNIT_ASSERT(!harness.cleared.empty());
    }

    // Guards against an unlimited number of records in a shard.
    void fullShardRefuses()
    {
        ClaimShardOptions options;
        options.maxRecords = 3;
        ShardHarness harness(options);
        for (std::uint64_t id = 1; id <= 4; ++id) {
            harness.claim(0, id, "k" + std::to_string(id));
            harness.wake(0, kBatchWait);
        }
        CPPUNIT_ASSERT_EQUAL(3, harness.granted());
        CPPUNIT_ASSERT(harness.verdict(4) == ClaimVerdict::Full);
    }

    // Guards against "never claimed" from an outdated version; a caller might send its request
    // again.
    void lookupsAreFresh()
    {
        ShardHarness harness;
        harness.addOwner();
        harness.lookUp(0);
        CPPUNIT_ASSERT(!harness.lookups.back().record);
        harness.claim(1, 1);
        harness.wake(1, kBatchWait);
        harness.outcome(1, 1, ClaimState::Ran);
        harness.wake(1, milliseconds(100));
        harness.lookUp(0);
        CPPUNIT_ASSERT(harness.lookups.back().record->state == ClaimState::Ran);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimShardTest);

} // namespace hawthornslip
