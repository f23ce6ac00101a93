#pragma once

#include "identifier.h"
#include "time.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// Terms of a queue whose steps may run only on targets that an adviser allows.
struct AdviceTerms
{
    Duration perCall{0};   ///< Fixed part of the expected duration of a call to the adviser.
    Duration perTarget{0}; ///< Part of the expected duration that is added for each target of the call.
    Duration validity{0};  ///< Period for which a ticket of the adviser is valid.

    friend bool operator==(const AdviceTerms &, const AdviceTerms &) = default;
};

/// Queue to which callers submit workflows, with its service objectives.
struct Queue
{
    QueueId id;
    std::string host;   ///< Value of the Host header of its requests.
    std::string prefix; ///< Prefix of the path of its requests.
    ServiceId service;
    int priority = 0; ///< Zero is the highest priority and may preempt the others.
    int maxAttempts = 1;
    double stretch = 1; ///< The objective for the duration of a workflow is `stretch` times its critical path, plus `latencyTarget`.
    Duration latencyTarget{0};
    Duration timeout{0};
    bool isAnonymous = false; ///< True if calls to the queue need no key.
    std::optional<AdviceTerms> advice;

    friend bool operator==(const Queue &, const Queue &) = default;
};

/// Pool of targets that run the tasks of the queues assigned to it.
struct Service
{
    ServiceId id;
    bool rejectsOverload = false; ///< True if its targets refuse tasks that do not fit; otherwise they start every task that they are given.
    bool isStandby = false;       ///< True if its targets are switched off.
    std::string healthPath;

    friend bool operator==(const Service &, const Service &) = default;
};

/// Limits on the resources that an organisation may use on all targets together. A resource without a value is not limited.
struct ResourceCap
{
    std::optional<int> milliCpu;
    std::optional<int> memoryMb;
    std::optional<int> accelerators;

    friend bool operator==(const ResourceCap &, const ResourceCap &) = default;
};

/// An organisation and its part of the capacity.
struct OrganisationShare
{
    OrganisationId id;
    int guaranteedAccelerators = 0; ///< Accelerators that belong to the organisation's work of priority 0 at all times.
    int weight = 1;                 ///< Share of the capacity, relative to the weights of the other organisations, while all of it is in use.
    ResourceCap cap;

    friend bool operator==(const OrganisationShare &, const OrganisationShare &) = default;
};

/// Everything that operators configure for a service domain. It is always replaced as a whole.
struct QueueConfiguration
{
    long long version = 0;
    std::map<QueueId, Queue> queues;
    std::map<ServiceId, Service> services;
    std::map<OrganisationId, OrganisationShare> organisations;
    std::map<std::string, OrganisationId, std::less<>> keys; ///< Organisations by the keys of their callers.
    std::size_t maxBodyBytes = 0;                            ///< Limit of the size of a request body; zero means that the host's own limit applies.

    friend bool operator==(const QueueConfiguration &, const QueueConfiguration &) = default;
};

/// Returns the queue with that host and the longest prefix of the path, or null. A prefix that leaves a workflow's id, or nothing, comes before longer ones that
/// do not: otherwise a new queue whose prefix goes on with digits would take over the ids of accepted workflows.
const Queue *findQueue(const QueueConfiguration &configuration, std::string_view host, std::string_view path);

}
