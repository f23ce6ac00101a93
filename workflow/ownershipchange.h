#pragma once

#include "workflowboard.h"

#include <string>

namespace sequoiastand
{

/// Changes of owner within this time count as recent.
constexpr Duration recentChangeWindow{30'000};

/// Ends this host's ownership and clears the sections that only an owner has. Revokes the lease, so that another host need not wait until it expires.
void releaseDomain(WorkflowBoard &board, const std::string &reason);

/// Clears the sections that only an owner has: workflows, runs, targets, advice and the commit chain.
void clearOwnerSections(WorkflowBoard &board);

/// The ownership section of a host that neither owns nor claims the domain, with what it knows about the owner.
Ownership followerState(const Ownership &ownership);

}
