#include "keyvalueservice.h"

#include <docopt/docopt.h>

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
    sequoiastand::KeyValueService service;
    service.progressPeriod = sequoiastand::Duration{arguments["--progress"].asLong()};
    auto *loop = ev_default_loop(0);
    if (const auto status = startKeyValueService(service, loop, static_cast<int>(arguments["--port"].asLong())); !status.ok()) {
        std::cerr << status.message() << "\n";
        return EXIT_FAILURE;
    }
    sequoiastand::runUntilSignal(loop);
    stopKeyValueService(service);
    return EXIT_SUCCESS;
}
