#pragma once

#include "identifier.h"
#include "time.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// Time and size limits of the control plane; docs/design.md lists the defaults.
struct Limits
{
    Duration permitPeriod{3'000};
    Duration permitRenewal{1'000};
    Duration heartbeatPeriod{1'000};
    Duration suspectAfter{3'000};
    Duration goneAfter{10'000};
    Duration targetLease{6'000};
    Duration targetLeaseWait{2'000};
    Duration reservationExpiry{2'000};
    Duration targetCallTimeout{1'000};
    Duration storeCallTimeout{2'000};
    Duration storeLease{10'000};
    Duration storeBatchDelay{20};
    int storeBatchOperations = 64;
    int leaseCallsPerRound = 50;
    Duration leaseRound{100};
    int bulkOperationsPerStep = 200;
    int maxJobAttempts = 4;
    Duration silentZoneTakeover{30'000};
    Duration stopLimit{30'000};
    Duration hostListPeriod{5'000};
    Duration ledgerDelay{86'400'000}; ///< Age at which ended jobs move into the ledger; until then their request ids remain known.

    friend bool operator==(const Limits &, const Limits &) = default;
};

/// Another entry host named in the settings.
struct SeedHost
{
    HostId id;
    AvailabilityZoneId availabilityZone;
    std::string peerAddress;

    friend bool operator==(const SeedHost &, const SeedHost &) = default;
};

/// Identity, addresses and limits of this host, read from its settings.
struct HostSettings
{
    HostId id;
    AvailabilityZoneId availabilityZone;
    std::string peerAddress;
    std::string httpAddress;
    long long incarnation = 0; ///< Number that increases with every start of this host.
    std::vector<SeedHost> seeds;
    unsigned long long randomSeed = 1;
    Limits limits;

    friend bool operator==(const HostSettings &, const HostSettings &) = default;
};

}
