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

struct Position
{
    int line = 1;
    int column = 1;
};

Position positionAfter(Position position, std::string_view text)
{
    for (const char character : text) {
        if (character == '\n') {
            ++position.line;
            position.column = 1;
        } else {
            position.column += (static_cast<unsigned char>(character) & 0xC0U) == 0x80U ? 0 : 1;
        }
    }
    return position;
}

/// Offset of the first character that is neither a blank nor part of a comment.
std::size_t contentStart(std::string_view text)
{
    std::size_t offset = 0;
    while (offset < text.size()) {
        if (text[offset] == '#') {
            offset = std::min(text.find('\n', offset), text.size());
        } else if (std::string_view{" \t\r\n"}.find(text[offset]) == std::string_view::npos) {
            break;
        } else {
            ++offset;
        }
    }
    return offset;
}

/// Offset of the semicolon that ends the first statement, or the size of the text if there is none.
std::size_t statementEnd(std::string_view text)
{
    bool isQuoted = false;
    for (std::size_t offset = 0; offset < text.size(); ++offset) {
        const char character = text[offset];
        if (isQuoted) {
            offset += character == '\\' ? 1 : 0;
            isQuoted = character != '"';
        } else if (character == '"') {
            isQuoted = true;
        } else if (character == '#') {
            offset = std::min(text.find('\n', offset), text.size() - 1);
        } else if (character == ';') {
            return offset;
        }
    }
    return text.size();
}

Refusal refusalOf(const SyntaxError &error, const ScriptStatement &statement)
{
    const Position position = positionAfter({statement.line, statement.column}, std::string_view(statement.text).substr(0, error.offset));
    return {RefusalReason::BadRequest,
            RequestEffect::NotRun,
            Duration{0},
            absl::StrCat("line ", position.line, ", column ", position.column, ": expected ", error.expected, "; found ", error.found)};
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

/// Adds the line of the statement to the message of its refusal if the script has several statements.
Refusal withLine(Refusal refusal, const ScriptRun &run, std::size_t index)
{
    if (run.statements.size() > 1 && !refusal.message.starts_with("line ")) {
        refusal.message = absl::StrCat("line ", run.statements[index].line, ": ", refusal.message);
    }
    return refusal;
}

std::string notRunText(const ScriptRun &run)
{
    const std::size_t remaining = run.statements.size() - std::min(run.statements.size(), run.next);
    return remaining == 0 ? "" : absl::StrCat(remaining, remaining == 1 ? " statement was" : " statements were", " not run");
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
            const auto refusal = withLine(std::get<Refusal>(outcome.answer), run, outcome.statement);
            absl::StrAppend(&text, comment, "refused: ", std::string(name(refusal.reason)), ": ", refusal.message, "\n");
        }
    }
    if (const auto remaining = notRunText(run); !remaining.empty()) {
        absl::StrAppend(&text, comment, remaining, "\n");
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
            const auto refusal = withLine(std::get<Refusal>(outcome.answer), run, outcome.statement);
            json.push_back({{"refusal", toJson(refusal)}, {"line", run.statements[outcome.statement].line}});
        }
    }
    return toText({{"statements", std::move(json)}, {"notRun", run.statements.size() - std::min(run.statements.size(), run.next)}}) + "\n";
}

/// True if the only outcome of the script is an HTML document, which is then the whole answer.
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
        answer.failure = withLine(std::get<Refusal>(failed->answer), run, failed->statement);
    }
    return answer;
}

}

std::vector<ScriptStatement> splitScript(std::string_view text)
{
    std::vector<ScriptStatement> statements;
    Position position;
    while (!text.empty()) {
        const std::size_t end = statementEnd(text);
        const std::size_t start = std::min(contentStart(text), end);
        const Position first = positionAfter(position, text.substr(0, start));
        std::string_view content = text.substr(start, end - start);
        const std::size_t lastCharacter = content.find_last_not_of(" \t\r\n");
        if (lastCharacter != std::string_view::npos) {
            statements.push_back({std::string(content.substr(0, lastCharacter + 1)), first.line, first.column});
        }
        const std::string_view statementText = text.substr(0, std::min(end + 1, text.size()));
        position = positionAfter(position, statementText);
        text.remove_prefix(statementText.size());
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
        if (const auto *error = std::get_if<SyntaxError>(&parsed)) {
            run.outcomes.push_back({index, refusalOf(*error, run.statements[index])});
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
        if (auto *error = std::get_if<SyntaxError>(&execution)) {
            auto refusal = refusalOf(*error, run.statements[run.next]);
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
