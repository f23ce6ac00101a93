#pragma once

#include "blackboard.h"

#include <optional>

namespace sequoiastand
{

/// Returns a refusal if the specification is not well formed, is not allowed by its organisation or team, or cannot meet its deadline; nothing otherwise.
/// The result does not depend on the state of the cluster.
std::optional<Refusal> specificationRefusal(const JobSpecification &specification, const Configuration &configuration, WallTime wallNow);

/// The zone that is to run the job, or the reason why no zone can.
struct ZoneChoice
{
    AvailabilityZoneId availabilityZone;
    std::optional<Refusal> refusal;

    friend bool operator==(const ZoneChoice &, const ZoneChoice &) = default;
};

/// Among the zones that are in service, have an owner and are large enough for the job, draws two at random and returns the one with more free
/// accelerators. If no zone has an owner, returns this host's zone.
ZoneChoice chooseZone(Blackboard &board, const JobSpecification &specification);

/// Host that owns the zone, as far as this host knows.
std::optional<HostId> ownerOf(const Blackboard &board, const AvailabilityZoneId &zone);

/// Handles the submissions and offers in the inbox: accepts or refuses each, or offers it to the owner of its zone.
void admitSubmissions(Blackboard &board);

/// Accepts pending submissions that are stored or started, and refuses those past their time limit.
void resolveSubmissions(Blackboard &board);

}
