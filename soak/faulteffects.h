#pragma once

#include "proxy.h"
#include "soakworld.h"

#include <functional>

namespace sequoiastand
{

/// A fault in progress, the host that it affects, and the action that ends it. An empty host means all hosts.
struct Effect
{
    HostId host;
    bool isDisturbance = true; ///< False for actions of operators, to which hosts must react in time.
    std::function<void()> end;
};

/// The effect of a fault without an end.
Effect momentaryEffect(const HostId &host, bool isDisturbance = true);

Effect cutTarget(SoakWorld &world, const TargetId &id, const ProxyFaults &faults);

/// Ends the callers' sending side of the host's connections after each request, with a short delay on the host's link to the store, so that calls are under
/// way at that moment. Callers take a refusal as final meanwhile. The host must keep all bounds.
Effect halfCloseCallers(SoakWorld &world, SoakHost &host);

/// Refuses the host's transactions as a busy store does, and serves its other calls. Does nothing while another host's are refused.
Effect refuseWrites(SoakWorld &world, const SoakHost &host);

/// The store turns the host and about a third of the other hosts away; `figure` chooses how.
Effect turnHostsAway(SoakWorld &world, const SoakHost &host, const PlannedFault &fault);

/// Lets the store stand still every two seconds until the fault ends, for 580 to 980 ms depending on `figure`. The hosts must keep all bounds.
Effect stallStore(SoakWorld &world, const PlannedFault &fault);

/// Silences the store. At the end all leases and registrations have lapsed, and the targets register again within two seconds.
Effect lapseStore(SoakWorld &world);

/// Silences a share of 50 to 100 percent, depending on `figure`, of the open connections of all hosts to the store and to the targets. Only the moment itself
/// counts as a disturbance: the hosts have to replace the connections within the time that the bounds leave.
Effect silenceAllLinks(SoakWorld &world, const PlannedFault &fault);

/// Carries out most of the writes that create workflows late. The other writes are not affected, so no host counts as disturbed.
Effect delaySubmissions(SoakWorld &world, const PlannedFault &fault);

/// Submits more short tasks than one list of ends holds, once in a run, and holds back the answers of the target that has most of them until they have ended.
Effect sendManyEnds(SoakWorld &world);

}
