#pragma once

#include "core/identifier.h"
#include "core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace sequoiastand
{

/// Workflows whose progress is to be written, in the order in which they were added. In an order by id, workflows with high ids would wait for as long as
/// others change faster than batches are written.
struct CommitQueue
{
    struct Place
    {
        unsigned long long number = 0;
        TimePoint since; ///< When the workflow was added.

        friend bool operator==(const Place &, const Place &) = default;
    };

    std::map<RequestId, Place> places;
    std::map<unsigned long long, RequestId> order; ///< The workflows by the numbers of their places.
    unsigned long long nextNumber = 1;

    friend bool operator==(const CommitQueue &, const CommitQueue &) = default;
};

/// Adds the workflow at the end. A workflow that is in the queue keeps its place.
void enqueue(CommitQueue &queue, const RequestId &workflow, TimePoint now);

void dequeue(CommitQueue &queue, const RequestId &workflow);

bool contains(const CommitQueue &queue, const RequestId &workflow);

/// Removes and returns the first workflows, `count` at most.
std::vector<RequestId> takeFirst(CommitQueue &queue, std::size_t count);

/// When the first workflow was added; empty if there is none.
std::optional<TimePoint> waitingSince(const CommitQueue &queue);

}
