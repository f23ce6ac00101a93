#include "core/controllers.h"
#include "core/step.h"
#include "fakestore.h"
#include "wire/recordjson.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <random>

namespace sequoiastand
{

struct Ledger : testing::Test
{
    static constexpr std::chrono::hours hour{1};
    FakeStore store;
    TimePoint now{Duration{1'000}};
    WallTime wallNow{Duration{1'800'000'000'000}}; // 2027-01-15 08:00

    Blackboard owner() const
    {
        HostSettings settings{.id = {"e1"}, .availabilityZone = {"z1"}};
        settings.limits.ledgerDelay = hour;
        auto board = makeBlackboard(settings, now, wallNow);
        board.epoch = 1;
        board.store.isLoaded = true;
        return board;
    }

    Job endedJob(int number, WallTime end) const
    {
        Job job;
        job.specification = {.id = {{"kask"}, {"r" + std::to_string(number)}}, .team = {"profiles"}, .payload = std::string(2'000, 'p')};
        job.availabilityZone = {"z1"};
        job.state = JobState::Finished;
        job.attemptCount = 1;
        job.attemptOwner = {"e1"};
        job.acceptedAt = end - 3 * hour;
        job.startedAt = end - 2 * hour;
        job.finishedAt = end;
        job.result = std::string(2'000, 'r');
        job.explanation = "finished in attempt 1";
        job.held = {{1, 8, end - 2 * hour, end, false, Duration{0}, HoldEnd::Finished}};
        return job;
    }

    /// Stores the record and puts it on the board, as the watch would do.
    void addJob(Blackboard &board, Job job)
    {
        const auto key = jobKey(job.specification.id);
        putRow(store, key, job, now);
        job.revision = store.rows.at(key).revision;
        board.jobs.put(job.specification.id, job);
    }

    /// Replaces the board's jobs by the stored records.
    void reload(Blackboard &board)
    {
        const auto rows = board.jobs.rows();
        for (const auto &[id, job] : rows) {
            if (!store.rows.contains(jobKey(id))) {
                board.jobs.erase(id);
            }
        }
        for (const auto &[key, entry] : store.rows) {
            if (const auto *record = std::get_if<Job>(&entry.record)) {
                Job job = *record;
                job.revision = entry.revision;
                board.jobs.put(job.specification.id, job);
            }
        }
    }

    /// Runs the controller and lets the store carry out the requested transaction; false if none was requested.
    bool moveToLedger(Blackboard &board)
    {
        board.now = now;
        board.wallNow = wallNow;
        updateLedger(board);
        board.store.transactionResults.clear();
        board.jobs.clearChanges();
        if (board.store.transactions.empty()) {
            return false;
        }
        const auto writes = board.store.transactions.front().writes;
        board.store.transactions.pop_front();
        submitCall(store, board.self.id, {CallId{1}, StoreTransaction{writes}}, now);
        now += Duration{10};
        for (const auto &event : takeStoreEvents(store, board.self.id, now)) {
            if (const auto *reply = std::get_if<StoreReply>(&event)) {
                const auto outcome = reply->outcome == StoreOutcome::Applied ? WriteOutcome::Applied : WriteOutcome::Conflict;
                board.store.transactionResults.push_back({writes.front().key, outcome, reply->revision, reply->entries});
            }
        }
        return true;
    }

    std::map<StoreKey, LedgerBatch> batches() const
    {
        std::map<StoreKey, LedgerBatch> found;
        for (const auto &[key, entry] : store.rows) {
            if (const auto *batch = std::get_if<LedgerBatch>(&entry.record)) {
                found.emplace(key, *batch);
            }
        }
        return found;
    }
};

TEST_F(Ledger, recordsMoveAfterTheDelayWithoutPayloadAndResult)
{
    auto board = owner();
    addJob(board, endedJob(1, wallNow - hour * 2));
    addJob(board, endedJob(2, wallNow - hour * 2 + Duration{1}));
    addJob(board, endedJob(3, wallNow - Duration{1}));
    while (moveToLedger(board)) {
    }
    const auto written = batches();
    ASSERT_EQ(written.size(), 1U);
    EXPECT_EQ(written.begin()->first.path, "ledger/20270115/z1/000001");
    const auto &rows = written.begin()->second.jobs;
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_TRUE(rows[0].specification.payload.empty() && rows[0].result.empty());
    EXPECT_FALSE(store.rows.contains(jobKey(rows[0].specification.id)));
    EXPECT_TRUE(store.rows.contains(jobKey({{"kask"}, {"r3"}})));
}

TEST_F(Ledger, recordOfAnotherZoneOrNotYetStoredStays)
{
    auto board = owner();
    auto other = endedJob(1, wallNow - hour * 5);
    other.availabilityZone = {"z2"};
    addJob(board, other);
    board.jobs.put({{"kask"}, {"r2"}}, endedJob(2, wallNow - hour * 5));
    EXPECT_FALSE(moveToLedger(board));
}

// Guards against a record that moves into the ledger although it has changed, or is lost because another record of its batch has changed.
TEST_F(Ledger, changedRecordStaysAndTheOthersMove)
{
    auto board = owner();
    addJob(board, endedJob(1, wallNow - hour * 3));
    addJob(board, endedJob(2, wallNow - hour * 3));
    putRow(store, jobKey({{"kask"}, {"r1"}}), endedJob(1, wallNow - hour * 4), now);
    while (moveToLedger(board)) {
    }
    ASSERT_EQ(batches().size(), 1U);
    EXPECT_EQ(batches().begin()->second.jobs.size(), 1U);
    EXPECT_TRUE(store.rows.contains(jobKey({{"kask"}, {"r1"}})));
}

// Guards against a job that two successive owners both write into the ledger, or that neither writes.
TEST_F(Ledger, everyRecordMovesOnceWithRacingOwners)
{
    std::mt19937 random(7);
    std::vector<Blackboard> owners{owner(), owner(), owner()};
    for (int number = 0; number < 500; ++number) {
        addJob(owners[0], endedJob(number, wallNow - hour * 30 + std::chrono::minutes{number}));
    }
    for (int round = 0; round < 400; ++round) {
        auto &board = owners[random() % owners.size()];
        if (random() % 3 == 0) {
            reload(board);
        }
        moveToLedger(board);
    }
    std::map<JobId, int> seen;
    for (const auto &[key, batch] : batches()) {
        EXPECT_LE(batch.jobs.size(), 63U);
        for (const auto &job : batch.jobs) {
            ++seen[job.specification.id];
        }
    }
    EXPECT_EQ(seen.size(), 500U);
    EXPECT_TRUE(std::ranges::all_of(seen, [](const auto &row) { return row.second == 1; }));
}

// Guards against a ledger value that exceeds the store's size limit.
TEST_F(Ledger, valueStaysUnderItsLimit)
{
    auto board = owner();
    for (int number = 0; number < 63; ++number) {
        auto job = endedJob(number, wallNow - hour * 3);
        job.explanation = std::string(4'000, '"');
        job.held.assign(200, job.held.front());
        addJob(board, job);
    }
    while (moveToLedger(board)) {
    }
    EXPECT_GT(batches().size(), 1U);
    for (const auto &[key, batch] : batches()) {
        EXPECT_LT(toJson(StoreRecord{batch}).dump().size(), 512U * 1024U);
    }
}

// Guards against a field that is lost in JSON because it has its default value.
TEST_F(Ledger, rowsSurviveTheRoundTripThroughJson)
{
    LedgerBatch batch{{ledgerRow(endedJob(1, wallNow)), Job{}}};
    batch.jobs[0].specification.isIdempotent = true;
    const StoreKey key = ledgerKey(wallNow, {"z1"}, 1);
    const auto read = storeRecordFromJson(toJson(StoreRecord{batch}), key);
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(std::get<LedgerBatch>(*read), batch);
}

// Measures the ledger of 8,300 jobs a day, spread evenly over 11 zones and over the day.
TEST_F(Ledger, dayAtTargetSizeStaysWithinItsBudget)
{
    auto board = owner();
    constexpr int jobsOfZone = 8'300 / 11;
    const WallTime start = wallNow;
    int added = 0;
    for (int minute = 0; minute < 24 * 60; ++minute) {
        wallNow = start + std::chrono::minutes{minute};
        for (; added < (minute + 1) * jobsOfZone / (24 * 60); ++added) {
            addJob(board, endedJob(added, wallNow));
        }
        while (moveToLedger(board)) {
        }
    }
    std::size_t bytes = 0;
    std::size_t jobs = 0;
    for (const auto &[key, batch] : batches()) {
        bytes += toJson(StoreRecord{batch}).dump().size();
        jobs += batch.jobs.size();
    }
    RecordProperty("ledgerBytesPerJob", static_cast<int>(bytes / jobs));
    RecordProperty("batches", static_cast<int>(batches().size()));
    std::cout << "ledger: " << jobs << " jobs of a zone's day in " << batches().size() << " batches, " << bytes / jobs << " bytes a job\n";
    EXPECT_LT(bytes / jobs, 1'000U);
    EXPECT_LT(batches().size(), 40U);
}

}
