#include "keyvalueservice.h"

#include <docopt/docopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace
{

constexpr auto usage = R"(Stand-in for the platform's key-value service: the JSON gateway of etcd v3 on a loopback port, in memory.

Usage:
  keyvalue [--port=<port>] [--progress=<ms>]
  keyvalue --help

Options:
  --port=<port>    Port on 127.0.0.1 [default: 7379].
  --progress=<ms>  Period of the progress messages of watches that ask for them [default: 1000].
)";

}

int main(int argc, char **argv)
{
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    sequoiastand::EventLoop loop;
    sequoiastand::KeyValueService service{{loop}};
    service.progressPeriod = sequoiastand::Duration{arguments["--progress"].asLong()};
    if (const auto status = startKeyValueService(service, static_cast<int>(arguments["--port"].asLong())); !status.ok()) {
        std::cerr << status.message() << "\n";
        return EXIT_FAILURE;
    }
    const sequoiastand::SignalWatch interrupt(loop, SIGINT, [&loop] { loop.stop(); });
    const sequoiastand::SignalWatch terminate(loop, SIGTERM, [&loop] { loop.stop(); });
    loop.run();
    stopKeyValueService(service);
    return EXIT_SUCCESS;
}
