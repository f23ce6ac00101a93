#pragma once

#include "core/time.h"

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace sequoiastand
{

struct WorkflowBoard;

/// What the owner of a domain has to keep doing besides renewing its lease.
enum class OwnerDuty
{
    ProveConfiguration, ///< Confirm the configuration; without a proof the owner plans and starts nothing.
    ReadDomain,         ///< Read the records, the registrations and the intake from the store.
    CommitProgress,     ///< Write progress; a run starts only once its record is stored.
    HoldTargets,        ///< Stay in contact with the targets.
};

std::string_view name(OwnerDuty duty);

/// Prefixes of the store that only the owner mirrors.
inline const std::array<std::string, 2> ownerPrefixes{"targets/", "intake/"};

/// A duty that has not been done for longer than usual.
struct OverdueDuty
{
    TimePoint since;    ///< When the duty was due or failed first.
    TimePoint loggedAt; ///< When the log last reported it.

    friend bool operator==(const OverdueDuty &, const OverdueDuty &) = default;
};

/// The duty for which the owner should give the domain up, because the owner has failed at it for long and another host may succeed; empty if there is none.
/// The contact with targets is no such duty: a new owner knows of no hold that the former one sent, so it waits longer until the runs of targets that all hosts
/// have lost have certainly lapsed.
std::optional<OwnerDuty> stalledDuty(const WorkflowBoard &board);

/// How long the duty has been overdue; zero if it is not.
Duration overdueTime(const WorkflowBoard &board, OwnerDuty duty);

/// The overdue duties, how long they have been overdue, and the errors of the last attempts, for the log.
std::string describeOverdue(const WorkflowBoard &board);

}
