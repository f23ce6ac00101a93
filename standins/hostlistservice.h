#pragma once

#include "core/event.h"
#include "standinserver.h"

#include <deque>
#include <utility>
#include <vector>

namespace sequoiastand
{

/// The platform's list of live and leaving hosts, which lags behind the truth.
struct HostListService
{
    StandInServer server;
    std::vector<ListedHost> hosts;                                   ///< All that exist.
    std::deque<std::pair<TimePoint, std::vector<ListedHost>>> lists; ///< The list as it became true, newest last.
    Duration lag{0};
    Duration delay{0};
    bool isOut = false;
    long long reads = 0;
};

/// The service must stay where it is until it is stopped.
absl::Status startHostListService(HostListService &service, int port, std::vector<ListedHost> hosts);

void stopHostListService(HostListService &service);

}
