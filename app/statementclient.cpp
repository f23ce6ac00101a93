#include "statementclient.h"

#include "net/httpclient.h"
#include "wire/jobjson.h"
#include "wire/jsonfields.h"

#include <absl/strings/ascii.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <random>

#include <readline/history.h>
#include <readline/readline.h>

namespace sequoiastand
{

namespace
{

// Additional time, after the requested wait, for which the client waits for the answer. It is longer than the answer margin of the host, so the host has
// answered by then.
constexpr Duration answerMargin{20'000};

StatementOutcome outcomeOf(const HttpAnswer &answer, const StatementSendOptions &options, const std::string &commandId)
{
    const auto resend = absl::StrCat("To retry safely, add --command-id ", commandId, ".\n");
    if (answer.outcome == HttpOutcome::NotSent) {
        return {ExitCode::Unreachable, "", absl::StrCat(options.host, ": ", answer.error, ". Nothing was sent.\n")};
    }
    if (answer.outcome == HttpOutcome::Unknown) {
        return {ExitCode::Unknown, "", absl::StrCat(options.host, ": the answer was lost (", answer.error, "); the statements may have been run. ", resend)};
    }
    if (answer.status == 200) {
        return {ExitCode::Success, answer.body, ""};
    }
    const auto json = parseJson(answer.body, "answer");
    const auto refusal = json.ok() ? refusalFromJson(*json) : absl::StatusOr<Refusal>(json.status());
    if (!refusal.ok()) {
        return {ExitCode::Unknown, "", absl::StrCat(options.host, ": status ", answer.status, " with a body that is not a valid refusal. ", resend)};
    }
    auto message = absl::StrCat(std::string(name(refusal->reason)), ": ", refusal->message, "\n");
    if (refusal->run == RequestEffect::Unknown) {
        return {ExitCode::Unknown, "", absl::StrCat(message, "The statements may have been run. ", resend)};
    }
    if (refusal->retryAfter > Duration{0}) {
        absl::StrAppend(&message, "Nothing was run; try again in ", refusal->retryAfter.count(), " ms.\n");
    }
    return {ExitCode::Refused, "", message};
}

}

std::string makeCommandId()
{
    std::random_device random;
    return absl::StrFormat("cli-%08x%08x%08x%08x", random(), random(), random(), random());
}

StatementOutcome sendStatements(const StatementSendOptions &options, const std::string &text)
{
    const auto commandId = options.commandId.empty() ? makeCommandId() : options.commandId;
    EventLoop loop;
    HttpClient client(loop);
    HttpCall call;
    call.address = options.host;
    call.path = absl::StrCat("/v1/statements?format=", options.format, "&waitMs=", options.wait.count(), "&commandId=", commandId);
    call.body = text;
    call.bearerToken = options.token;
    call.timeout = options.wait + answerMargin;
    std::optional<HttpAnswer> answer;
    client.send(call, [&answer, &loop](const HttpAnswer &received) {
        answer = received;
        loop.stop();
    });
    loop.run();
    return outcomeOf(*answer, options, commandId);
}

ExitCode runInteractively(const StatementSendOptions &options)
{
    auto lastExitCode = ExitCode::Success;
    while (true) {
        const std::unique_ptr<char, decltype(&std::free)> line(readline("sequoiastand> "), &std::free);
        if (!line) {
            std::cout << '\n';
            return lastExitCode;
        }
        const std::string text{absl::StripAsciiWhitespace(line.get())};
        if (text == "quit" || text == "exit") {
            return lastExitCode;
        }
        if (text.empty()) {
            continue;
        }
        add_history(text.c_str());
        const auto outcome = sendStatements(options, text);
        std::cout << outcome.output << std::flush;
        std::cerr << outcome.error << std::flush;
        lastExitCode = outcome.code;
    }
}

}
