#include "app/exitcode.h"
#include "app/hangup.h"
#include "app/serve.h"
#include "app/statementclient.h"
#include "net/socketaddress.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <docopt/docopt.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <map>
#include <optional>
#include <string>

namespace
{

using namespace sequoiastand;

using Arguments = std::map<std::string, docopt::value>;

constexpr const char *versionText = "sequoiastand 0.1.0";

constexpr const char *usage = R"(sequoiastand - schedules gang jobs on accelerators shared by organisations

Usage:
  sequoiastand serve --settings FILE
  sequoiastand check-config FILE
  sequoiastand query [options] [STATEMENT...]
  sequoiastand run [options] FILE
  sequoiastand version
  sequoiastand --help

Commands:
  serve         Runs an entry host until SIGTERM or SIGINT. It then answers pending
                requests, hands its work over to other hosts and exits, all
                within 30 seconds.
  check-config  Reads a settings file and prints every error in it.
  query         Sends one statement of the query language to a host and prints the
                answer. Without a statement it reads statements from the
                terminal, one per line, until "quit".
  run           Sends the statements of a file; "-" reads standard input.
  version       Prints the version.

Query and run options:
  --host ADDRESS     IPv4 address and port of an entry host [default: 127.0.0.1:8080].
  --token-file FILE  File whose first line is the operator's token.
  --format FORMAT    table, json or csv [default: table].
  --wait SECONDS     How long to wait until a change is in force, 0 to 30 [default: 10].
  --command-id ID    Id of a change; sending the change again with the same id does not
                     apply it twice. Without this option a new id is generated.

Other options:
  --settings FILE    Settings of the host: JSON with comments, see docs/settings.md.
  -h --help          Prints this text.

Exit codes:
  0  done
  1  refused: nothing was run, the reason is printed
  2  wrong arguments, or a file that cannot be read
  3  the settings file has errors, each is printed
  4  nothing could be sent, or the host cannot listen on its address
  5  the answer was lost: the statements may have been run

Examples:
  sequoiastand check-config host-a1.json
  sequoiastand query --token-file ~/.sequoiastand-token show zones
  sequoiastand run --host 10.0.0.4:8080 --token-file token --format csv review.txt
)";

int fail(ExitCode code, const std::string &message)
{
    std::cerr << "sequoiastand: " << message << '\n';
    return static_cast<int>(code);
}

int print(const StatementOutcome &outcome)
{
    std::cout << outcome.output << std::flush;
    std::cerr << outcome.error << std::flush;
    return static_cast<int>(outcome.code);
}

std::optional<std::string> readAll(const std::string &file)
{
    if (file == "-") {
        return std::string(std::istreambuf_iterator<char>(std::cin), {});
    }
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

/// Carries out the commands `query` and `run`: sends their statements to the host.
int sendStatementsOf(const Arguments &arguments)
{
    StatementSendOptions options;
    options.host = arguments.at("--host").asString();
    options.format = arguments.at("--format").asString();
    long long seconds = 0;
    if (!absl::SimpleAtoi(arguments.at("--wait").asString(), &seconds) || seconds < 0 || seconds > 30) {
        return fail(ExitCode::Usage, "--wait: \"" + arguments.at("--wait").asString() + "\" is not a number of seconds from 0 to 30");
    }
    options.wait = std::chrono::seconds{seconds};
    if (options.format != "table" && options.format != "json" && options.format != "csv") {
        return fail(ExitCode::Usage, "--format: \"" + options.format + "\" is not a result format; use table, json or csv");
    }
    if (!socketAddressFromText(options.host).ok()) {
        return fail(ExitCode::Usage, "--host: \"" + options.host + "\" is not an IPv4 address and port such as 127.0.0.1:8080");
    }
    if (arguments.at("--command-id")) {
        options.commandId = arguments.at("--command-id").asString();
    }
    if (!arguments.at("--token-file")) {
        return fail(ExitCode::Usage, "--token-file FILE is required; the file's first line is the operator's token");
    }
    const auto tokenFile = arguments.at("--token-file").asString();
    std::ifstream stream(tokenFile);
    std::string token;
    if (!std::getline(stream, token)) {
        return fail(ExitCode::Usage, "--token-file: cannot read the first line of " + tokenFile);
    }
    options.token = std::string(absl::StripAsciiWhitespace(token));

    if (arguments.at("run").asBool()) {
        const auto file = arguments.at("FILE").asString();
        const auto text = readAll(file);
        return text ? print(sendStatements(options, *text)) : fail(ExitCode::Usage, "cannot read " + file);
    }
    const auto words = arguments.at("STATEMENT").asStringList();
    return words.empty() ? static_cast<int>(runInteractively(options)) : print(sendStatements(options, absl::StrJoin(words, " ")));
}

int runCommand(const Arguments &arguments)
{
    if (arguments.at("serve").asBool()) {
        // Skips static destructors: the destructor of log4cplus joins a thread of its pool and would block forever on systems where other threads stop at exit.
        std::quick_exit(serve(arguments.at("--settings").asString()));
    }
    restoreHangUps();
    if (arguments.at("check-config").asBool()) {
        return checkConfig(arguments.at("FILE").asString());
    }
    if (arguments.at("version").asBool()) {
        std::cout << versionText << '\n';
        return static_cast<int>(ExitCode::Success);
    }
    return sendStatementsOf(arguments);
}

}

int main(int argc, char **argv)
{
    recordHangUps();
    try {
        return runCommand(docopt::docopt_parse(usage, {argv + 1, argv + argc}, true, true));
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usage;
        return static_cast<int>(ExitCode::Success);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << versionText << '\n';
        return static_cast<int>(ExitCode::Success);
    } catch (const docopt::DocoptArgumentError &error) {
        return fail(ExitCode::Usage, std::string(error.what()) + "\nSee sequoiastand --help.");
    } catch (const std::exception &error) {
        return fail(ExitCode::Usage, error.what());
    }
}
