#pragma once

#include "core/blackboard.h"
#include "resulttable.h"
#include "statement.h"

#include <string>
#include <string_view>

namespace sequoiastand
{

std::string_view name(QuerySubject subject);

/// The column that `since` and `until` refer to; empty if the subject's rows have no time.
std::string timeColumn(QuerySubject subject);

/// All rows of a subject as this host knows them, and notices about what it does not know.
StatementResult rowsOf(const Blackboard &board, QuerySubject subject);

ResultTable historyTable(const std::vector<ConfigurationChange> &changes);

/// Rows about guarantees: held by their organisation, lent to others, and reclaimable now.
StatementResult guaranteeRows(const Blackboard &board);

/// True while the job's gang holds its accelerators.
bool holdsAccelerators(const Job &job);

}
