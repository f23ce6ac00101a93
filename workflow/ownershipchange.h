#pragma once

#include "workflowboard.h"

#include <string>

namespace sequoiastand
{

/// Changes of the owner within this time count as recent.
constexpr Duration recentChangeWindow{30'000};

/// Ends this host's ownership, or its claim, and clears the sections that only an owner has. The store is told, so that another host need not wait for the lease.
void releaseDomain(WorkflowBoard &board, const std::string &reason);

/// Removes what an owner knows: workflows, runs, targets and the chain of commits.
void clearOwnerSections(WorkflowBoard &board);

/// What remains of the ownership section once this host neither owns nor claims the domain.
Ownership followerState(const Ownership &ownership);

}
