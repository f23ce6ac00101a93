#include "script.h"

#include "wire/jobjson.h"
#include "wire/jsonfields.h"

#include <absl/strings/str_cat.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

struct Place
{
    int line = 1;
    int column = 1;
};

Place advanced(Place place, std::string_view text)
{
    for (const char character : text) {
        if (character == '\n') {
            ++place.line;
            place.column = 1;
        } else {
            place.column += (static_cast<unsigned char>(character) & 0xC0U) == 0x80U ? 0 : 1;
        }
    }
    return place;
}

/// Offset of the first character that is neither blank nor part of a comment.
std::size_t contentStart(std::string_view text)
{
    std::size_t at = 0;
    while (at < text.size()) {
        if (text[at] == '#') {
            at = std::min(text.find('\n', at), text.size());
        } else if (std::string_view{" \t\r\n"}.find(text[at]) == std::string_view::npos) {
            break;
        } else {
            ++at;
        }
    }
    return at;
}

/// Offset of the semicolon that ends the first statement, or the size.
std::size_t statementEnd(std::string_view text)
{
    bool isQuoted = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char character = text[at];
        if (isQuoted) {
            at += character == '\\' ? 1 : 0;
            isQuoted = character != '"';
        } else if (character == '"') {
            isQuoted = true;
        } else if (character == '#') {
            at = std::min(text.find('\n', at), text.size() - 1);
        } else if (character == ';') {
            return at;
        }
    }
    return text.size();
}

Refusal refusalOf(const SyntaxError &fault, const ScriptStatement &statement)
{
    const Place place = advanced({statement.line, statement.column}, std::string_view(statement.text).substr(0, fault.offset));
    return {RefusalReason::BadRequest,
            RequestEffect::NotRun,
            Duration{0},
            absl::StrCat("line ", place.line, ", column ", place.column, ": expected ", fault.expected, "; found ", fault.found)};
}

ScriptRun withOutcome(ScriptRun run, std::variant<StatementResult, Refusal> answer)
{
    const bool isFailure = std::holds_alternative<Refusal>(answer);
    run.outcomes.push_back({run.next, std::move(answer)});
    ++run.next;
    run.reads.clear();
    run.hasReads = false;
    run.isFinished = run.isFinished || run.next >= run.parsed.size() || (isFailure && !run.request.continuesAfterFailure);
    return run;
}

/// A refusal of a statement names its line if there are several statements.
Refusal located(Refusal refusal, const ScriptRun &run, std::size_t index)
{
    if (run.statements.size() > 1 && !refusal.message.starts_with("line ")) {
        refusal.message = absl::StrCat("line ", run.statements[index].line, ": ", refusal.message);
    }
    return refusal;
}

std::string notRunText(const ScriptRun &run)
{
    const std::size_t left = run.statements.size() - std::min(run.statements.size(), run.next);
    return left == 0 ? "" : absl::StrCat(left, left == 1 ? " statement was" : " statements were", " not run");
}

std::string plainAnswer(const ScriptRun &run)
{
    std::string text;
    const std::string comment = run.request.format == ResultFormat::Csv ? "# " : "";
    for (const auto &outcome : run.outcomes) {
        if (const auto *result = std::get_if<StatementResult>(&outcome.answer)) {
            const std::string part = render(*result, run.request.format);
            absl::StrAppend(&text, text.empty() || part.empty() ? "" : "\n", part);
        } else {
            const auto refusal = located(std::get<Refusal>(outcome.answer), run, outcome.statement);
            absl::StrAppend(&text, comment, "refused: ", std::string(name(refusal.reason)), ": ", refusal.message, "\n");
        }
    }
    if (const auto left = notRunText(run); !left.empty()) {
        absl::StrAppend(&text, comment, left, "\n");
    }
    return text;
}

std::string jsonAnswer(const ScriptRun &run)
{
    nlohmann::json json = nlohmann::json::array();
    for (const auto &outcome : run.outcomes) {
        if (const auto *result = std::get_if<StatementResult>(&outcome.answer)) {
            auto part = nlohmann::json::parse(render(*result, ResultFormat::Json));
            part["line"] = run.statements[outcome.statement].line;
            json.push_back(std::move(part));
        } else {
            const auto refusal = located(std::get<Refusal>(outcome.answer), run, outcome.statement);
            json.push_back({{"refusal", toJson(refusal)}, {"line", run.statements[outcome.statement].line}});
        }
    }
    return toText({{"statements", std::move(json)}, {"notRun", run.statements.size() - std::min(run.statements.size(), run.next)}}) + "\n";
}

/// A report is the whole answer only if nothing else has to be said.
bool isDocument(const ScriptRun &run)
{
    const auto *result = run.outcomes.size() == 1 ? std::get_if<StatementResult>(&run.outcomes.front().answer) : nullptr;
    return result != nullptr && !result->html.empty();
}

ScriptAnswer answerOf(const ScriptRun &run)
{
    ScriptAnswer answer;
    if (isDocument(run)) {
        return {std::get<StatementResult>(run.outcomes.front().answer).html, "text/html; charset=utf-8", std::nullopt};
    }
    const bool isJson = run.request.format == ResultFormat::Json;
    answer.text = isJson ? jsonAnswer(run) : plainAnswer(run);
    answer.contentType = isJson ? "application/json" : run.request.format == ResultFormat::Csv ? "text/csv; charset=utf-8" : "text/plain; charset=utf-8";
    const auto failed = std::ranges::find_if(run.outcomes, [](const auto &outcome) { return std::holds_alternative<Refusal>(outcome.answer); });
    if (failed != run.outcomes.end()) {
        answer.failure = located(std::get<Refusal>(failed->answer), run, failed->statement);
    }
    return answer;
}

}

std::vector<ScriptStatement> splitScript(std::string_view text)
{
    std::vector<ScriptStatement> statements;
    Place place;
    while (!text.empty()) {
        const std::size_t end = statementEnd(text);
        const std::size_t start = std::min(contentStart(text), end);
        const Place first = advanced(place, text.substr(0, start));
        std::string_view content = text.substr(start, end - start);
        const std::size_t last = content.find_last_not_of(" \t\r\n");
        if (last != std::string_view::npos) {
            statements.push_back({std::string(content.substr(0, last + 1)), first.line, first.column});
        }
        const std::string_view taken = text.substr(0, std::min(end + 1, text.size()));
        place = advanced(place, taken);
        text.remove_prefix(taken.size());
    }
    return statements;
}

ScriptRun beginScript(const ScriptRequest &request)
{
    ScriptRun run;
    run.request = request;
    run.statements = splitScript(request.text);
    if (run.statements.empty()) {
        run.statements.push_back({});
    }
    for (std::size_t index = 0; index < run.statements.size(); ++index) {
        auto parsed = parseStatement(run.statements[index].text);
        if (const auto *fault = std::get_if<SyntaxError>(&parsed)) {
            run.outcomes.push_back({index, refusalOf(*fault, run.statements[index])});
            run.isFinished = true;
            return run;
        }
        run.parsed.push_back(std::get<Statement>(std::move(parsed)));
    }
    return run;
}

ScriptStep continueScript(ScriptRun run, const Blackboard &board, CallId call)
{
    while (!run.isFinished) {
        const auto &statement = run.parsed[run.next];
        if (const auto *mode = std::get_if<FailureModeStatement>(&statement)) {
            run.request.continuesAfterFailure = mode->continues;
        }
        const StatementContext context{
            run.request.account, call, {absl::StrCat(run.request.command.value, "-", run.next + 1)}, run.request.wait, run.statements[run.next].text};
        ExecutionOutcome execution = run.hasReads ? executeWithReads(board, statement, run.reads) : executeStatement(board, statement, context);
        if (auto *event = std::get_if<Event>(&execution)) {
            return {std::move(run), PostEvent{std::move(*event), call}};
        }
        if (auto *reads = std::get_if<StoreReads>(&execution)) {
            return {std::move(run), std::move(*reads)};
        }
        if (auto *fault = std::get_if<SyntaxError>(&execution)) {
            auto refusal = refusalOf(*fault, run.statements[run.next]);
            run = withOutcome(std::move(run), std::move(refusal));
        } else if (auto *refusal = std::get_if<Refusal>(&execution)) {
            run = withOutcome(std::move(run), std::move(*refusal));
        } else {
            run = withOutcome(std::move(run), std::get<StatementResult>(std::move(execution)));
        }
    }
    ScriptAnswer answer = answerOf(run);
    return {std::move(run), std::move(answer)};
}

ScriptRun withReply(ScriptRun run, const CallerReply &reply)
{
    return withOutcome(std::move(run), resultOf(reply));
}

ScriptRun withReads(ScriptRun run, std::vector<StoreReadResult> reads)
{
    run.reads = std::move(reads);
    run.hasReads = true;
    return run;
}

}
