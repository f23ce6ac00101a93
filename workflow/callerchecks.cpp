#include "callerchecks.h"

#include "core/requestid.h"
#include "organisationcap.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

// Limit of the platform's interface for callers.
constexpr std::size_t maxPayloadBytes = 4'000;

Refusal notRun(RefusalReason reason, std::string message)
{
    return {reason, RequestEffect::NotRun, Duration{0}, std::move(message)};
}

/// True if the task fits into at least one target shape. Without any known shape, every task counts as small enough.
bool couldFit(const WorkflowBoard &board, const Queue &queue, const StepSpecification &step)
{
    const auto &summary = board.summary.summary;
    if (!summary || summary->shapes.empty()) {
        return true;
    }
    return std::ranges::any_of(summary->shapes, [&](const TargetShape &shape) {
        const bool hasLabel = step.requiredLabel.empty() || std::ranges::find(shape.labels, step.requiredLabel) != shape.labels.end();
        return shape.service == queue.service && hasLabel && fitsInto(reservedResources(step), shape.capacity);
    });
}

/// True if the gang, or one independent task, fits under the cap of its organisation while nothing else of the organisation runs.
bool couldFitUnderCap(const ResourceCap &cap, const StepSpecification &step)
{
    const int count = step.isGang ? step.taskCount : 1;
    return tasksWithin(cap, step.perTask, count) == count;
}

std::optional<std::string> findSubmissionError(const CallerRequest &request, const RoutedCall &routed)
{
    if (!isRequestId(routed.rest)) {
        return "the id is not 16 hexadecimal digits";
    }
    if (!request.specification) {
        return request.bodyError;
    }
    if (request.specification->payload.size() > maxPayloadBytes) {
        return "the payload has more than " + std::to_string(maxPayloadBytes) + " bytes";
    }
    return findSpecificationError(*request.specification);
}

}

std::variant<RoutedCall, Refusal> routeCall(const QueueConfiguration &configuration, const CallerRequest &request)
{
    const auto *queue = findQueue(configuration, request.host, request.path);
    if (queue == nullptr) {
        return notRun(RefusalReason::UnknownQueue, "no queue has this host and path");
    }
    RoutedCall routed{queue, {}, request.path.substr(queue->prefix.size())};
    const auto key = configuration.keys.find(request.key);
    if (key != configuration.keys.end()) {
        routed.organisation = key->second;
    } else if (!queue->isAnonymous) {
        return notRun(RefusalReason::Unauthorised, "the key is not known");
    }
    return routed;
}

bool isSameQueue(const QueueConfiguration &configuration, const RoutedCall &routed, const QueueId &queue)
{
    return queue.value.empty() || queue == routed.queue->id || !configuration.queues.contains(queue);
}

bool mayAccess(const QueueConfiguration &configuration, const RoutedCall &routed, const WorkflowOwner &owner)
{
    const bool isOpenToAll = routed.queue->isAnonymous && owner.queue == routed.queue->id;
    const bool isOwn = owner.organisation.value.empty() || owner.organisation == routed.organisation;
    return isSameQueue(configuration, routed, owner.queue) && (isOwn || isOpenToAll);
}

std::optional<Refusal> checkSubmission(const WorkflowBoard &board, const CallerRequest &request, const RoutedCall &routed)
{
    const auto limit = board.view.configuration.maxBodyBytes;
    if (limit > 0 && request.bodyBytes > limit) {
        return notRun(RefusalReason::BodyTooLarge, "the body has more than " + std::to_string(limit) + " bytes");
    }
    if (auto error = findSubmissionError(request, routed)) {
        return notRun(RefusalReason::BadRequest, *std::move(error));
    }
    const auto &steps = request.specification->steps;
    if (!std::ranges::all_of(steps, [&](const StepSpecification &step) { return couldFit(board, *routed.queue, step); })) {
        return notRun(RefusalReason::NeverFits, "a task is larger than every target, or requires a label that no target has");
    }
    const auto share = board.view.configuration.organisations.find(routed.organisation);
    if (share != board.view.configuration.organisations.end()) {
        const auto &cap = share->second.cap;
        if (!std::ranges::all_of(steps, [&](const StepSpecification &step) { return couldFitUnderCap(cap, step); })) {
            return notRun(RefusalReason::QuotaExceeded, "a gang or a task is larger than the cap of its organisation, which is " + describe(cap));
        }
    }
    return std::nullopt;
}

}
