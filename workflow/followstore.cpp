#include "controllers.h"
#include "ownerduties.h"

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

// Prefixes that every host mirrors.
const std::array<std::string, 3> commonPrefixes{"config/", domainOwnerKey().path, hostKey({}).path};

// Each target writes its registration every second or two. With at least this many targets, a watch that reports no write for `deafAfter` no longer works
// although its connection is open.
constexpr std::size_t minTargetsToJudgeWatch = 8;
constexpr Duration deafAfter{900};

constexpr Duration rereadSpread{50};

// Time between two repeats of the newest changes of the intake. Together with the wait of a poll it bounds the time for which the owner does not know of a
// submission that an answered watch has left out. A repeat costs one call of the store at most.
constexpr Duration repeatPeriod{750};

// Number of periods whose changes are repeated. With two of them each change is repeated twice, and at least once after its own watch has had the time of a
// whole period to report it; other watches may be ahead of it.
constexpr std::size_t repeatedPeriods = 2;

bool isRepeated(const std::string &prefix)
{
    // Targets write their registrations again and again, and proofs compare the configuration and the owner.
    return prefix == "intake/";
}

// Time for which the requests of a watch that only the owner needs may fail before its prefix is read again.
constexpr Duration rereadAfter{1'000};

bool isWanted(const WorkflowBoard &board, const std::string &prefix)
{
    if (std::ranges::find(commonPrefixes, prefix) != commonPrefixes.end()) {
        return true;
    }
    // The intake is mirrored only after all progress has been read, because a workflow without its progress would look new.
    return board.ownership.step == OwnershipStep::Owner && (prefix != "intake/" || board.load.hasProgress);
}

void addWantedMirrors(WorkflowBoard &board)
{
    std::erase_if(board.mirrors, [&](const auto &row) { return !isWanted(board, row.first); });
    const auto add = [&](const std::string &prefix) {
        if (isWanted(board, prefix)) {
            board.mirrors.try_emplace(prefix);
        }
    };
    std::ranges::for_each(commonPrefixes, add);
    std::ranges::for_each(ownerPrefixes, add);
}

StoreMirror handleReadReply(WorkflowBoard &board, const std::string &prefix, StoreMirror mirror)
{
    const auto *reply = mirror.step == MirrorStep::Reading ? findReply(board, mirror.read) : nullptr;
    if (reply == nullptr) {
        return mirror;
    }
    if (reply->outcome != StoreOutcome::Applied) {
        logDecision(
            board, "readStore", prefix, "", "read failed, next try in " + std::to_string(board.self.limits.storeRetry.count()) + " ms: " + reply->error, true);
        count(board.counters, "readsFailed", prefix);
        mirror.step = MirrorStep::Off;
        mirror.retryAt = board.now + board.self.limits.storeRetry;
        mirror.failingSince = mirror.failingSince.value_or(board.now);
        mirror.error = reply->error;
        return mirror;
    }
    board.updates.push_back({prefix, true, reply->entries, {}, reply->revision, mirror.revision});
    mirror.step = MirrorStep::Watching;
    mirror.revision = reply->revision;
    ++mirror.generation;
    mirror.repeatedAfter = {reply->revision};
    mirror.nextRepeatAt = board.now + repeatPeriod;
    mirror.lastReceivedAt = board.now;
    mirror.failingSince.reset();
    return mirror;
}

/// Lets the watch repeat its newest changes once per period, because an answered watch may have left one out. The owner takes steps for its
/// proofs and the answers of targets anyway, so this needs no timer of its own.
StoreMirror repeatChanges(WorkflowBoard &board, const std::string &prefix, StoreMirror mirror)
{
    if (mirror.step != MirrorStep::Watching || !isRepeated(prefix)) {
        return mirror;
    }
    if (board.now >= mirror.nextRepeatAt) {
        const auto newest = std::ranges::max_element(board.mirrors, {}, [](const auto &row) { return row.second.revision; })->second.revision;
        ++mirror.repeats;
        mirror.repeatedAfter.push_back(std::max(newest, mirror.revision));
        if (mirror.repeatedAfter.size() > repeatedPeriods + 1) {
            mirror.repeatedAfter.pop_front();
        }
        mirror.nextRepeatAt = board.now + repeatPeriod;
    }
    return mirror;
}

StoreMirror withCondition(WorkflowBoard &board, const StoreWatchCondition &condition, StoreMirror mirror)
{
    if (condition.isFailing) {
        logDecision(board, "watchStore", condition.prefix, "", "the requests of the watch fail: " + condition.error, true);
        count(board.counters, "watchesLost", "failing");
        mirror.failingSince = mirror.failingSince.value_or(board.now);
        mirror.error = condition.error;
    } else if (mirror.failingSince) {
        const auto time = board.now - *mirror.failingSince;
        logDecision(board, "watchStore", condition.prefix, "", "the requests of the watch are answered again after " + std::to_string(time.count()) + " ms");
        mirror.failingSince.reset();
    }
    return mirror;
}

StoreMirror handleWatchEvents(WorkflowBoard &board, const std::string &prefix, StoreMirror mirror)
{
    for (const auto &event : board.inbox) {
        if (const auto *change = std::get_if<StoreWatchEvent>(&event); change != nullptr && change->prefix == prefix && mirror.step == MirrorStep::Watching) {
            board.updates.push_back({prefix, false, change->put, change->deleted, change->revision, mirror.revision});
            mirror.revision = std::max(mirror.revision, change->revision);
            mirror.lastReceivedAt = board.now;
        } else if (const auto *lost = std::get_if<StoreWatchLost>(&event); lost != nullptr && lost->prefix == prefix && mirror.step == MirrorStep::Watching) {
            logDecision(board, "watchStore", prefix, "", "watch lost at revision " + std::to_string(mirror.revision) + ": " + lost->reason, true);
            count(board.counters, "watchesLost", prefix);
            mirror.step = MirrorStep::Off;
            mirror.retryAt = board.now + takeJitter(board, rereadSpread);
        } else if (const auto *condition = std::get_if<StoreWatchCondition>(&event);
                   condition != nullptr && condition->prefix == prefix && mirror.step == MirrorStep::Watching) {
            mirror = withCondition(board, *condition, std::move(mirror));
        }
    }
    return mirror;
}

/// Replaces all watches if the watch of the registrations reports nothing although targets write all the time; the other watches are then assumed to be broken
/// as well.
void replaceDeafWatches(WorkflowBoard &board)
{
    const auto targets = board.mirrors.find("targets/");
    if (targets == board.mirrors.end() || targets->second.step != MirrorStep::Watching || board.targets.size() < minTargetsToJudgeWatch) {
        return;
    }
    // A host with a timer lag also receives events late, and reading everything again would add to its load.
    const auto deafAt = targets->second.lastReceivedAt + timeoutWithLag(board, deafAfter);
    if (board.now < deafAt) {
        subscribeNoLaterThan(board.timers, "deafWatch", deafAt);
        return;
    }
    logDecision(board, "watchStore", "targets/", "", "no target has written for " + std::to_string(deafAfter.count()) + " ms; reading again", true);
    count(board.counters, "watchesLost", "deaf");
    for (auto &[prefix, mirror] : board.mirrors) {
        // A read that is under way is not given up: reading a large prefix may take longer than a watch may be silent.
        if (mirror.step == MirrorStep::Watching) {
            mirror.step = MirrorStep::Off;
            mirror.retryAt = board.now;
        }
    }
}

/// Reads the prefix again if the requests of its watch have failed for a while, because a read may be answered although they are not.
StoreMirror rereadIfFailing(WorkflowBoard &board, const std::string &prefix, StoreMirror mirror)
{
    if (mirror.step != MirrorStep::Watching || !mirror.failingSince || std::ranges::find(ownerPrefixes, prefix) == ownerPrefixes.end()) {
        return mirror;
    }
    const auto rereadAt = std::max(*mirror.failingSince, mirror.lastReceivedAt) + timeoutWithLag(board, rereadAfter);
    if (board.now >= rereadAt) {
        mirror.step = MirrorStep::Off;
        mirror.retryAt = board.now;
    } else {
        subscribeNoLaterThan(board.timers, "readStore", rereadAt);
    }
    return mirror;
}

}

void followStore(WorkflowBoard &board)
{
    addWantedMirrors(board);
    replaceDeafWatches(board);
    for (auto &[prefix, mirror] : board.mirrors) {
        mirror = handleWatchEvents(board, prefix, handleReadReply(board, prefix, mirror));
        mirror = repeatChanges(board, prefix, rereadIfFailing(board, prefix, mirror));
        // While the store does not answer, only proofs are sent to it; the reads follow once it answers again. A proof needs the configuration and the owner.
        const bool canProve = board.view.isLoaded && board.ownership.isKnown;
        const bool mayRead = board.view.isStoreReachable || !canProve;
        if (mirror.step == MirrorStep::Off && mayRead && board.now >= mirror.retryAt) {
            mirror.step = MirrorStep::Reading;
            mirror.read = sendToStore(board, StoreRange{{prefix}, true}, 0, board.self.limits.storeReadTimeout);
        } else if (mirror.step == MirrorStep::Off && mayRead) {
            subscribeNoLaterThan(board.timers, "readStore", std::max(mirror.retryAt, board.now + Duration{1}));
        }
    }
}

void pauseConfigurationWatch(WorkflowBoard &board)
{
    const auto found = board.mirrors.find("config/");
    if (found == board.mirrors.end()) {
        return;
    }
    auto &mirror = found->second;
    if (mirror.step == MirrorStep::Watching && board.view.isCatchingUp) {
        mirror.step = MirrorStep::Paused;
        mirror.failingSince.reset();
    } else if (mirror.step == MirrorStep::Paused && !board.view.isCatchingUp) {
        mirror.step = MirrorStep::Watching;
        mirror.revision = std::max(mirror.revision, board.view.readRevision);
        mirror.lastReceivedAt = board.now;
        ++mirror.generation;
    }
}

}
