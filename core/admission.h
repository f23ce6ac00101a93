#pragma once

#include "blackboard.h"

#include <optional>

namespace sequoiastand
{

/// Why the specification is refused whatever the state of the cluster; none if it is well formed and its organisation and team allow it.
std::optional<Refusal> specificationRefusal(const JobSpecification &specification, const Configuration &configuration, WallTime wallNow);

/// The zone that shall run the job, or why none can.
struct ZoneChoice
{
    AvailabilityZoneId availabilityZone;
    std::optional<Refusal> refusal;

    friend bool operator==(const ZoneChoice &, const ZoneChoice &) = default;
};

/// Among the zones in service, with an owner and large enough, the better of two random ones by free accelerators; without an owner anywhere, this host's zone.
ZoneChoice chooseZone(Blackboard &board, const JobSpecification &specification);

/// Host that owns the zone as far as this one knows.
std::optional<HostId> ownerOf(const Blackboard &board, const AvailabilityZoneId &zone);

/// Accepts, offers or refuses the submissions and offers of the present inbox.
void admitSubmissions(Blackboard &board);

/// Accepts pending submissions that were stored or started, and refuses those that took too long.
void resolveSubmissions(Blackboard &board);

}
