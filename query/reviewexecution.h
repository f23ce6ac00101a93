#pragma once

#include "execution.h"
#include "review.h"

namespace sequoiastand
{

/// Time range and filters of a review statement that runs at `now`.
ReviewScope scopeOf(const ReviewStatement &statement, WallTime now);

/// Store reads of the ledger, with one range for each day that may contain jobs of the scope.
StoreReads ledgerReads(const ReviewScope &scope, WallTime now);

/// Collects the records of the ledger and the blackboard, the holdings of running attempts, and descriptions of missing records.
ReviewInput reviewInput(const Blackboard &board, const ReviewScope &scope, const std::vector<StoreReadResult> &reads);

/// The review as tables, with its gaps as notices.
StatementResult reviewTables(const Review &review);

}
