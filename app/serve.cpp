#include "serve.h"

#include "exitcode.h"
#include "hangup.h"
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

/// The incarnation number of a host that is started now. The number increases with every start unless the host's clock is set back by more than the time
/// between two starts.
long long incarnationOf(WallTime now)
{
    return now.time_since_epoch().count();
}

// Time between two attempts to write lines of the log that had to wait.
constexpr Duration logRetry{100};

/// Writes log entries, and retries while lines wait because of the log's limits or its reader.
class LogWriter
{
public:
    LogWriter(EventLoop &loop, Log &log)
        : m_log(log)
        , m_retry(loop, [this] { flush(); })
    {
    }

    void write(const LogEntry &entry)
    {
        m_log.write(entry);
        flush();
    }

private:
    void flush()
    {
        m_log.flush();
        if (m_log.hasPendingLines() && !m_retry.isActive()) {
            m_retry.startIn(logRetry);
        }
    }

    Log &m_log;
    Timer m_retry;
};

/// Runs the event loop until a planned stop, triggered by SIGTERM or SIGINT, has finished. `Host` is HostLoop or DomainLoop.
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
    log.finish();
    return static_cast<int>(ExitCode::Success);
}

int serveZoneDomain(Settings settings, Log &log)
{
    auto &host = settings.loop.host;
    host.incarnation = incarnationOf(EventLoop::wallNow());
    host.randomSeed = static_cast<unsigned long long>(host.incarnation) ^ std::hash<std::string>{}(host.id.value);
    EventLoop loop;
    LogWriter writer(loop, log);
    HostLoop hostLoop(loop, settings.loop, [&writer](const LogEntry &entry) { writer.write(entry); });
    const StatementService statements(hostLoop);
    const auto refuseReload = [&log] { log.write({"reload", "", "", "settings not reloaded: a host of a zone domain reads them only at startup", false}); };
    SignalWatch hangUp(loop, SIGHUP, refuseReload);
    if (takeRecordedHangUp()) {
        refuseReload();
    }
    return runHost(loop, hostLoop, log, "serving callers on " + host.httpAddress + " and peers on " + host.peerAddress);
}

int serveServiceDomain(const Settings &initial, const std::string &settingsFile, Log &log)
{
    DomainLoopSettings settings = *initial.domain;
    settings.domain.incarnation = incarnationOf(EventLoop::wallNow());
    settings.domain.randomSeed = static_cast<unsigned long long>(settings.domain.incarnation) ^ std::hash<std::string>{}(settings.domain.id.value);
    EventLoop loop;
    LogWriter writer(loop, log);
    DomainLoop domainLoop(loop, settings, [&writer](const LogEntry &entry) { writer.write(entry); });
    const auto apply = [&](const Settings &changed) {
        if (changed.domain) {
            domainLoop.applySettings(*changed.domain);
        } else {
            log.write({"reload", "", "", "settings not changed: the file now describes a zone domain, which requires a restart", true});
        }
    };
    const auto logError = [&](const std::string &error) { log.write({"reload", "", "", "settings not changed: " + error, true}); };
    SettingsWatch watch(loop, settingsFile, initial, apply, logError);
    if (takeRecordedHangUp()) {
        watch.reload();
    }
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
