#include "organisationshare.h"

#include "eligibility.h"

#include <algorithm>
#include <functional>
#include <set>

namespace sequoiastand
{

namespace
{

int acceleratorsOf(const WaitingStep &waiting)
{
    return static_cast<int>(waiting.tasks.size()) * waiting.specification.perTask.accelerators;
}

int weightOf(const ShareTerms &terms, const OrganisationId &organisation)
{
    const auto found = terms.weights.find(organisation);
    return found == terms.weights.end() ? 1 : found->second;
}

/// The value of the key, or zero.
template<typename Map>
int valueOf(const Map &map, const typename Map::key_type &key)
{
    const auto found = map.find(key);
    return found == map.end() ? 0 : found->second;
}

/// The shares of the organisations that have work running or waiting in the service.
std::map<std::pair<ServiceId, OrganisationId>, double> sharesOf(const std::vector<WaitingStep> &waiting, const ShareTerms &terms)
{
    std::set<std::pair<ServiceId, OrganisationId>> present;
    for (const auto &[key, held] : terms.heldAccelerators) {
        present.insert(key);
    }
    for (const auto &step : waiting) {
        present.emplace(step.service, step.organisation);
    }
    std::map<ServiceId, int> weights;
    for (const auto &[service, organisation] : present) {
        weights[service] += weightOf(terms, organisation);
    }
    std::map<std::pair<ServiceId, OrganisationId>, double> shares;
    for (const auto &key : present) {
        const int sum = std::max(1, weights.at(key.first));
        shares.emplace(key, static_cast<double>(valueOf(terms.capacity, key.first)) * weightOf(terms, key.second) / sum);
    }
    return shares;
}

}

ShareTerms shareTerms(const WorkflowBoard &board)
{
    ShareTerms terms;
    for (const auto &[id, share] : board.view.configuration.organisations) {
        if (share.weight != 1) {
            terms.weights.emplace(id, share.weight);
        }
    }
    if (terms.weights.empty()) {
        return terms;
    }
    for (const auto &[id, target] : board.targets.rows()) {
        if (isInService(board, target)) {
            const auto &registration = target.registration;
            terms.capacity[registration.service] += registration.capacity.accelerators;
            terms.free[registration.service] += std::max(0, registration.capacity.accelerators - board.runs.useOf(id).occupied.accelerators);
        }
    }
    for (const auto &[task, run] : board.runs.rows()) {
        const auto *entry = board.workflows.find(task.step.workflow);
        if (entry != nullptr && !isStopping(run)) {
            terms.heldAccelerators[{queueOf(board, *entry->workflow).service, entry->workflow->organisation}] += run.occupiedResources.accelerators;
        }
    }
    return terms;
}

void markBeyondShare(std::vector<WaitingStep> &waiting, const ShareTerms &terms)
{
    if (terms.weights.empty()) {
        return;
    }
    std::map<ServiceId, int> wanted;
    for (const auto &step : waiting) {
        wanted[step.service] += acceleratorsOf(step);
    }
    const auto shares = sharesOf(waiting, terms);
    auto held = terms.heldAccelerators;
    sortWaiting(waiting);
    for (auto &step : waiting) {
        const auto key = std::pair(step.service, step.organisation);
        const bool isContended = wanted.at(step.service) > valueOf(terms.free, step.service);
        step.isBeyondShare = isContended && !step.isGuaranteed && held[key] >= shares.at(key);
        held[key] += step.isBeyondShare ? 0 : acceleratorsOf(step);
    }
}

}
