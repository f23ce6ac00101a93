#include "execution.h"

#include "boardtables.h"
#include "commandexecution.h"
#include "report.h"
#include "reviewexecution.h"
#include "selection.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <map>
#include <type_traits>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr std::chrono::days maxReviewRange{366};
constexpr std::string_view historyPrefix = "config/history/";

ExecutionOutcome select(const StatementResult &all, const QueryStatement &query, WallTime now)
{
    auto selected = selectRows(all.tables.front(), query, timeColumn(query.subject), now);
    if (const auto *error = std::get_if<ColumnError>(&selected)) {
        return SyntaxError{error->column.offset, error->expected, error->column.text.empty() ? "a time range" : "\"" + error->column.text + "\""};
    }
    return StatementResult{{std::get<ResultTable>(std::move(selected))}, all.notices, {}};
}

void addRow(ResultTable &table, const std::string &field, ResultCell value)
{
    table.rows.push_back({field, std::move(value)});
}

ExecutionOutcome explain(const Blackboard &board, const JobId &id)
{
    const auto *job = board.jobs.find(id);
    if (job == nullptr) {
        return Refusal{RefusalReason::NotFound,
                       RequestEffect::NotRun,
                       Duration{0},
                       "job " + toString(id) + " is not known to this host; finished jobs move to the ledger"};
    }
    ResultTable table{"job " + toString(id), {"field", "value"}, {}};
    addRow(table, "state", std::string(name(job->state)));
    addRow(table, "explanation", job->explanation);
    addRow(table, "zone", job->availabilityZone.value);
    addRow(table, "accepted", job->acceptedAt);
    addRow(table, "started", job->startedAt ? ResultCell{*job->startedAt} : ResultCell{});
    addRow(table, "finished", job->finishedAt ? ResultCell{*job->finishedAt} : ResultCell{});
    addRow(table, "attempts", static_cast<long long>(job->attemptCount));
    addRow(table, "may_have_started", job->mayHaveStarted);
    addRow(table, "cancel_requested", job->isCancelRequested);
    addRow(table, "attempt_owner", job->attemptOwner.value);
    addRow(table, "checkpointed_work", job->checkpointedWork);
    StatementResult result{{std::move(table)}, {}, {}};
    ResultTable intervals{"attempts that held accelerators", {"attempt", "accelerators", "from", "until", "borrowed", "lost_work"}, {}};
    for (const auto &interval : job->held) {
        intervals.rows.push_back({static_cast<long long>(interval.attempt),
                                  static_cast<long long>(interval.accelerators),
                                  interval.from,
                                  interval.until,
                                  interval.isBorrowed,
                                  interval.lostWork});
    }
    ResultTable members{"members of the present attempt", {"member", "target", "accelerators"}, {}};
    for (const auto &[attemptId, attempt] : board.attempts.rows()) {
        if (attemptId.job != id) {
            continue;
        }
        for (const auto &member : attempt.members) {
            members.rows.push_back({static_cast<long long>(member.index), member.target.value, absl::StrCat("0x", absl::Hex(member.accelerators))});
        }
    }
    for (auto &part : {intervals, members}) {
        if (!part.rows.empty()) {
            result.tables.push_back(part);
        }
    }
    return result;
}

ExecutionOutcome executeReview(const Blackboard &board, const ReviewStatement &statement)
{
    const auto scope = scopeOf(statement, board.wallNow);
    const bool isLong = scope.until - scope.from > maxReviewRange;
    if (scope.from >= scope.until || scope.from > board.wallNow || isLong) {
        return Refusal{RefusalReason::BadRequest,
                       RequestEffect::NotRun,
                       Duration{0},
                       "review: the range must begin before now and before its end, and cover at most 366 days"};
    }
    return ledgerReads(scope, board.wallNow);
}

Refusal notPermitted(const StatementContext &context, OperatorRole required)
{
    const std::string needed = required == OperatorRole::Administrator ? "administrator" : "submitter";
    return {RefusalReason::Unauthorised, RequestEffect::NotRun, Duration{0}, absl::StrCat("operator ", context.account.id.value, " needs the role ", needed)};
}

ExecutionOutcome executeHistory(const Blackboard &board, const QueryStatement &query, const std::vector<StoreReadResult> &reads)
{
    std::map<long long, ConfigurationChange> changes = board.recentChanges;
    std::vector<std::string> notices;
    for (const auto &read : reads) {
        if (!read.error.empty()) {
            notices.push_back("the store's history could not be read (" + read.error + "); the table shows only the changes known to this host");
        }
        for (const auto &entry : read.entries) {
            if (const auto *change = std::get_if<ConfigurationChange>(&entry.record)) {
                changes.insert_or_assign(change->version, *change);
            }
        }
    }
    std::vector<ConfigurationChange> list;
    std::ranges::transform(changes, std::back_inserter(list), [](const auto &row) { return row.second; });
    return select(StatementResult{{historyTable(list)}, notices, {}}, query, board.wallNow);
}

}

ExecutionOutcome executeStatement(const Blackboard &board, const Statement &statement, const StatementContext &context)
{
    if (const auto required = requiredRole(statement); context.account.role < required) {
        return notPermitted(context, required);
    }
    return std::visit(
        [&](const auto &value) -> ExecutionOutcome {
            using Kind = std::decay_t<decltype(value)>;
            if constexpr (std::is_same_v<Kind, QueryStatement>) {
                if (value.subject == QuerySubject::History) {
                    return StoreReads{{StoreRange{{std::string(historyPrefix)}, true}}};
                }
                return select(rowsOf(board, value.subject), value, board.wallNow);
            } else if constexpr (std::is_same_v<Kind, ExplainStatement>) {
                return explain(board, value.job);
            } else if constexpr (std::is_same_v<Kind, ReviewStatement>) {
                return executeReview(board, value);
            } else if constexpr (std::is_same_v<Kind, FailureModeStatement>) {
                return StatementResult{};
            } else {
                return executeCommand(board, value, context);
            }
        },
        statement);
}

ExecutionOutcome executeWithReads(const Blackboard &board, const Statement &statement, const std::vector<StoreReadResult> &reads)
{
    if (const auto *query = std::get_if<QueryStatement>(&statement)) {
        return executeHistory(board, *query, reads);
    }
    if (const auto *statementOfReview = std::get_if<ReviewStatement>(&statement)) {
        const auto review = makeReview(reviewInput(board, scopeOf(*statementOfReview, board.wallNow), reads));
        StatementResult result = reviewTables(review);
        result.html = statementOfReview->isHtml ? reviewReport(review) : "";
        return result;
    }
    return Refusal{RefusalReason::Internal, RequestEffect::NotRun, Duration{0}, "this kind of statement needs no store reads"};
}

std::variant<StatementResult, Refusal> resultOf(const CallerReply &reply)
{
    if (reply.refusal) {
        return *reply.refusal;
    }
    StatementResult result;
    if (reply.text) {
        result.notices.push_back(*reply.text);
    }
    if (reply.job) {
        const auto &job = *reply.job;
        result.tables.push_back(
            {"job",
             {"job", "state", "zone", "accepted", "explanation"},
             {{toString(job.specification.id), std::string(name(job.state)), job.availabilityZone.value, job.acceptedAt, job.explanation}}});
    }
    return result;
}

}
