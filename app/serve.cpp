#include "serve.h"

#include "exitcode.h"
#include "log.h"
#include "settings.h"
#include "statementservice.h"

#include <csignal>
#include <iostream>

namespace sequoiastand
{

namespace
{

/// Higher after every start, as long as the host's clock does not go back by more than the time between two starts.
long long incarnationOf(WallTime now)
{
    return now.time_since_epoch().count();
}

}

int serve(const std::string &settingsFile)
{
    auto settings = settingsFromFile(settingsFile);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return static_cast<int>(ExitCode::InvalidSettings);
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto &host = settings->loop.host;
    host.incarnation = incarnationOf(EventLoop::wallNow());
    host.randomSeed = static_cast<unsigned long long>(host.incarnation) ^ std::hash<std::string>{}(host.id.value);

    Log log(settings->log, host.id.value);
    EventLoop loop;
    HostLoop hostLoop(loop, settings->loop, [&log](const LogEntry &entry) { log.write(entry); });
    const StatementService statements(hostLoop);
    const auto stop = [&log, &hostLoop] {
        log.write({"stop", "", "", "stop requested", false});
        hostLoop.requestStop();
    };
    SignalWatch terminate(loop, SIGTERM, stop);
    SignalWatch interrupt(loop, SIGINT, stop);
    hostLoop.setStoppedHandler([&log, &loop] {
        log.write({"stop", "", "", "stopped", false});
        loop.stop();
    });
    if (const auto status = hostLoop.start(); !status.ok()) {
        log.write({"start", "", "", std::string(status.message()), true});
        return static_cast<int>(ExitCode::Unreachable);
    }
    log.write({"start", "", "", "serving callers on " + host.httpAddress + " and peers on " + host.peerAddress, false});
    loop.run();
    return static_cast<int>(ExitCode::Success);
}

int checkConfig(const std::string &settingsFile)
{
    const auto settings = settingsFromFile(settingsFile);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return static_cast<int>(ExitCode::InvalidSettings);
    }
    const auto &host = settings->loop.host;
    std::cout << settingsFile << ": valid, host " << host.id.value << " of availability zone " << host.availabilityZone.value << '\n';
    return static_cast<int>(ExitCode::Success);
}

}
