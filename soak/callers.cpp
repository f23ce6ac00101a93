#include "callers.h"

#include "platform/standin/platformwriter.h"
#include "workdemands.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace sequoiastand
{

namespace
{

// Users' callers wait three seconds for an answer and make at most five attempts.
constexpr Duration callerTimeout{3'000};
constexpr int maxAttempts = 5;

constexpr int minQueryGapMs = 600;
constexpr int maxQueryGapMs = 2'000;
constexpr int minRetryMs = 100;
constexpr int maxRetryMs = 1'200;

bool isOpen(const SoakWorkflow &workflow)
{
    return !workflow.isAbandoned && !(workflow.state && hasEnded(*workflow.state));
}

/// True if the candidate and all urgent workflows of its organisation that may not have ended yet fit together into the organisation's guarantee.
bool isWithinGuarantee(const SoakWorld &world, const Workflow &candidate)
{
    int accelerators = acceleratorsOf(candidate.specification);
    for (const auto &[id, other] : world.workflows) {
        if (isOpen(other) && other.workflow.organisation == candidate.organisation && other.workflow.queue.priority == 0) {
            accelerators += acceleratorsOf(other.workflow.specification);
        }
    }
    return accelerators <= world.configuration.organisations.at(candidate.organisation).guaranteedAccelerators;
}

bool hasUnfinishedTasks(const SoakWorld &world, const Workflow &workflow)
{
    const auto &steps = workflow.specification.steps;
    for (std::size_t step = 0; step < steps.size(); ++step) {
        for (int index = 0; index < steps[step].taskCount; ++index) {
            if (!world.targets.fleet.finished.contains({{workflow.id, 0, static_cast<int>(step)}, index})) {
                return true;
            }
        }
    }
    return false;
}

Duration drawDuration(SoakWorld &world, int least, int most)
{
    return Duration{drawNumber(world, least, most)};
}

/// Ends the caller's attempts to submit the workflow, and cancels it in case it was accepted.
void giveUp(SoakWorld &world, SoakWorkflow &workflow)
{
    workflow.isAbandoned = true;
    workflow.isCancelWanted = true;
    world.history.workflows.at(workflow.workflow.id).cancelledAt = EventLoop::now();
}

void takeAnswer(SoakWorld &world, SoakWorkflow &workflow, ObservedCall &call, const HttpAnswer &answer)
{
    constexpr int statusUnauthorised = 401;
    constexpr int statusTooMany = 429;
    constexpr int statusUnavailable = 503;
    const bool isAnswered = answer.outcome == HttpOutcome::Answered;
    call.endedAt = EventLoop::now();
    call.status = isAnswered ? answer.status : 0;
    call.isNotSent = answer.outcome == HttpOutcome::NotSent;
    call.error = answer.error;
    const bool isSuccess = call.status >= 200 && call.status < 300;
    if (call.action == CallerAction::Cancel && isCancelConfirmed(call)) {
        workflow.cancelConfirmedAt = workflow.cancelConfirmedAt.value_or(*call.endedAt);
    }
    if (call.action == CallerAction::Submit) {
        workflow.isCallOpen = false;
        workflow.isAccepted = workflow.isAccepted || isSuccess;
        workflow.mayBeAccepted = workflow.mayBeAccepted || isSuccess || isUncertain(call);
        // A caller does not retry an invalid request. It retries after an unauthorised one, since a removed key may be restored.
        const bool isInvalid = call.status >= 400 && call.status < 500 && call.status != statusTooMany && call.status != statusUnauthorised;
        const bool isFinal = isInvalid || (world.acceptsRefusals && call.status == statusUnavailable);
        workflow.isAbandoned = !workflow.isAccepted && (workflow.attemptCount >= maxAttempts || isFinal);
        workflow.nextCallAt = EventLoop::now() + drawDuration(world, minRetryMs, maxRetryMs);
        if (world.cancelsUnanswered && isUncertain(call) && !workflow.isAccepted) {
            giveUp(world, workflow);
        }
    } else if (call.action == CallerAction::Cancel && workflow.isCancelWanted) {
        workflow.isCallOpen = false;
        workflow.isCancelWanted = !isCancelConfirmed(call);
        workflow.nextCallAt = EventLoop::now() + drawDuration(world, minRetryMs, maxRetryMs);
    } else if (call.action == CallerAction::Query) {
        workflow.isCallOpen = false;
        workflow.nextCallAt = EventLoop::now() + drawDuration(world, minQueryGapMs, maxQueryGapMs);
        call.state = isSuccess ? stateIn(answer.body) : std::nullopt;
        call.hasUnfinishedTasks = hasUnfinishedTasks(world, workflow.workflow);
        workflow.state = call.state ? call.state : workflow.state;
    }
}

void send(SoakWorld &world, SoakWorkflow &workflow, CallerAction action)
{
    const auto &host = world.hosts[static_cast<std::size_t>(drawNumber(world, 0, static_cast<int>(world.hosts.size()) - 1))];
    auto call = callerCall(workflow.workflow, action, workflow.key, callerTimeout);
    call.address = host.callerLink->address();
    const auto number = world.history.calls.size();
    ObservedCall observed;
    observed.action = action;
    observed.workflow = workflow.workflow.id;
    observed.host = host.place.id;
    observed.key = workflow.key;
    observed.sentAt = EventLoop::now();
    world.history.calls.push_back(observed);
    if (action != CallerAction::Cancel || workflow.isCancelWanted) {
        workflow.isCallOpen = true;
    }
    workflow.attemptCount += action == CallerAction::Submit ? 1 : 0;
    world.http.send(call, [&world, &workflow, number](const HttpAnswer &answer) { takeAnswer(world, workflow, world.history.calls[number], answer); });
}

SoakWorkflow &addWorkflow(SoakWorld &world, const std::string &queue, const std::string &organisation, WorkflowSpecification specification)
{
    const RequestId id{absl::StrFormat("%016x", world.workflows.size() + 1)};
    auto &row = world.workflows[id];
    row.workflow.id = id;
    row.workflow.queue = world.configuration.queues.at({queue});
    row.workflow.organisation = {organisation};
    row.workflow.specification = std::move(specification);
    row.key = (drawNumber(world, 0, 3) == 0 ? "spare-" : "key-") + organisation;
    TaskBehaviour behaviour;
    behaviour.work = drawDuration(world, 200, 3'000);
    if (drawNumber(world, 0, 9) == 0) {
        behaviour.failingTasks.insert(0);
    }
    world.history.workflows[id] = {};
    world.targets.fleet.behaviours[id] = behaviour;
    world.targets.fleet.workflows[id] = row.workflow;
    return row;
}

WorkflowSpecification specificationOf(const StepSpecification &step)
{
    WorkflowSpecification specification;
    specification.payload = "soak";
    specification.steps.push_back(step);
    return specification;
}

/// The step with random demands on its targets, if the options say so.
StepSpecification withOptionalDemands(SoakWorld &world, StepSpecification step)
{
    if (!world.options.hasDemands) {
        return step;
    }
    std::vector<RackId> racks;
    std::ranges::transform(world.targets.fleet.targets, std::back_inserter(racks), [](const auto &row) { return row.second.registration.rack; });
    // With this limit, a gang fits on the targets that have the label, even if half of them are out of service.
    const int leastPerTarget = 1 + (4 * step.taskCount - 1) / world.options.targets;
    return withDemands(std::move(step), racks, leastPerTarget, world.demandRandom);
}

/// Submits work that is not urgent and occupies processors for a long time, which urgent work can use only after stopping it.
void sendLongWork(SoakWorld &world)
{
    constexpr Duration work{20'000};
    StepSpecification step;
    step.taskCount = 2 * world.options.targets;
    step.perTask = {15'000, 4'000, 0};
    step.estimate = work;
    step.isCheckpointable = true;
    auto &workflow = addWorkflow(world, "patient", "hotels", specificationOf(step));
    world.targets.fleet.behaviours.at(workflow.workflow.id) = {.work = work};
    send(world, workflow, CallerAction::Submit);
}

void sendRandomWorkflow(SoakWorld &world)
{
    const auto isLong = [](const auto &row) { return row.second.workflow.queue.id.value == "patient" && isOpen(row.second); };
    if (world.options.hasLongWork && std::ranges::none_of(world.workflows, isLong)) {
        sendLongWork(world);
        return;
    }
    constexpr std::array<const char *, 3> queues{"urgent", "ordinary", "patient"};
    constexpr std::array<const char *, 2> organisations{"tailors", "hotels"};
    const std::string queue = queues.at(static_cast<std::size_t>(drawNumber(world, 0, world.options.hasLongWork ? 1 : 2)));
    StepSpecification step;
    step.taskCount = drawNumber(world, 1, world.options.maxTasks);
    step.perTask = {1'000 * drawNumber(world, 1, 6), 2'000 * drawNumber(world, 1, 8), drawNumber(world, 1, 4)};
    step.estimate = Duration{1'000};
    step.isGang = drawNumber(world, 0, 1) == 0;
    step.isCheckpointable = drawNumber(world, 0, 1) == 0;
    step = withOptionalDemands(world, std::move(step));
    auto specification = specificationOf(step);
    if (drawNumber(world, 0, 3) == 0) {
        step.after = {0};
        step.isGang = false;
        step.needsOneRack = false;
        specification.steps.push_back(step);
    }
    send(world, addWorkflow(world, queue, organisations.at(static_cast<std::size_t>(drawNumber(world, 0, 1))), std::move(specification)), CallerAction::Submit);
}

}

int acceleratorsOf(const WorkflowSpecification &specification)
{
    int most = 0;
    for (const auto &step : specification.steps) {
        most = std::max(most, step.taskCount * step.perTask.accelerators);
    }
    return most;
}

void runCallers(SoakWorld &world)
{
    const auto now = EventLoop::now();
    if (world.sendsWork && now >= world.nextWorkAt) {
        const auto meanGapMs = static_cast<int>(world.options.meanWorkGap.count());
        world.nextWorkAt = now + drawDuration(world, meanGapMs / 3, meanGapMs * 5 / 3);
        sendRandomWorkflow(world);
    }
    for (auto &[id, workflow] : world.workflows) {
        if (workflow.isCallOpen || now < workflow.nextCallAt) {
            continue;
        }
        if (workflow.isCancelWanted) {
            send(world, workflow, CallerAction::Cancel);
        } else if (isOpen(workflow)) {
            send(world, workflow, workflow.isAccepted ? CallerAction::Query : CallerAction::Submit);
        }
    }
}

void sendBurst(SoakWorld &world, int count)
{
    for (int sent = 0; sent < count; ++sent) {
        sendRandomWorkflow(world);
    }
}

void cancelSome(SoakWorld &world, int percent)
{
    for (auto &[id, workflow] : world.workflows) {
        if (workflow.isAccepted && isOpen(workflow) && drawNumber(world, 1, 100) <= percent) {
            auto &sent = world.history.workflows.at(id);
            sent.cancelledAt = sent.cancelledAt.value_or(EventLoop::now());
            send(world, workflow, CallerAction::Cancel);
        }
    }
}

void sendUrgentGangs(SoakWorld &world)
{
    for (const auto &[organisation, share] : world.configuration.organisations) {
        StepSpecification step;
        step.taskCount = 4;
        step.perTask = {2'000, 4'000, share.guaranteedAccelerators / step.taskCount};
        step.estimate = Duration{1'000};
        step.isGang = true;
        Workflow candidate;
        candidate.organisation = organisation;
        candidate.specification = specificationOf(step);
        const bool isGuaranteed = isWithinGuarantee(world, candidate);
        auto &workflow = addWorkflow(world, "urgent", organisation.value, candidate.specification);
        world.history.workflows.at(workflow.workflow.id).isUrgent = isGuaranteed;
        send(world, workflow, CallerAction::Submit);
    }
}

void sendLastingWork(SoakWorld &world)
{
    StepSpecification step;
    step.taskCount = 1;
    step.perTask = {1'000, 2'000, 1};
    step.estimate = Duration{1'000};
    step.isLasting = true;
    if (world.options.hasDemands) {
        step.taskCount = 3;
        step.requiredLabel = halfLabel;
    }
    auto &workflow = addWorkflow(world, "ordinary", "hotels", specificationOf(step));
    const auto &id = workflow.workflow.id;
    workflow.isLasting = true;
    world.history.workflows.at(id).isLasting = true;
    // The end of the run would hide a stop that is missing.
    const bool endsByItself = !world.options.hasDemands || world.demandRandom() % 2 == 0;
    world.targets.fleet.behaviours.at(id) = {.work = Duration{1'500}, .lastingEnd = endsByItself ? std::optional(RunEnd::Finished) : std::nullopt};
    send(world, workflow, CallerAction::Submit);
}

RequestId sendManyTasks(SoakWorld &world)
{
    StepSpecification step;
    step.taskCount = 1'000;
    step.perTask = {10, 10, 0};
    step.estimate = Duration{4'000};
    auto &workflow = addWorkflow(world, "urgent", "tailors", specificationOf(step));
    world.targets.fleet.behaviours.at(workflow.workflow.id) = {.work = Duration{4'000}};
    send(world, workflow, CallerAction::Submit);
    return workflow.workflow.id;
}

bool noteLastingWork(SoakWorld &world)
{
    bool areAllNoted = true;
    for (const auto &[id, workflow] : world.workflows) {
        if (workflow.isLasting && workflow.isAccepted && isOpen(workflow)) {
            auto &sent = world.history.workflows.at(id);
            sent.wasAtWorkAtEnd = sent.wasAtWorkAtEnd || isAtWork(world.targets.fleet, id);
            areAllNoted = areAllNoted && sent.wasAtWorkAtEnd;
        }
    }
    return areAllNoted;
}

void cancelLastingWork(SoakWorld &world)
{
    for (auto &[id, workflow] : world.workflows) {
        if (std::exchange(workflow.isLasting, false) && workflow.isAccepted) {
            workflow.isCancelWanted = true;
        }
    }
}

bool haveAllEnded(const SoakWorld &world)
{
    return std::ranges::all_of(world.workflows, [](const auto &row) {
        const auto &workflow = row.second;
        return (workflow.isLasting && workflow.isAccepted) || (!isOpen(workflow) && !workflow.isCallOpen && !workflow.isCancelWanted);
    });
}

}
