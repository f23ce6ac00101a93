#include "controllers.h"
#include "eligibility.h"
#include "progresschange.h"
#include "targetshapes.h"

#include <algorithm>
#include <string>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Schedules the next try of a read that has failed.
void retryLater(WorkflowBoard &board, const StoreReply &reply)
{
    auto &load = board.load;
    load.retryAt = board.now + board.self.limits.storeRetry;
    load.failingSince = load.failingSince.value_or(board.now);
    load.error = reply.error;
}

void readProgress(WorkflowBoard &board)
{
    auto &load = board.load;
    if (const auto *reply = findReply(board, load.progressRead)) {
        load.progressRead.reset();
        if (reply->outcome == StoreOutcome::Applied) {
            load.hasProgress = true;
            load.failingSince.reset();
            for (const auto &entry : reply->entries) {
                if (const auto *progress = std::get_if<WorkflowProgress>(&entry.record)) {
                    load.progress.insert_or_assign(RequestId{lastPathSegment(entry.key)}, *progress);
                }
            }
        } else {
            retryLater(board, *reply);
        }
    }
    if (!load.hasProgress && !load.progressRead && board.now >= load.retryAt) {
        load.progressRead = sendToStore(board, StoreRange{workflowProgressKey({}), true}, 0, board.self.limits.storeReadTimeout);
    }
}

/// Applies the former owner's commit mark and the target shapes that it knew, because some of these targets may be absent at the moment.
void applyDomainRecords(WorkflowBoard &board, const StoreReply &reply)
{
    board.chain.commitMarkRevision = 0;
    for (const auto &entry : reply.entries) {
        if (std::holds_alternative<CommitMark>(entry.record)) {
            board.chain.commitMarkRevision = entry.revision;
        } else if (const auto *summary = std::get_if<DomainSummary>(&entry.record)) {
            board.shapes = withShapes(std::move(board.shapes), summary->shapes);
        }
    }
}

void readMark(WorkflowBoard &board)
{
    auto &load = board.load;
    if (const auto *reply = findReply(board, load.commitMarkRead)) {
        load.commitMarkRead.reset();
        if (reply->outcome == StoreOutcome::Applied) {
            load.hasCommitMark = true;
            load.failingSince.reset();
            applyDomainRecords(board, *reply);
        } else {
            retryLater(board, *reply);
        }
    }
    if (!load.hasCommitMark && !load.commitMarkRead && board.now >= load.retryAt) {
        load.commitMarkRead = sendToStore(board, StoreRange{domainPrefix(), true}, 0, board.self.limits.storeReadTimeout);
    }
}

/// Adds the runs that a former owner recorded to the board, in the step `Unconfirmed`; the targets' lists show what has become of them.
void adoptRuns(WorkflowBoard &board, const WorkflowEntry &entry)
{
    const auto &workflow = *entry.workflow;
    for (const auto &[occurrence, progress] : entry.progress.occurrences) {
        for (std::size_t step = 0; step < progress.steps.size(); ++step) {
            for (std::size_t index = 0; index < progress.steps[step].size(); ++index) {
                const auto &task = progress.steps[step][index];
                if (!task.place || task.isFinished) {
                    continue;
                }
                TaskRun run;
                run.task = {{workflow.id, occurrence, static_cast<int>(step)}, static_cast<int>(index)};
                run.number = task.lastRun;
                run.place = *task.place;
                run.occupiedResources = reservedResources(workflow.specification.steps[step]);
                run.isFiller = workflow.specification.steps[step].isFiller;
                run.responseTimeTarget = workflow.specification.steps[step].latencyTarget;
                run.step = RunStep::Unconfirmed;
                run.stepSince = board.now;
                run.starts = 1;
                run.checkpoint = task.checkpoint;
                run.resumedFrom = task.checkpoint;
                putRun(board, run);
            }
        }
    }
}

void noteUrgentArrival(WorkflowBoard &board, const Workflow &workflow)
{
    const auto &queue = queueOf(board, workflow);
    if (queue.priority == 0) {
        const auto &first = workflow.specification.steps.front();
        const UrgentArrival arrival{queue.service, workflow.acceptedAt, first.taskCount * first.perTask.accelerators};
        board.urgentArrivals = withArrival(std::move(board.urgentArrivals), arrival, board.wallNow);
    }
}

/// The progress without finished tasks in lasting steps. Former versions stored a lasting task as finished once one of its runs had ended as finished.
WorkflowProgress withoutFinishedLastingTasks(WorkflowProgress progress, const WorkflowSpecification &specification)
{
    for (auto &[number, occurrence] : progress.occurrences) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            if (specification.steps.at(step).isLasting) {
                std::ranges::for_each(occurrence.steps[step], [](TaskProgress &task) { task.isFinished = false; });
            }
        }
    }
    return progress;
}

void addWorkflow(WorkflowBoard &board, const Workflow &workflow)
{
    if (board.workflows.contains(workflow.id)) {
        return;
    }
    WorkflowEntry entry;
    entry.workflow = std::make_shared<const Workflow>(workflow);
    entry.progress.organisation = workflow.organisation;
    entry.progress.queue = workflow.queue.id;
    if (auto read = board.load.progress.extract(workflow.id)) {
        entry.progress = withoutFinishedLastingTasks(std::move(read.mapped()), workflow.specification);
    }
    if (hasEnded(entry.progress.state)) {
        // The stored time of the end comes from another host's time of day, so the state is kept for the whole time again.
        entry.endKnownAt = board.now;
    }
    board.workflows.put(workflow.id, entry);
    noteUrgentArrival(board, workflow);
    adoptRuns(board, entry);
    board.isPlanWanted = true;
}

void applyCancellation(WorkflowBoard &board, const RequestId &id)
{
    const auto *present = board.workflows.find(id);
    if (present == nullptr || present->isCancelRequested) {
        return;
    }
    WorkflowEntry entry = *present;
    entry.isCancelRequested = true;
    board.workflows.put(id, std::move(entry));
}

/// Logs a workflow that the watch did not report with the other changes up to its revision.
void reportIfLeftOut(WorkflowBoard &board, const MirrorUpdate &update, const StoreEntry &entry, const RequestId &id)
{
    if (entry.revision <= update.formerRevision && !board.workflows.contains(id)) {
        logDecision(board, "watchStore", update.prefix, id.value, "the watch had left out revision " + std::to_string(entry.revision), true);
        count(board.counters, "watchesLost", "leftOut");
    }
}

void applyIntake(WorkflowBoard &board, const MirrorUpdate &update)
{
    for (const auto &entry : update.put) {
        if (const auto *workflow = std::get_if<Workflow>(&entry.record)) {
            reportIfLeftOut(board, update, entry, workflow->id);
            addWorkflow(board, *workflow);
        }
    }
    // Cancellations are applied after the workflows, because both may arrive in one read.
    for (const auto &entry : update.put) {
        if (std::holds_alternative<WorkflowCancellation>(entry.record)) {
            applyCancellation(board, {lastPathSegment(entry.key)});
        }
    }
    board.load.hasIntake = board.load.hasIntake || update.isSnapshot;
}

}

void loadDomain(WorkflowBoard &board)
{
    if (board.ownership.step != OwnershipStep::Owner) {
        return;
    }
    auto &load = board.load;
    readProgress(board);
    readMark(board);
    const bool waitsForRetry = (!load.hasProgress && !load.progressRead) || (!load.hasCommitMark && !load.commitMarkRead);
    if (waitsForRetry) {
        subscribeNoLaterThan(board.timers, "load", load.retryAt);
    }
    for (const auto &update : board.updates) {
        if (update.prefix == "intake/") {
            applyIntake(board, update);
        }
    }
    if (load.hasIntake && !load.progress.empty()) {
        // Drops progress without a workflow, which is left over if the workflow's records were removed between the two reads.
        load.progress.clear();
    }
}

}
