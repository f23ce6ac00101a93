#include "ledger.h"

#include "controllers.h"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace sequoiastand
{

namespace
{

/// With the write of the ledger value, a transaction of a full batch has 64 operations, which is the limit set in docs/design.md.
constexpr std::size_t maxJobsPerBatch = 63;
/// Half of the 1 MB to which the store limits a value.
constexpr std::size_t maxBatchBytes = 500'000;
constexpr std::size_t maxExplanationBytes = 500;

WallTime dayOf(WallTime time)
{
    return std::chrono::floor<std::chrono::days>(time);
}

WallTime endTime(const Job &job)
{
    return job.finishedAt.value_or(job.acceptedAt);
}

void removeFromIndex(LedgerProgress &ledger, const JobId &id)
{
    if (const auto knownEndTime = ledger.endTimes.find(id); knownEndTime != ledger.endTimes.end()) {
        ledger.ended.erase({knownEndTime->second, id});
        ledger.endTimes.erase(knownEndTime);
    }
}

/// Updates the index of ended jobs from the changed rows of the job table.
void updateIndex(Blackboard &board)
{
    auto &ledger = board.ledger;
    for (const auto &id : board.jobs.changes()) {
        removeFromIndex(ledger, id);
        const auto *job = board.jobs.find(id);
        if (job != nullptr && isTerminal(job->state) && job->revision > 0 && job->availabilityZone == board.self.availabilityZone) {
            ledger.endTimes.emplace(id, endTime(*job));
            ledger.ended.emplace(endTime(*job), id);
        }
    }
}

bool isTaken(const TransactionResult &result, const StoreKey &key)
{
    return std::ranges::find(result.present, key, &StoreEntry::key) != result.present.end();
}

/// Removes from the index the jobs whose records have changed or were moved into the ledger by a previous owner. When the watch delivers a changed
/// record, its job returns to the index.
void removeChangedFromIndex(Blackboard &board, const std::vector<StoreEntry> &present)
{
    for (const auto &id : board.ledger.inFlight->jobs) {
        const auto *job = board.jobs.find(id);
        const auto entry = std::ranges::find(present, jobKey(id), &StoreEntry::key);
        if (job == nullptr || entry == present.end() || entry->revision != job->revision) {
            removeFromIndex(board.ledger, id);
        }
    }
}

void applyResults(Blackboard &board)
{
    auto &ledger = board.ledger;
    for (const auto &result : board.store.transactionResults) {
        if (!ledger.inFlight || result.firstKey != ledger.inFlight->key) {
            continue;
        }
        if (result.outcome == WriteOutcome::Applied) {
            count(board.counters, "ledger", "folded", static_cast<long long>(ledger.inFlight->jobs.size()));
            std::ranges::for_each(ledger.inFlight->jobs, [&ledger](const JobId &id) { removeFromIndex(ledger, id); });
            ledger.nextNumber = ledger.inFlight->number + 1;
            ledger.stride = 1;
        } else if (isTaken(result, ledger.inFlight->key)) {
            // Another owner has used this number. Doubling the stride skips a long sequence of used numbers in few calls. Readers list all keys of a day, so
            // gaps are harmless.
            count(board.counters, "ledger", "numberTaken");
            ledger.nextNumber = ledger.inFlight->number + ledger.stride;
            ledger.stride *= 2;
        } else {
            count(board.counters, "ledger", "recordChanged");
            removeChangedFromIndex(board, result.present);
        }
        ledger.inFlight.reset();
    }
}

/// The oldest jobs that ended on the same day, as many as fit into one value.
std::vector<Job> nextBatch(const Blackboard &board)
{
    std::vector<Job> rows;
    std::size_t bytes = 0;
    const WallTime dueBefore = board.wallNow - board.self.limits.ledgerDelay;
    for (const auto &[end, id] : board.ledger.ended) {
        const auto *job = board.jobs.find(id);
        const bool isOtherDay = !rows.empty() && dayOf(end) != dayOf(endTime(rows.front()));
        if (end > dueBefore || isOtherDay || rows.size() == maxJobsPerBatch) {
            break;
        }
        Job row = ledgerRow(*job);
        const std::size_t size = estimatedRowBytes(row);
        if (!rows.empty() && bytes + size > maxBatchBytes) {
            break;
        }
        bytes += size;
        rows.push_back(std::move(row));
    }
    return rows;
}

/// True if a full batch is due, or the oldest job has waited twice the ledger delay or until the next day.
/// The wait keeps a zone with few jobs from writing one value for each job.
bool isBatchDue(const Blackboard &board)
{
    const auto &ended = board.ledger.ended;
    const WallTime oldest = ended.begin()->first;
    const WallTime dueBefore = board.wallNow - board.self.limits.ledgerDelay;
    if (oldest > dueBefore) {
        return false;
    }
    const bool isFull = ended.size() >= maxJobsPerBatch && std::next(ended.begin(), maxJobsPerBatch - 1)->first <= dueBefore;
    return isFull || oldest + board.self.limits.ledgerDelay <= dueBefore || dayOf(oldest) != dayOf(dueBefore);
}

void writeBatch(Blackboard &board, std::vector<Job> rows)
{
    auto &ledger = board.ledger;
    const WallTime day = dayOf(endTime(rows.front()));
    if (day != ledger.day) {
        ledger.day = day;
        ledger.nextNumber = 1;
        ledger.stride = 1;
    }
    LedgerWrite write{ledgerKey(day, board.self.availabilityZone, ledger.nextNumber), day, ledger.nextNumber, {}};
    std::vector<StoreWrite> writes;
    for (const auto &row : rows) {
        write.jobs.push_back(row.specification.id);
        writes.push_back({jobKey(row.specification.id), std::nullopt, row.revision});
    }
    // The ledger value comes first because the first key identifies the result. Its presence proves that a transaction whose reply was lost was applied.
    writes.insert(writes.begin(), StoreWrite{write.key, LedgerBatch{std::move(rows)}, 0});
    ledger.inFlight = std::move(write);
    requestTransaction(board.store, std::move(writes), "updateLedger");
}

}

Job ledgerRow(Job job)
{
    job.specification.payload.clear();
    job.result.clear();
    if (job.explanation.size() > maxExplanationBytes) {
        job.explanation.resize(maxExplanationBytes);
    }
    return job;
}

std::size_t estimatedRowBytes(const Job &job)
{
    // Field names and numbers take at most 900 bytes and a held interval 160; JSON escapes a byte of text to at most 6 bytes.
    constexpr std::size_t fixedBytes = 900;
    constexpr std::size_t intervalBytes = 160;
    constexpr std::size_t escapedBytes = 6;
    const auto &specification = job.specification;
    const std::size_t text = specification.id.organisation.value.size() + specification.id.request.value.size() + specification.team.value.size()
                             + job.availabilityZone.value.size() + job.attemptOwner.value.size() + job.explanation.size() + job.result.size()
                             + specification.payload.size();
    return fixedBytes + intervalBytes * job.held.size() + escapedBytes * text;
}

void updateLedger(Blackboard &board)
{
    updateIndex(board);
    applyResults(board);
    const auto &ledger = board.ledger;
    if (board.epoch == 0 || board.isStopping || !board.store.isLoaded || ledger.inFlight || ledger.ended.empty()) {
        return;
    }
    if (isBatchDue(board)) {
        writeBatch(board, nextBatch(board));
        return;
    }
    const Duration untilDue = ledger.ended.begin()->first + 2 * board.self.limits.ledgerDelay - board.wallNow;
    subscribeNoLaterThan(board.timers, "ledger", board.now + std::max(Duration{1}, untilDue));
}

}
