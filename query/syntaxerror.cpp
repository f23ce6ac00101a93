#include "syntaxerror.h"

#include <algorithm>
#include <vector>

namespace sequoiastand
{

std::string continuations(const Statement &statement)
{
    const std::string options = "dry run, expecting version, command id, wait or ;";
    if (const auto *configuration = std::get_if<ConfigureStatement>(&statement)) {
        static const std::vector<std::string> settings{"waiting, token hash, ",
                                                       "for, in, accelerators, workers, racks, count, ",
                                                       "region, notice, isolated starts, ",
                                                       "of, quota, ",
                                                       "role, token hash, "};
        return settings.at(configuration->change.index()) + options;
    }
    if (std::holds_alternative<SubmitStatement>(statement)) {
        return "team, class, tasks, accelerators, adjacency, cpu, memory, idempotent, checkpointable, run time, deadline, payload, " + options;
    }
    if (std::holds_alternative<QueryStatement>(statement)) {
        return "where, and, since, until, group by, order by, limit or ;";
    }
    if (std::holds_alternative<ReviewStatement>(statement)) {
        return "month, from, until, organisation, team, class, zone, as html or ;";
    }
    const bool takesNothing = std::holds_alternative<ExplainStatement>(statement) || std::holds_alternative<FailureModeStatement>(statement);
    return takesNothing ? ";" : options;
}

std::string wordAt(std::string_view rest)
{
    const auto isEnd = [](char character) { return std::string_view{" \t\r\n;,()"}.find(character) != std::string_view::npos; };
    const auto end = std::ranges::find_if(rest, isEnd);
    constexpr std::size_t maxShown = 40;
    const auto size = std::max<std::size_t>(static_cast<std::size_t>(end - rest.begin()), 1);
    return rest.empty() ? "the end of the statement" : "\"" + std::string(rest.substr(0, std::min(size, maxShown))) + "\"";
}

}
