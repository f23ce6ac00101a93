#pragma once

#include "core/event.h"
#include "standinserver.h"

#include <deque>
#include <utility>
#include <vector>

namespace sequoiastand
{

/// Stand-in for the platform's list of live and leaving hosts, which lags behind their actual state.
struct HostListService
{
    StandInServer server;
    std::vector<ListedHost> hosts;                                   ///< All existing hosts in their current state.
    std::deque<std::pair<TimePoint, std::vector<ListedHost>>> lists; ///< Past states of the list and the time of each change, newest last.
    Duration lag{0};
    Duration delay{0};
    bool isOut = false;
    long long reads = 0;
};

/// Starts the service. Its address must not change until it is stopped.
absl::Status startHostListService(HostListService &service, int port, std::vector<ListedHost> hosts);

void stopHostListService(HostListService &service);

}
