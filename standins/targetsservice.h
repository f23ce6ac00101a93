#pragma once

#include "layout.h"
#include "standinserver.h"
#include "targetmodel.h"

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace sequoiastand
{

/// A call whose answer from its worker is pending, with the call id that the host chose.
struct WaitingCall
{
    TargetId target;
    CallId id;

    friend bool operator==(const WaitingCall &, const WaitingCall &) = default;
};

/// Several workers behind one port, each under the path prefix "/<target id>".
struct TargetsService
{
    StandInServer server;
    std::map<TargetId, TargetModel> models;
    std::map<TargetId, ListedHost> places;
    std::map<ExchangeId, WaitingCall> waiting;
    std::set<std::pair<TimePoint, TargetId>> due; ///< Time of the next change of each model.
    std::unique_ptr<Timer> timer;
    bool isOut = false; ///< Every call's connection is closed before the call takes effect.
    Duration delay{0};  ///< Delay of each answer.
    long long calls = 0;
};

/// Starts the service. Its address must not change until it is stopped.
absl::Status startTargetsService(TargetsService &service, const Layout &layout);

void stopTargetsService(TargetsService &service);

}
