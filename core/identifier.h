#pragma once

#include <compare>
#include <string>

namespace sequoiastand
{

/// Text identifier whose type differs for each kind of object, so that identifiers of different kinds cannot be confused.
template<typename Tag>
struct Identifier
{
    std::string value;

    friend auto operator<=>(const Identifier &, const Identifier &) = default;
};

using HostId = Identifier<struct HostTag>;
using TargetId = Identifier<struct TargetTag>;
using RackId = Identifier<struct RackTag>;
using AvailabilityZoneId = Identifier<struct AvailabilityZoneTag>;
using OrganisationId = Identifier<struct OrganisationTag>;
using TeamId = Identifier<struct TeamTag>;
using RequestId = Identifier<struct RequestTag>;
using OperatorId = Identifier<struct OperatorTag>;
using CommandId = Identifier<struct CommandTag>;
using QueueId = Identifier<struct QueueTag>;
using ServiceId = Identifier<struct ServiceTag>;

/// Identifies a job by its organisation and the request id that the caller chose.
struct JobId
{
    OrganisationId organisation;
    RequestId request;

    friend auto operator<=>(const JobId &, const JobId &) = default;
};

/// Identifies an attempt to run a job; numbers start at 1.
struct AttemptId
{
    JobId job;
    int number = 0;

    friend auto operator<=>(const AttemptId &, const AttemptId &) = default;
};

/// Identifies a call within one process, so that its reply can be matched.
struct CallId
{
    unsigned long long value = 0;

    friend auto operator<=>(const CallId &, const CallId &) = default;
};

}
