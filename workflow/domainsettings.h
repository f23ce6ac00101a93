#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// Bounds of a service domain. Those of the first group are given by the deployment, the others are the product's own.
struct DomainLimits
{
    Duration holdMax{10'000};          ///< Longest time that a target lets runs go on without another hold.
    Duration reclaimBound{2'700};      ///< In which guaranteed work of the most urgent priority has to begin after its acceptance.
    Duration stopGrace{200};           ///< Longest time that a stop takes on a target.
    Duration gangWait{3'000};          ///< How long a gang's member waits on its target for the others.
    Duration revokeBound{5'000};       ///< From the acknowledgement of a configuration until no host may serve a key that it took away.
    Duration statusRetention{120'000}; ///< How long the state of an ended workflow can be asked for.
    Duration harmBound{4'000};         ///< Longest time that fillers may keep a serving task over its target.
    Duration maxStartLead{0};          ///< How much before its due time an occurrence may start.
    double remoteFactor = 3;           ///< How much longer tasks take away from their data or rack.
    Duration minStoreLease{1'000};     ///< Shortest lease that the store grants.
    Duration checkpointPeriod{500};    ///< Work between two checkpoints of a task.
    Duration restoreTime{100};         ///< To resume from a checkpoint.

    Duration proofPeriod{1'000};    ///< Between two proofs of the configuration; three fit into `maxProofAge`.
    Duration maxProofAge{3'000};    ///< Below `revokeBound` by the time of a call and the spread of clocks.
    Duration storeTimeout{400};     ///< A store call; the store answers in milliseconds, and in a quarter of a second when it is slow.
    Duration storeRetry{100};       ///< After a failed store call.
    Duration ownerLease{1'500};     ///< Of the owner key: how long a domain is without an owner after its host died.
    Duration ownerLeaseMargin{300}; ///< Authority ends so long before the lease can end, for orders on their way.
    Duration holdWait{1'200};       ///< The longest that a hold waits for an end; half of it is the shortest. Leaves most of `holdMax` for a cut.
    Duration orderTimeout{500};     ///< A hold beyond its wait. Targets answer in milliseconds.
    Duration startTimeout{200};     ///< A start or stop. It is sent again unchanged, and a gang waits for each of its members.
    int maxStartsUnderWay = 48;     ///< Further starts wait for answers, so that even a host with a tenth of a core reads each answer within `startTimeout`.
    Duration orderRetry{150};       ///< After an order without an answer.
    Duration startValidity{2'500};  ///< A start is refused by the target after this time, so a late copy does nothing.
    Duration contactAge{4'000};     ///< A target that has not answered for so long gets no new work.
    Duration planPeriod{15};        ///< Shortest time between two placement passes.
    Duration summaryPeriod{1'000};  ///< Between two writes of the summary.
    Duration summaryAge{1'000};     ///< How old a copy of the summary an accepting host may use.
    Duration retryAfter{1'000};     ///< Told to callers whose request was refused for a passing reason that concerns all hosts.
    Duration readinessAge{300};     ///< How old another host's word that it is ready may be.
    Duration readinessTimeout{120}; ///< Hosts answer within some milliseconds; a refused caller waits no longer.
    int maxRecordsPerBatch = 29;    ///< The store takes 32 entries a transaction; two conditions and the mark are always there.

    friend bool operator==(const DomainLimits &, const DomainLimits &) = default;
};

/// Who this host is in a service domain.
struct DomainSettings
{
    HostId id;
    AvailabilityZoneId availabilityZone;
    std::vector<AvailabilityZoneId> availabilityZones; ///< All of the deployment.
    std::string callerAddress;                         ///< IP number and port for callers.
    std::string readinessAddress;                      ///< Where the host says whether it is ready.
    long long incarnation = 0;                         ///< Higher after every start of this host.
    unsigned long long randomSeed = 1;
    double processorShare = 1; ///< Of a core that this host may use; stronger hosts become owner first.
    DomainLimits limits;

    friend bool operator==(const DomainSettings &, const DomainSettings &) = default;
};

}
