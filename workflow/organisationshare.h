#pragma once

#include "workflowboard.h"

#include <map>
#include <utility>
#include <vector>

namespace sequoiastand
{

/// What the fair shares of organisations follow from. Without configured weights all maps are empty and the order of the waiting steps stays as it was.
struct ShareTerms
{
    std::map<OrganisationId, int> weights;                                ///< Weights other than 1.
    std::map<ServiceId, int> capacity;                                    ///< Accelerators of the service's targets in service.
    std::map<ServiceId, int> free;                                        ///< Accelerators of these that nothing occupies.
    std::map<std::pair<ServiceId, OrganisationId>, int> heldAccelerators; ///< Accelerators that runs of the organisation occupy.

    friend bool operator==(const ShareTerms &, const ShareTerms &) = default;
};

ShareTerms shareTerms(const WorkflowBoard &board);

/// Sets `isBeyondShare` of the waiting steps. The share of an organisation is the service's capacity divided in proportion to weight among the organisations
/// that have work running or waiting there. What the organisation's earlier steps ask for counts as held, so that one pass does not give it more than its share
/// while others wait. While a service has capacity for all that waits, no step of it is marked.
void markBeyondShare(std::vector<WaitingStep> &waiting, const ShareTerms &terms);

}
