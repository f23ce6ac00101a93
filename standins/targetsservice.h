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

/// An exchange that waits for its worker's answer, with the call id that its host chose.
struct WaitingCall
{
    TargetId target;
    CallId id;

    friend bool operator==(const WaitingCall &, const WaitingCall &) = default;
};

/// Many workers behind one port, each under the path prefix "/<target id>".
struct TargetsService
{
    StandInServer server;
    std::map<TargetId, TargetModel> models;
    std::map<TargetId, ListedHost> places;
    std::map<ExchangeId, WaitingCall> waiting;
    std::set<std::pair<TimePoint, TargetId>> due; ///< Next change of each model.
    std::unique_ptr<Timer> timer;
    bool isOut = false; ///< Every call's connection is closed before it has an effect.
    Duration delay{0};  ///< Before each answer.
    long long calls = 0;
};

/// The service must stay where it is until it is stopped.
absl::Status startTargetsService(TargetsService &service, const Layout &layout);

void stopTargetsService(TargetsService &service);

}
