#include "hostprocess.h"

#include "wire/jsonfields.h"

#include <absl/status/statusor.h>
#include <absl/strings/str_cat.h>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fstream>

namespace sequoiastand
{

namespace
{

constexpr int callerPort = 8521;
constexpr int readinessPort = 8523;
constexpr int metricsPort = 7000;

std::string settingsFile(const HostPlace &place)
{
    return absl::StrCat(place.folder, "/", place.id.value, ".json");
}

std::string addressOf(const HostPlace &place, int port)
{
    return absl::StrCat(place.ip, ":", port);
}

/// Replaces the child process by the program. It may use only calls that are safe between fork and exec.
[[noreturn]] void execHost(const char *program, const char *settings, const char *log)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    // The host must not inherit the connections of the soak's callers.
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl(program, program, "serve", "--settings", settings, nullptr);
    _exit(127);
}

}

std::string callerAddress(const HostPlace &place)
{
    return addressOf(place, callerPort);
}

std::string readinessAddress(const HostPlace &place)
{
    return addressOf(place, readinessPort);
}

absl::Status writeSettings(const HostPlace &place, int revision)
{
    nlohmann::json zones = nlohmann::json::array();
    std::ranges::transform(place.availabilityZones, std::back_inserter(zones), &AvailabilityZoneId::value);
    nlohmann::json settings{{"host",
                             {{"id", place.id.value},
                              {"availabilityZone", place.availabilityZone.value},
                              {"httpAddress", callerAddress(place)},
                              {"readinessAddress", readinessAddress(place)},
                              {"metricsAddress", addressOf(place, metricsPort)},
                              {"processorShare", place.processorShare}}},
                            {"serviceDomain",
                             {{"storeAddress", place.storeAddress},
                              {"availabilityZones", zones},
                              {"gracePeriodS", place.gracePeriod.count() / 1'000},
                              // Hosts reload this value while they run, and no check of the soak depends on it.
                              {"limits", {{"statusRetentionS", 120 + revision}}}}}};
    if (place.maxConnections > 0) {
        settings["http"]["maxConnections"] = place.maxConnections;
    }
    // Hosts may read the file at any time, so it is replaced atomically.
    const auto file = settingsFile(place);
    const auto newFile = file + ".new";
    std::ofstream(newFile, std::ios::binary) << settings.dump(4) << '\n';
    if (std::rename(newFile.c_str(), file.c_str()) != 0) {
        return absl::UnavailableError(absl::StrCat(file, ": ", std::strerror(errno)));
    }
    return absl::OkStatus();
}

absl::StatusOr<pid_t> startHost(const std::string &program, const HostPlace &place)
{
    const auto settings = settingsFile(place);
    const auto log = absl::StrCat(place.folder, "/", place.id.value, ".log");
    const pid_t process = fork();
    if (process == 0) {
        execHost(program.c_str(), settings.c_str(), log.c_str());
    }
    if (process < 0) {
        return absl::ResourceExhaustedError(absl::StrCat("startHost: ", place.id.value, ": ", std::strerror(errno)));
    }
    return process;
}

std::optional<ProcessEnd> endOf(pid_t process)
{
    int status = 0;
    if (waitpid(process, &status, WNOHANG) != process) {
        return std::nullopt;
    }
    return ProcessEnd{WIFSIGNALED(status) ? -WTERMSIG(status) : WEXITSTATUS(status)};
}

}
