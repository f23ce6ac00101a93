#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <absl/status/statusor.h>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Addresses and folder of one host of the soak. The addresses stay the same across restarts.
struct HostPlace
{
    HostId id;
    AvailabilityZoneId availabilityZone;
    std::vector<AvailabilityZoneId> availabilityZones; ///< All availability zones of the deployment.
    std::string ip;
    std::string storeAddress; ///< Address of the host's own proxy to the store.
    std::string folder;       ///< Folder of the host's settings and log.
    Duration gracePeriod{6'000};
    double processorShare = 1; ///< Share of a core that the host may use.
    int maxConnections = 0;    ///< Limit of the callers' connections; zero leaves the default.

    friend bool operator==(const HostPlace &, const HostPlace &) = default;
};

/// IP address and port where the host serves callers.
std::string callerAddress(const HostPlace &place);

/// IP address and port where the host reports its readiness.
std::string readinessAddress(const HostPlace &place);

/// How a process ended.
struct ProcessEnd
{
    int exitStatus = 0; ///< Exit status, or the negative signal number if a signal ended the process.

    friend bool operator==(const ProcessEnd &, const ProcessEnd &) = default;
};

/// Writes the settings file. `revision` changes a value that running hosts reload.
absl::Status writeSettings(const HostPlace &place, int revision);

/// Starts the program as a host, appends its log to a file in the host's folder, and returns the process id.
absl::StatusOr<pid_t> startHost(const std::string &program, const HostPlace &place);

/// How the process ended, if it has ended.
std::optional<ProcessEnd> endOf(pid_t process);

}
