#include "commitqueue.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace sequoiastand
{

void enqueue(CommitQueue &queue, const RequestId &workflow, TimePoint now)
{
    const auto [place, isNew] = queue.places.try_emplace(workflow, CommitQueue::Place{queue.nextNumber, now});
    if (isNew) {
        queue.order.emplace(queue.nextNumber++, workflow);
    }
}

void dequeue(CommitQueue &queue, const RequestId &workflow)
{
    if (const auto removed = queue.places.extract(workflow)) {
        queue.order.erase(removed.mapped().number);
    }
}

bool contains(const CommitQueue &queue, const RequestId &workflow)
{
    return queue.places.contains(workflow);
}

std::vector<RequestId> takeFirst(CommitQueue &queue, std::size_t count)
{
    std::vector<RequestId> first;
    std::ranges::copy(queue.order | std::views::values | std::views::take(count), std::back_inserter(first));
    std::ranges::for_each(first, [&](const RequestId &workflow) { dequeue(queue, workflow); });
    return first;
}

std::optional<TimePoint> waitingSince(const CommitQueue &queue)
{
    return queue.order.empty() ? std::nullopt : std::optional(queue.places.at(queue.order.begin()->second).since);
}

}
