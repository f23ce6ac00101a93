#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// Time limits and other limits of a service domain. The deployment sets the first group; the second group consists of internal constants.
struct DomainLimits
{
    Duration holdMax{10'000};          ///< Longest time for which a target continues runs without another hold.
    Duration reclaimBound{2'700};      ///< Time after acceptance within which guaranteed work of the most urgent priority must start.
    Duration stopGrace{200};           ///< Longest time that stopping a run takes on a target.
    Duration gangWait{3'000};          ///< Time that a gang member waits on its target for the other members.
    Duration revokeBound{5'000};       ///< Time after the acknowledgement of a configuration from which no host may serve a key that it removed.
    Duration statusRetention{120'000}; ///< Time for which the state of an ended workflow can be queried.
    Duration harmBound{4'000};         ///< Longest time for which fillers may keep a serving task above its latency target.
    Duration maxStartLead{0};          ///< Longest time by which an occurrence may start before it is due.
    double remoteFactor = 3;           ///< Factor by which run time grows for tasks away from their data, or for gangs on several racks.
    Duration minStoreLease{1'000};     ///< Shortest lease that the store grants.
    Duration checkpointPeriod{500};    ///< Run time between two checkpoints of a task.
    Duration restoreTime{100};         ///< Time that a resume from a checkpoint takes.

    Duration proofPeriod{1'000};      ///< Time between two proofs of the configuration; three periods fit into `maxProofAge`.
    Duration maxProofAge{3'000};      ///< Age up to which a proof counts: `revokeBound` less the duration of a call and the largest difference between clocks.
    Duration storeTimeout{400};       ///< Shortest timeout of a store call. The store answers within milliseconds, or a quarter of a second when it is slow.
    Duration maxStoreTimeout{1'200};  ///< Longest timeout of such a call, if the store answers late; a claim is made within the lease that was granted for it.
    Duration storeReadTimeout{1'200}; ///< Timeout of each page of a read of a prefix, which nothing waits for as urgently as for other calls.
    Duration storeRetry{100};         ///< Delay before a retry after a failed store call.
    Duration ownerLease{1'500};       ///< Lease of the owner key, and so the time without an owner after the owner has crashed.
    Duration ownerLeaseMargin{300};   ///< Time from the end of the owner's authority to the earliest end of its lease, in which orders under way arrive.
    Duration holdWait{1'200};         ///< Longest wait of a hold for the end of a run; the shortest wait is half of it. Most of `holdMax` is left for outages.
    Duration orderTimeout{500};       ///< Timeout of a stop of a stray run, and of a hold in addition to its wait. Targets answer within milliseconds.
    Duration startTimeout{200};       ///< Shortest timeout of a start or stop order. It is short because a gang waits for each of its members.
    Duration maxStartTimeout{600};    ///< Longest timeout of such an order, if targets answer late; a gang's start can still be repeated.
    int maxStartsUnderWay = 48;       ///< Limit on unanswered starts, so that even a host with a tenth of a core reads answers within `startTimeout`.
    Duration orderRetry{150};         ///< First delay before an order without an answer is repeated.
    Duration startValidity{2'500};    ///< Time after which a target refuses a start, so that a late copy has no effect.
    Duration contactAge{4'000};       ///< Time without an answer after which a target gets no new work.
    Duration planPeriod{15};          ///< Shortest time between two placement passes.
    Duration summaryPeriod{1'000};    ///< Time between two writes of the summary.
    Duration summaryAge{1'000};       ///< Maximum age of the copy of the summary that an accepting host uses.
    Duration retryAfter{1'000};       ///< Retry delay for callers whose request was refused for a temporary reason that affects all hosts.
    Duration readinessAge{300};       ///< Maximum age of another host's answer that it is ready.
    Duration readinessTimeout{120};   ///< Timeout of a readiness check, which delays the refusal of a caller. Hosts answer within a few milliseconds.
    int maxCallerReads = 64;          ///< Limit on reads for callers under way. It lies below the 100 connections that HttpClient keeps open for reuse.
    Duration tombstoneLease{300'000}; ///< Lease of tombstones. A tombstone lives for at least half of it, longer than a write can be late after an outage.
    Duration tombstonePeriod{50};     ///< Mean time between two tombstones that a host writes; each of them is a write call, of which the store takes few.
    int maxTombstoneBurst = 40;       ///< Number of tombstones that a host may write without a pause.
    int maxRecordsPerBatch = 29;      ///< The store takes 32 entries per transaction; two conditions and the commit mark always use three of them.

    friend bool operator==(const DomainLimits &, const DomainLimits &) = default;
};

/// Settings of this host as a member of a service domain.
struct DomainSettings
{
    HostId id;
    AvailabilityZoneId availabilityZone;
    std::vector<AvailabilityZoneId> availabilityZones; ///< All zones of the deployment.
    std::string callerAddress;                         ///< IP address and port for callers.
    std::string readinessAddress;                      ///< Address at which the host answers readiness checks.
    long long incarnation = 0;                         ///< Number that is higher after every start of this host.
    unsigned long long randomSeed = 1;
    double processorShare = 1; ///< Share of a core that this host may use; hosts with a higher share become owner first.
    DomainLimits limits;

    friend bool operator==(const DomainSettings &, const DomainSettings &) = default;
};

}
