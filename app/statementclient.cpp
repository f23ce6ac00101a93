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

// The host answers within its own margin after the wait; later there is no answer to be had.
constexpr Duration answerMargin{20'000};

StatementOutcome outcomeOf(const HttpAnswer &answer, const StatementSendOptions &target, const std::string &commandId)
{
    const auto resend = absl::StrCat("To send it again safely, add --command-id ", commandId, ".\n");
    if (answer.outcome == HttpOutcome::NotSent) {
        return {ExitCode::Unreachable, "", absl::StrCat(target.host, ": ", answer.error, ". Nothing was sent.\n")};
    }
    if (answer.outcome == HttpOutcome::Unknown) {
        return {ExitCode::Unknown, "", absl::StrCat(target.host, ": the answer was lost (", answer.error, "); the statements may have been run. ", resend)};
    }
    if (answer.status == 200) {
        return {ExitCode::Success, answer.body, ""};
    }
    const auto json = parseJson(answer.body, "answer");
    const auto refusal = json.ok() ? refusalFromJson(*json) : absl::StatusOr<Refusal>(json.status());
    if (!refusal.ok()) {
        return {ExitCode::Unknown, "", absl::StrCat(target.host, ": status ", answer.status, " without a readable refusal. ", resend)};
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

StatementOutcome sendStatements(const StatementSendOptions &target, const std::string &text)
{
    const auto commandId = target.commandId.empty() ? makeCommandId() : target.commandId;
    EventLoop loop;
    HttpClient client(loop);
    HttpCall call;
    call.address = target.host;
    call.path = absl::StrCat("/v1/statements?format=", target.format, "&waitMs=", target.wait.count(), "&commandId=", commandId);
    call.body = text;
    call.bearerToken = target.token;
    call.timeout = target.wait + answerMargin;
    std::optional<HttpAnswer> answer;
    client.send(call, [&answer, &loop](const HttpAnswer &received) {
        answer = received;
        loop.stop();
    });
    loop.run();
    return outcomeOf(*answer, target, commandId);
}

ExitCode runInteractively(const StatementSendOptions &target)
{
    auto last = ExitCode::Success;
    while (true) {
        const std::unique_ptr<char, decltype(&std::free)> line(readline("sequoiastand> "), &std::free);
        if (!line) {
            std::cout << '\n';
            return last;
        }
        const std::string text{absl::StripAsciiWhitespace(line.get())};
        if (text == "quit" || text == "exit") {
            return last;
        }
        if (text.empty()) {
            continue;
        }
        add_history(text.c_str());
        const auto outcome = sendStatements(target, text);
        std::cout << outcome.output << std::flush;
        std::cerr << outcome.error << std::flush;
        last = outcome.code;
    }
}

}
