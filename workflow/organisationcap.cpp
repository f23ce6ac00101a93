#include "organisationcap.h"

#include "progresschange.h"
#include "targetlease.h"

#include <algorithm>
#include <limits>
#include <ranges>
#include <string>

namespace sequoiastand
{

namespace
{

ResourceUsage withTask(const ResourceUsage &use, const Resources &task)
{
    return {use.milliCpu + task.milliCpu, use.memoryMb + task.memoryMb, use.accelerators + task.accelerators};
}

std::optional<int> lower(std::optional<int> left, std::optional<int> right)
{
    return left && right ? std::min(left, right) : (left ? left : right);
}

int clamped(long long value)
{
    // Half of the range of an integer is left for the resources that a pass takes and returns.
    constexpr long long limit = std::numeric_limits<int>::max() / 2;
    return static_cast<int>(std::clamp(value, -limit, limit));
}

std::optional<int> changed(std::optional<int> room, long long amount)
{
    return room ? std::optional(clamped(*room + amount)) : std::nullopt;
}

ResourceCap changed(const ResourceCap &room, const ResourceUsage &amount)
{
    return {changed(room.milliCpu, amount.milliCpu), changed(room.memoryMb, amount.memoryMb), changed(room.accelerators, amount.accelerators)};
}

ResourceUsage times(const Resources &perTask, long long count)
{
    return {perTask.milliCpu * count, perTask.memoryMb * count, perTask.accelerators * count};
}

ResourceUsage difference(const ResourceUsage &left, const ResourceUsage &right)
{
    return {left.milliCpu - right.milliCpu, left.memoryMb - right.memoryMb, left.accelerators - right.accelerators};
}

int tasksIn(std::optional<int> room, int perTask, int count)
{
    if (!room) {
        return count;
    }
    if (*room < 0) {
        return 0;
    }
    return perTask > 0 ? std::min(count, *room / perTask) : count;
}

std::map<OrganisationId, ResourceCap> limitsOf(const QueueConfiguration &configuration)
{
    std::map<OrganisationId, ResourceCap> caps;
    for (const auto &[id, share] : configuration.organisations) {
        if (hasLimit(share.cap)) {
            caps.emplace(id, share.cap);
        }
    }
    return caps;
}

void addTask(std::map<OrganisationId, OrganisationUse> &use, const WorkflowBoard &board, const TaskId &task)
{
    if (const auto *step = findStep(board, task.step)) {
        auto &ofOrganisation = use[board.workflows.find(task.step.workflow)->workflow->organisation];
        ofOrganisation.all = withTask(ofOrganisation.all, step->perTask);
    }
}

void addRuns(std::map<OrganisationId, OrganisationUse> &use, const WorkflowBoard &board)
{
    // The runs of a step follow one another, so what they have in common is looked up once per step.
    std::optional<StepId> last;
    const StepSpecification *step = nullptr;
    OrganisationUse *ofOrganisation = nullptr;
    for (const auto &[task, run] : board.runs.rows()) {
        if (last != task.step) {
            last = task.step;
            step = findStep(board, task.step);
            ofOrganisation = step == nullptr ? nullptr : &use[board.workflows.find(task.step.workflow)->workflow->organisation];
        }
        if (ofOrganisation != nullptr) {
            ofOrganisation->all = withTask(ofOrganisation->all, step->perTask);
            ofOrganisation->stopping = isStopping(run) ? withTask(ofOrganisation->stopping, step->perTask) : ofOrganisation->stopping;
        }
    }
}

void addLateStarts(std::map<OrganisationId, OrganisationUse> &use, const WorkflowBoard &board)
{
    for (const auto &late : board.lateStarts) {
        const auto *run = board.runs.find(late.task);
        const bool isCounted = run != nullptr && run->number == late.run;
        if (!isCounted && !late.isFenced && board.now < late.until) {
            addTask(use, board, late.task);
        }
    }
}

void addStrays(std::map<OrganisationId, OrganisationUse> &use, const WorkflowBoard &board)
{
    for (const auto &[id, target] : board.targets.rows()) {
        if (!target.strays.empty() && (target.failures == 0 || board.now < latestLapseAt(target))) {
            std::ranges::for_each(target.strays, [&](const TaskId &task) { addTask(use, board, task); });
        }
    }
}

template<typename UsageOf>
std::map<OrganisationId, ResourceCap>
roomBeside(const std::map<OrganisationId, ResourceCap> &caps, const std::map<OrganisationId, OrganisationUse> &use, UsageOf usageOf)
{
    std::map<OrganisationId, ResourceCap> room;
    for (const auto &[id, cap] : caps) {
        const auto found = use.find(id);
        room.emplace(id, found == use.end() ? cap : changed(cap, difference({}, usageOf(found->second))));
    }
    return room;
}

void changeCapRoom(PlacementInput &input, const WaitingStep &waiting, long long tasks)
{
    const auto amount = times(countedResources(waiting), tasks);
    for (auto *rooms : {&input.organisationRoom, &input.organisationRoomAfterStops}) {
        if (const auto room = rooms->find(waiting.organisation); room != rooms->end()) {
            room->second = changed(room->second, amount);
        }
    }
}

}

bool hasLimit(const ResourceCap &cap)
{
    return cap.milliCpu || cap.memoryMb || cap.accelerators;
}

ResourceCap lowerCap(const ResourceCap &left, const ResourceCap &right)
{
    return {lower(left.milliCpu, right.milliCpu), lower(left.memoryMb, right.memoryMb), lower(left.accelerators, right.accelerators)};
}

std::map<OrganisationId, ResourceCap> capsInForce(const ConfigurationView &view, TimePoint now)
{
    auto caps = limitsOf(view.configuration);
    for (const auto &former : view.formerCaps) {
        if (now < former.until) {
            for (const auto &[id, cap] : former.caps) {
                caps[id] = lowerCap(caps[id], cap);
            }
        }
    }
    return caps;
}

void keepFormerCaps(ConfigurationView &view, const QueueConfiguration &next, TimePoint until, TimePoint now)
{
    std::erase_if(view.formerCaps, [now](const FormerCaps &former) { return former.until <= now; });
    auto caps = limitsOf(view.configuration);
    if (!caps.empty() && caps != limitsOf(next)) {
        view.formerCaps.push_back({std::move(caps), until});
    }
}

std::map<OrganisationId, OrganisationUse> organisationUse(const WorkflowBoard &board)
{
    std::map<OrganisationId, OrganisationUse> use;
    addRuns(use, board);
    addLateStarts(use, board);
    addStrays(use, board);
    return use;
}

std::map<OrganisationId, ResourceCap> roomOfOrganisations(const std::map<OrganisationId, ResourceCap> &caps,
                                                          const std::map<OrganisationId, OrganisationUse> &use)
{
    return roomBeside(caps, use, [](const OrganisationUse &one) { return one.all; });
}

std::map<OrganisationId, ResourceCap> roomAfterStops(const std::map<OrganisationId, ResourceCap> &caps, const std::map<OrganisationId, OrganisationUse> &use)
{
    return roomBeside(caps, use, [](const OrganisationUse &one) { return difference(one.all, one.stopping); });
}

bool isExceeded(const ResourceCap &room)
{
    return room.milliCpu.value_or(0) < 0 || room.memoryMb.value_or(0) < 0 || room.accelerators.value_or(0) < 0;
}

int tasksWithin(const ResourceCap &room, const Resources &perTask, int count)
{
    return std::min({tasksIn(room.milliCpu, perTask.milliCpu, count),
                     tasksIn(room.memoryMb, perTask.memoryMb, count),
                     tasksIn(room.accelerators, perTask.accelerators, count)});
}

ResourceCap lessTasks(const ResourceCap &room, const Resources &perTask, int count)
{
    return changed(room, times(perTask, -count));
}

ResourceCap plusTasks(const ResourceCap &room, const Resources &perTask, int count)
{
    return changed(room, times(perTask, count));
}

Resources countedResources(const WaitingStep &waiting)
{
    return waiting.specification.perTask + Resources{waiting.unreservedMilliCpu, 0, 0};
}

Resources countedResources(const RunningUnit &unit)
{
    return unit.perTask + Resources{unit.unreservedMilliCpu, 0, 0};
}

int tasksWithinCap(const PlacementInput &input, const WaitingStep &waiting)
{
    const int count = static_cast<int>(waiting.tasks.size());
    const auto room = input.organisationRoom.find(waiting.organisation);
    return room == input.organisationRoom.end() ? count : tasksWithin(room->second, countedResources(waiting), count);
}

void takeCapRoom(PlacementInput &input, const WaitingStep &waiting, int tasks)
{
    changeCapRoom(input, waiting, -tasks);
}

void returnCapRoom(PlacementInput &input, const WaitingStep &waiting, int tasks)
{
    changeCapRoom(input, waiting, tasks);
}

std::set<TaskId> startsBeyondCaps(const std::vector<RecordedStart> &starts, std::map<OrganisationId, ResourceCap> room)
{
    std::set<TaskId> given;
    for (const auto &start : starts | std::views::reverse) {
        const auto found = room.find(start.organisation);
        if (found == room.end()) {
            continue;
        }
        for (const auto &task : start.tasks | std::views::reverse) {
            const bool isGivenUp = isExceeded(found->second) || (start.isGang && given.contains(start.tasks.back()));
            if (isGivenUp) {
                given.insert(task);
                found->second = plusTasks(found->second, start.perTask, 1);
            }
        }
    }
    return given;
}

std::string describe(const ResourceCap &room)
{
    const auto text = [](std::optional<int> value, const char *unit) { return value ? std::to_string(*value) + unit : std::string("any") + unit; };
    return text(room.accelerators, " accelerators") + ", " + text(room.milliCpu, " thousandths of a core") + " and " + text(room.memoryMb, " MB");
}

}
