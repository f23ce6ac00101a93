#include "hostlistservice.h"
#include "layout.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{

constexpr auto usage =
    R"(Stand-in for the platform's list of live and leaving hosts, on a loopback port. The workers are those of the program "targets" with the same options.

Usage:
  hostlist --zones=<names> [--port=<port>] [--targets-port=<port>] [--entry=<host>]... [--racks=<n>] [--workers=<n>]
           [--accelerators=<n>] [--milli-cpu=<n>] [--memory-mb=<n>]
  hostlist --help

Options:
  --zones=<names>        Availability zones, separated by commas.
  --port=<port>          Port on 127.0.0.1 [default: 7381].
  --targets-port=<port>  Port of the program "targets" [default: 7380].
  --entry=<host>         An entry host as <id>,<zone>,<peer address>.
  --racks=<n>            Racks in each zone [default: 2].
  --workers=<n>          Workers in each rack [default: 4].
  --accelerators=<n>     Accelerators of each worker, at most 32 [default: 8].
  --milli-cpu=<n>        Thousandths of a core of each worker [default: 32000].
  --memory-mb=<n>        Memory of each worker in MB [default: 131072].
)";

}

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto number = [&arguments](const char *name) { return static_cast<int>(arguments[name].asLong()); };
    auto hosts = sequoiastand::workersOf({sequoiastand::splitText(arguments["--zones"].asString(), ','),
                                          number("--racks"),
                                          number("--workers"),
                                          number("--accelerators"),
                                          number("--milli-cpu"),
                                          number("--memory-mb"),
                                          number("--targets-port")});
    for (const auto &entry : arguments["--entry"].asStringList()) {
        const auto parts = sequoiastand::splitText(entry, ',');
        if (parts.size() != 3) {
            std::cerr << "hostlist: --entry=" << entry << ": must be <id>,<zone>,<peer address>\n";
            return EXIT_FAILURE;
        }
        hosts.push_back({sequoiastand::ListedKind::EntryHost, parts[0], {}, {parts[1]}, parts[2], 0, 0, 0, false});
    }
    sequoiastand::EventLoop loop;
    sequoiastand::HostListService service{{loop}};
    if (const auto status = startHostListService(service, number("--port"), std::move(hosts)); !status.ok()) {
        std::cerr << status.message() << "\n";
        return EXIT_FAILURE;
    }
    const sequoiastand::SignalWatch interrupt(loop, SIGINT, [&loop] { loop.stop(); });
    const sequoiastand::SignalWatch terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    stopHostListService(service);
    return EXIT_SUCCESS;
}
