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

/// Where one host of the soak listens and writes. Its addresses stay the same over all its lives.
struct HostPlace
{
    HostId id;
    AvailabilityZoneId availabilityZone;
    std::vector<AvailabilityZoneId> availabilityZones; ///< All of the deployment.
    std::string ip;
    std::string storeAddress; ///< Through the host's own proxy.
    std::string folder;       ///< For its settings and its log.
    Duration gracePeriod{6'000};

    friend bool operator==(const HostPlace &, const HostPlace &) = default;
};

/// IP number and port where the host serves callers.
std::string callerAddress(const HostPlace &place);

/// IP number and port where the host says whether it is ready.
std::string readinessAddress(const HostPlace &place);

/// How a process ended.
struct ProcessEnd
{
    int exitStatus = 0; ///< Minus the signal's number if a signal ended it.

    friend bool operator==(const ProcessEnd &, const ProcessEnd &) = default;
};

/// Writes the settings file. `revision` changes a value that hosts take over while they run.
absl::Status writeSettings(const HostPlace &place, int revision);

/// Starts the program as a host. The log is appended to a file in the host's folder. Returns the process id.
absl::StatusOr<pid_t> startHost(const std::string &program, const HostPlace &place);

/// How the process ended, if it has.
std::optional<ProcessEnd> endOf(pid_t process);

}
