#include "serve.h"

#include "exitcode.h"
#include "log.h"
#include "settings.h"
#include "settingswatch.h"
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

/// Runs the loop until SIGTERM or SIGINT and the planned stop that follows. `Host` is the loop of one kind of placement domain.
template<typename Host>
int runHost(EventLoop &loop, Host &host, Log &log, const std::string &listening)
{
    const auto stop = [&log, &host] {
        log.write({"stop", "", "", "stop requested", false});
        host.requestStop();
    };
    SignalWatch terminate(loop, SIGTERM, stop);
    SignalWatch interrupt(loop, SIGINT, stop);
    host.setStoppedHandler([&log, &loop] {
        log.write({"stop", "", "", "stopped", false});
        loop.stop();
    });
    if (const auto status = host.start(); !status.ok()) {
        log.write({"start", "", "", std::string(status.message()), true});
        log.flush();
        return static_cast<int>(ExitCode::Unreachable);
    }
    log.write({"start", "", "", listening, false});
    loop.run();
    log.flush();
    return static_cast<int>(ExitCode::Success);
}

int serveZoneDomain(Settings settings, Log &log)
{
    auto &host = settings.loop.host;
    host.incarnation = incarnationOf(EventLoop::wallNow());
    host.randomSeed = static_cast<unsigned long long>(host.incarnation) ^ std::hash<std::string>{}(host.id.value);
    EventLoop loop;
    HostLoop hostLoop(loop, settings.loop, [&log](const LogEntry &entry) {
        log.write(entry);
        log.flush();
    });
    const StatementService statements(hostLoop);
    SignalWatch hangUp(loop, SIGHUP, [&log] { log.write({"reload", "", "", "settings of a zone domain are read at the start only", false}); });
    return runHost(loop, hostLoop, log, "serving callers on " + host.httpAddress + " and peers on " + host.peerAddress);
}

int serveServiceDomain(const Settings &present, const std::string &settingsFile, Log &log)
{
    DomainLoopSettings settings = *present.domain;
    settings.domain.incarnation = incarnationOf(EventLoop::wallNow());
    settings.domain.randomSeed = static_cast<unsigned long long>(settings.domain.incarnation) ^ std::hash<std::string>{}(settings.domain.id.value);
    EventLoop loop;
    DomainLoop domainLoop(loop, settings, [&log](const LogEntry &entry) {
        log.write(entry);
        log.flush();
    });
    const auto apply = [&](const Settings &changed) {
        if (changed.domain) {
            domainLoop.applySettings(*changed.domain);
        } else {
            log.write({"reload", "", "", "kept the settings: the file is now for a zone domain, which needs a restart", true});
        }
    };
    const auto noteFault = [&](const std::string &fault) { log.write({"reload", "", "", "kept the settings: " + fault, true}); };
    const SettingsWatch watch(loop, settingsFile, present, apply, noteFault);
    return runHost(loop, domainLoop, log, "serving callers on " + settings.domain.callerAddress + ", store " + settings.storeAddress);
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
    const auto id = settings->domain ? settings->domain->domain.id : settings->loop.host.id;
    Log log(settings->log, id.value);
    return settings->domain ? serveServiceDomain(*settings, settingsFile, log) : serveZoneDomain(*settings, log);
}

int checkConfig(const std::string &settingsFile)
{
    const auto settings = settingsFromFile(settingsFile);
    if (!settings.ok()) {
        std::cerr << settings.status().message() << '\n';
        return static_cast<int>(ExitCode::InvalidSettings);
    }
    const auto &zone = settings->domain ? settings->domain->domain.availabilityZone : settings->loop.host.availabilityZone;
    const auto &id = settings->domain ? settings->domain->domain.id : settings->loop.host.id;
    std::cout << settingsFile << ": valid, host " << id.value << " of availability zone " << zone.value << '\n';
    return static_cast<int>(ExitCode::Success);
}

}
