#include "step.h"

#include "controllers.h"
#include "storeload.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr int maxRoundsPerStep = 8;

/// Versions and values of the board's state; a change of any of them makes another round necessary.
struct BoardVersions
{
    unsigned long long jobs = 0;
    unsigned long long attempts = 0;
    unsigned long long targets = 0;
    unsigned long long leases = 0;
    unsigned long long calls = 0;
    unsigned long long commands = 0;
    long long configuration = 0;
    Plan plan;
    StartPermit permit;
    std::optional<TimePoint> appliedRead;
    std::vector<WriteResult> writeResults;
    std::vector<TransactionResult> transactionResults;

    friend bool operator==(const BoardVersions &, const BoardVersions &) = default;
};

BoardVersions versionsOf(const Blackboard &board)
{
    return {board.jobs.version(),
            board.attempts.version(),
            board.targets.version(),
            board.leases.version(),
            board.calls.version(),
            board.commands.version(),
            board.configuration.version,
            board.plan,
            board.permit,
            board.store.lastAppliedReadSent,
            board.store.results,
            board.store.transactionResults};
}

void runControllers(Blackboard &board)
{
    updateConfiguration(board);
    updateMembership(board);
    updatePermit(board);
    updateFleet(board);
    updateOwnership(board);
    updateJobs(board);
    updatePlan(board);
    driveAttempts(board);
    updateCommands(board);
    updateLedger(board);
    syncStore(board);
    answerCallers(board);
}

void clearChanges(Blackboard &board)
{
    board.peers.clearChanges();
    board.targets.clearChanges();
    board.leases.clearChanges();
    board.jobs.clearChanges();
    board.attempts.clearChanges();
    board.calls.clearChanges();
    board.commands.clearChanges();
}

}

Blackboard makeBlackboard(const HostSettings &settings, TimePoint now, WallTime wallNow)
{
    Blackboard board;
    board.self = settings;
    board.now = now;
    board.wallNow = wallNow;
    board.randomState = settings.randomSeed;
    for (const auto &seed : settings.seeds) {
        if (seed.id == settings.id) {
            continue;
        }
        Peer peer;
        peer.id = seed.id;
        peer.availabilityZone = seed.availabilityZone;
        peer.address = seed.peerAddress;
        peer.isSeed = true;
        peer.silenceFrom = now;
        board.peers.put(seed.id, peer);
    }
    const auto &limits = settings.limits;
    subscribe(board.timers, "membership", now, limits.heartbeatPeriod);
    subscribe(board.timers, "permit", now, limits.permitRenewal);
    subscribe(board.timers, "ownership", now, limits.leaseRound);
    subscribe(board.timers, "attempts", now + limits.leaseRound, limits.leaseRound);
    subscribe(board.timers, "plan", now + limits.leaseRound, limits.leaseRound);
    subscribe(board.timers, "store", now, limits.permitRenewal);
    return board;
}

void step(Blackboard &board, std::vector<Event> events, TimePoint now, WallTime wallNow)
{
    board.now = now;
    board.wallNow = wallNow;
    std::ranges::move(events, std::back_inserter(board.inbox));
    fireTimers(board.timers, now);
    if (std::ranges::any_of(board.inbox, [](const Event &event) { return std::holds_alternative<StopRequested>(event); })) {
        board.isStopping = true;
    }
    clearChanges(board);
    for (int round = 0; round < maxRoundsPerStep; ++round) {
        const BoardVersions before = versionsOf(board);
        runControllers(board);
        board.inbox = takeDeferredEvents(board.store);
        board.timers.due.clear();
        if (board.inbox.empty() && versionsOf(board) == before) {
            break;
        }
    }
}

}
