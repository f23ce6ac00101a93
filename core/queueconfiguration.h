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

/// A queue whose steps may run only where an adviser allows it.
struct AdviceTerms
{
    Duration perCall{0};
    Duration perTarget{0};
    Duration validity{0}; ///< Of a ticket.

    friend bool operator==(const AdviceTerms &, const AdviceTerms &) = default;
};

/// Where callers hand in workflows, and what they are promised.
struct Queue
{
    QueueId id;
    std::string host;   ///< Host header of its requests.
    std::string prefix; ///< Begin of the path of its requests.
    ServiceId service;
    int priority = 0; ///< Zero comes first and may preempt the others.
    int maxAttempts = 1;
    double stretch = 1; ///< A workflow's objective is this many times its longest chain of work, and `latencyTarget` more.
    Duration latencyTarget{0};
    Duration timeout{0};
    bool isAnonymous = false; ///< Its calls need no key.
    std::optional<AdviceTerms> advice;

    friend bool operator==(const Queue &, const Queue &) = default;
};

/// A pool of targets that run the tasks of its queues.
struct Service
{
    ServiceId id;
    bool rejectsOverload = false; ///< Its targets refuse what does not fit; otherwise they start whatever they are told to.
    bool isStandby = false;       ///< Its targets are switched off.
    std::string healthPath;

    friend bool operator==(const Service &, const Service &) = default;
};

/// An organisation's keys and the accelerators that are its own at all times for its work of priority 0.
struct OrganisationShare
{
    OrganisationId id;
    int guaranteedAccelerators = 0;

    friend bool operator==(const OrganisationShare &, const OrganisationShare &) = default;
};

/// Everything the operators configure for a service domain; replaced as a whole.
struct QueueConfiguration
{
    long long version = 0;
    std::map<QueueId, Queue> queues;
    std::map<ServiceId, Service> services;
    std::map<OrganisationId, OrganisationShare> organisations;
    std::map<std::string, OrganisationId, std::less<>> keys; ///< Organisation by its callers' keys.
    std::size_t maxBodyBytes = 0;                            ///< Zero: the host's own limit holds.

    friend bool operator==(const QueueConfiguration &, const QueueConfiguration &) = default;
};

/// The queue with that host and the longest prefix that the path begins with, or null.
const Queue *findQueue(const QueueConfiguration &configuration, std::string_view host, std::string_view path);

}
