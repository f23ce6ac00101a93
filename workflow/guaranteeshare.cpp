#include "guaranteeshare.h"

#include "eligibility.h"
#include "organisationcap.h"

#include <algorithm>
#include <map>
#include <vector>

namespace sequoiastand
{

namespace
{

int acceleratorsOf(const WorkflowEntry &entry)
{
    const auto &steps = entry.workflow->specification.steps;
    const auto widest = std::ranges::max(steps, {}, [](const StepSpecification &step) { return step.taskCount * step.perTask.accelerators; });
    return widest.taskCount * widest.perTask.accelerators * static_cast<int>(std::max<std::size_t>(1, entry.progress.occurrences.size()));
}

}

std::set<RequestId> guaranteedWorkflows(const WorkflowBoard &board)
{
    std::vector<const WorkflowEntry *> urgent;
    for (const auto &id : board.workflows.open()) {
        const auto *entry = board.workflows.find(id);
        if (queueOf(board, *entry->workflow).priority == 0) {
            urgent.push_back(entry);
        }
    }
    std::ranges::stable_sort(urgent, {}, [](const WorkflowEntry *entry) { return entry->workflow->acceptedAt; });
    std::map<OrganisationId, int> remaining;
    for (const auto &[id, share] : board.view.configuration.organisations) {
        remaining.emplace(id, share.guaranteedAccelerators);
    }
    // Work beyond the cap cannot start, so a guarantee counts only up to the cap.
    for (const auto &[id, cap] : capsInForce(board.view, board.now)) {
        if (const auto share = remaining.find(id); share != remaining.end()) {
            share->second = std::min(share->second, cap.accelerators.value_or(share->second));
        }
    }
    std::set<RequestId> guaranteed;
    for (const auto *entry : urgent) {
        const auto share = remaining.find(entry->workflow->organisation);
        const int wanted = acceleratorsOf(*entry);
        if (share != remaining.end() && wanted <= share->second) {
            share->second -= wanted;
            guaranteed.insert(entry->workflow->id);
        }
    }
    return guaranteed;
}

}
