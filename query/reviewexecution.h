#pragma once

#include "execution.h"
#include "review.h"

namespace sequoiastand
{

/// The time range and limits of a review statement that is run now.
ReviewScope scopeOf(const ReviewStatement &statement, WallTime now);

/// One range for each ledger day that can hold jobs of the time range.
StoreReads ledgerReads(const ReviewScope &scope, WallTime now);

/// Records from the ledger and the board, what running attempts hold, and what is missing.
ReviewInput reviewInput(const Blackboard &board, const ReviewScope &scope, const std::vector<StoreReadResult> &reads);

/// The review as tables, with its gaps as notices.
StatementResult reviewTables(const Review &review);

}
