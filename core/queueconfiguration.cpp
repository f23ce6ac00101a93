#include "queueconfiguration.h"

namespace sequoiastand
{

const Queue *findQueue(const QueueConfiguration &configuration, std::string_view host, std::string_view path)
{
    const Queue *best = nullptr;
    for (const auto &[id, queue] : configuration.queues) {
        if (queue.host == host && path.starts_with(queue.prefix) && (best == nullptr || queue.prefix.size() > best->prefix.size())) {
            best = &queue;
        }
    }
    return best;
}

}
