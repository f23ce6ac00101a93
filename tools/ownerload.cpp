#include "ownerload.h"

#include "core/storerecord.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr int targetsPerRack = 20;
constexpr int zones = 5;
constexpr int tasksPerWorkflow = 16;
constexpr Resources targetCapacity{32'000, 65'536, 8};
constexpr Resources smallTask{2'800, 4'100, 1};
constexpr Duration stepTime{1};

Queue makeQueue(int priority)
{
    Queue queue;
    queue.id = {absl::StrCat("queue-", priority)};
    queue.host = "press.example";
    queue.prefix = absl::StrCat("/", queue.id.value, "/");
    queue.service = {"press"};
    queue.priority = priority;
    queue.maxAttempts = 4;
    queue.stretch = 3;
    queue.latencyTarget = Duration{1'000};
    return queue;
}

RequestId requestId(int number)
{
    return {absl::StrFormat("%016x", number)};
}

Workflow makeWorkflow(int number, const StepSpecification &step, int priority, WallTime acceptedAt)
{
    Workflow workflow;
    workflow.id = requestId(number);
    workflow.queue = makeQueue(priority);
    workflow.organisation = {absl::StrCat("organisation-", number % 24)};
    workflow.acceptedAt = acceptedAt;
    workflow.specification = {"payload", {step}, {}};
    return workflow;
}

void setConfiguration(WorkflowBoard &board)
{
    auto &view = board.view;
    view.configuration.version = 1;
    view.configuration.services.emplace(ServiceId{"press"}, Service{{"press"}, false, false, "/health"});
    for (int priority = 0; priority <= 2; ++priority) {
        const auto queue = makeQueue(priority);
        view.configuration.queues.emplace(queue.id, queue);
    }
    for (int number = 0; number < 24; ++number) {
        const OrganisationId id{absl::StrCat("organisation-", number)};
        view.configuration.organisations.emplace(id, OrganisationShare{id, 64});
    }
    view.revision = 1;
    view.isRead = true;
    view.isLoaded = true;
    view.isStoreReachable = true;
}

/// Everything that a host has after a take-over, without the calls that led to it.
void makeOwner(OwnerLoad &load)
{
    auto &board = load.board;
    setConfiguration(board);
    auto &ownership = board.ownership;
    ownership.step = OwnershipStep::Owner;
    ownership.isKnown = true;
    ownership.holder = DomainOwner{board.self.id, board.self.incarnation};
    ownership.token = 10;
    ownership.holderRevision = ownership.token;
    ownership.lease = 1;
    ownership.leaseDuration = board.self.limits.ownerLease;
    ownership.authorityUntil = load.now + ownership.leaseDuration;
    ownership.ownedSince = load.now - Duration{60'000};
    for (const auto &prefix : {std::string("config/"), domainOwnerKey().path, hostKey({}).path, std::string("targets/"), std::string("intake/")}) {
        board.mirrors[prefix] = StoreMirror{.step = MirrorStep::Watching, .revision = load.revision, .generation = 1, .lastReceivedAt = load.now};
    }
    board.load.hasProgress = true;
    board.load.hasCommitMark = true;
    board.load.hasIntake = true;
    board.load.hasTargets = true;
}

void addTargets(OwnerLoad &load, int count)
{
    for (int number = 0; number < count; ++number) {
        const int rack = number / targetsPerRack;
        DomainTarget target;
        auto &registration = target.registration;
        registration.instance = {{absl::StrFormat("i-%010x", number * 7919)}, 1'000};
        registration.service = {"press"};
        registration.address = absl::StrCat("10.4.", number / 250, ".", number % 250, ":8781");
        registration.availabilityZone = {absl::StrCat("zone-", rack % zones)};
        registration.rack = {absl::StrCat("rack-", rack)};
        registration.labels = {"kind", registration.rack.value};
        registration.capacity = targetCapacity;
        target.formerRunsLapseAt = load.now + load.board.self.limits.holdMax;
        const auto id = registration.instance.target;
        load.targets.push_back(id);
        load.lists[id].startTimeMs = registration.instance.startTimeMs;
        load.board.targets.put(id, std::move(target));
    }
}

void addRunningTasks(OwnerLoad &load, int count)
{
    auto &board = load.board;
    StepSpecification step;
    step.taskCount = tasksPerWorkflow;
    step.perTask = smallTask;
    step.estimate = Duration{6'100};
    for (int first = 0; first < count; first += tasksPerWorkflow) {
        WorkflowEntry entry;
        entry.workflow = std::make_shared<const Workflow>(makeWorkflow(first + 1, step, 2, load.wallNow));
        entry.progress.state = WorkflowState::Running;
        entry.progress.organisation = entry.workflow->organisation;
        auto occurrence = newOccurrence(entry.workflow->specification);
        for (int index = 0; index < std::min(tasksPerWorkflow, count - first); ++index) {
            const auto &target = load.targets[static_cast<std::size_t>(first + index) % load.targets.size()];
            TaskRun run;
            run.task = {{entry.workflow->id, 0, 0}, index};
            run.number = 1;
            run.place = {target, load.lists[target].startTimeMs};
            run.occupiedResources = smallTask;
            run.step = RunStep::Running;
            run.stepSince = load.now;
            run.isListed = true;
            auto &task = occurrence.steps.front()[static_cast<std::size_t>(index)];
            task.lastRun = 1;
            task.place = run.place;
            load.lists[target].running.push_back({run.task, 1, "", 40, 0});
            board.runs.put(run);
        }
        entry.progress.occurrences.emplace(0, std::move(occurrence));
        const auto id = entry.workflow->id;
        board.workflows.put(id, std::move(entry));
    }
}

StoreReply storeAnswer(OwnerLoad &load, const StoreCall &call)
{
    StoreReply reply;
    reply.id = call.id;
    reply.outcome = StoreOutcome::Applied;
    reply.revision = ++load.revision;
    reply.lease = 1;
    reply.leaseTimeToLive = load.board.self.limits.ownerLease;
    return reply;
}

/// Records the messages that the step has sent, and returns the answers that come without delay.
std::vector<WorkflowEvent> answersTo(OwnerLoad &load, const std::vector<WorkflowMessage> &messages)
{
    std::vector<WorkflowEvent> answers;
    for (const auto &message : messages) {
        if (const auto *call = std::get_if<StoreCall>(&message)) {
            answers.emplace_back(storeAnswer(load, *call));
            continue;
        }
        const auto *order = std::get_if<TargetOrder>(&message);
        if (order == nullptr) {
            continue;
        }
        if (std::holds_alternative<HoldRuns>(order->request)) {
            load.holds.insert_or_assign(order->target, order->id);
            continue;
        }
        TargetOrderReply reply;
        reply.id = order->id;
        reply.target = order->target;
        reply.outcome = OrderOutcome::Accepted;
        reply.clock = load.now.time_since_epoch();
        if (const auto *start = std::get_if<StartRun>(&order->request)) {
            ++load.starts;
            load.lists[order->target].running.push_back({start->task, start->run, "", 0, 0});
        } else if (const auto *stop = std::get_if<StopRun>(&order->request)) {
            auto &lists = load.lists[order->target];
            std::erase_if(lists.running, [&](const ListedRun &run) { return run.task == stop->task; });
        }
        answers.emplace_back(std::move(reply));
    }
    return answers;
}

}

OwnerLoad makeOwnerLoad(const OwnerLoadSize &size)
{
    OwnerLoad load;
    load.now = TimePoint{std::chrono::hours{1}};
    load.wallNow = WallTime{std::chrono::hours{400'000}};
    DomainSettings settings;
    settings.id = {"host-1"};
    settings.incarnation = 1;
    settings.processorShare = 0.5;
    settings.availabilityZones = {{"zone-0"}, {"zone-1"}, {"zone-2"}, {"zone-3"}, {"zone-4"}};
    load.board = makeWorkflowBoard(settings, load.now, load.wallNow);
    makeOwner(load);
    addTargets(load, size.targets);
    addRunningTasks(load, size.runningTasks);
    runStep(load, {});
    while (std::ranges::any_of(load.board.targets.rows(), [](const auto &row) { return !row.second.hasAnsweredOwner; })) {
        std::vector<WorkflowEvent> events;
        std::ranges::transform(load.targets, std::back_inserter(events), [&](const TargetId &target) { return holdAnswer(load, target); });
        runStep(load, std::move(events));
    }
    StepSpecification gang;
    gang.taskCount = 4;
    gang.perTask = {3'700, 5'500, 8};
    gang.estimate = Duration{2'500};
    gang.isGang = true;
    std::vector<WorkflowEvent> submissions;
    std::ranges::transform(
        std::views::iota(0, size.waitingSteps), std::back_inserter(submissions), [&](int number) { return submission(load, 1'000'000 + number, gang, 1); });
    runStep(load, std::move(submissions));
    return load;
}

void runStep(OwnerLoad &load, std::vector<WorkflowEvent> events)
{
    auto &board = load.board;
    load.now += stepTime;
    load.wallNow += stepTime;
    board.view.provenAt = load.now;
    board.mirrors.at("targets/").lastReceivedAt = load.now;
    step(board, std::move(events), load.now, load.wallNow);
    auto answers = answersTo(load, std::exchange(board.outbox, {}));
    board.log.clear();
    board.counters.samples.clear();
    if (!answers.empty()) {
        runStep(load, std::move(answers));
    }
}

WorkflowEvent holdAnswer(OwnerLoad &load, const TargetId &target)
{
    TargetOrderReply reply;
    reply.id = load.holds.contains(target) ? load.holds.at(target) : CallId{0};
    reply.target = target;
    reply.outcome = OrderOutcome::Accepted;
    reply.clock = load.now.time_since_epoch();
    reply.lists = load.lists[target];
    if (load.holds.erase(target) > 0) {
        load.lists[target].ended.clear();
    }
    return reply;
}

WorkflowEvent endOldestRun(OwnerLoad &load, const TargetId &target)
{
    auto &lists = load.lists[target];
    if (!lists.running.empty()) {
        const auto run = lists.running.front();
        lists.running.erase(lists.running.begin());
        const auto *row = load.board.targets.find(target);
        lists.ended.push_back({row->newestEnd + 1, run.task, run.run, RunEnd::Finished, ""});
    }
    return holdAnswer(load, target);
}

void endWorkflowOf(OwnerLoad &load, int number)
{
    const auto id = requestId(number);
    std::vector<WorkflowEvent> events;
    for (auto &[target, lists] : load.lists) {
        const auto isOurs = [&](const ListedRun &run) { return run.task.step.workflow == id; };
        long long end = load.board.targets.find(target)->newestEnd;
        for (const auto &run : lists.running) {
            if (isOurs(run)) {
                lists.ended.push_back({++end, run.task, run.run, RunEnd::Finished, ""});
            }
        }
        if (std::erase_if(lists.running, isOurs) > 0) {
            events.push_back(holdAnswer(load, target));
        }
    }
    runStep(load, std::move(events));
}

WorkflowEvent submission(OwnerLoad &load, int number, const StepSpecification &step, int priority)
{
    const auto workflow = makeWorkflow(number, step, priority, load.wallNow);
    StoreWatchEvent event;
    event.prefix = "intake/";
    event.revision = ++load.revision;
    event.put.push_back({workflowKey(workflow.id), workflow, event.revision});
    return event;
}

}
