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

/// All rows of a subject as known to this host, with notices about missing information.
StatementResult rowsOf(const Blackboard &board, QuerySubject subject);

ResultTable historyTable(const std::vector<ConfigurationChange> &changes);

/// One row for each guarantee, with the numbers of its accelerators that its organisation holds, that are lent to others, and that can be reclaimed now.
StatementResult guaranteeRows(const Blackboard &board);

/// True if the job's gang holds its accelerators.
bool holdsAccelerators(const Job &job);

}
