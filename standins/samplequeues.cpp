#include "samplequeues.h"

namespace sequoiastand
{

namespace
{

Queue makeQueue(const std::string &name, int priority, int maxAttempts, double stretch, Duration latencyTarget)
{
    Queue queue;
    queue.id = {name};
    queue.host = "press.example";
    queue.prefix = "/" + name + "/";
    queue.service = {"press"};
    queue.priority = priority;
    queue.maxAttempts = maxAttempts;
    queue.stretch = stretch;
    queue.latencyTarget = latencyTarget;
    return queue;
}

}

std::vector<Queue> sampleQueues()
{
    return {makeQueue("urgent", 0, 2, 1.5, Duration{250}), makeQueue("ordinary", 1, 3, 3, Duration{1'000}), makeQueue("patient", 2, 2, 3, Duration{3'000})};
}

}
