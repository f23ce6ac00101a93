#include "targetsservice.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{

constexpr auto usage = R"(Stand-in for the agents of the platform's workers, on one loopback port. Worker <id> is reached at 127.0.0.1:<port>/<id>.

Usage:
  targets --zones=<names> [--port=<port>] [--racks=<n>] [--workers=<n>] [--accelerators=<n>] [--milli-cpu=<n>] [--memory-mb=<n>]
  targets --help

Options:
  --zones=<names>     Availability zones, separated by commas.
  --port=<port>       Port on 127.0.0.1 [default: 7380].
  --racks=<n>         Racks in each zone [default: 2].
  --workers=<n>       Workers in each rack [default: 4].
  --accelerators=<n>  Accelerators of each worker, at most 32 [default: 8].
  --milli-cpu=<n>     Thousandths of a core of each worker [default: 32000].
  --memory-mb=<n>     Memory of each worker in MB [default: 131072].
)";

}

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto number = [&arguments](const char *name) { return static_cast<int>(arguments[name].asLong()); };
    const sequoiastand::Layout layout{sequoiastand::splitText(arguments["--zones"].asString(), ','),
                                      number("--racks"),
                                      number("--workers"),
                                      number("--accelerators"),
                                      number("--milli-cpu"),
                                      number("--memory-mb"),
                                      number("--port")};
    sequoiastand::EventLoop loop;
    sequoiastand::TargetsService service{{loop}};
    if (const auto status = startTargetsService(service, layout); !status.ok()) {
        std::cerr << status.message() << "\n";
        return EXIT_FAILURE;
    }
    const sequoiastand::SignalWatch interrupt(loop, SIGINT, [&loop] { loop.stop(); });
    const sequoiastand::SignalWatch terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    stopTargetsService(service);
    return EXIT_SUCCESS;
}
