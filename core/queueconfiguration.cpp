#include "queueconfiguration.h"

#include "requestid.h"

#include <tuple>

namespace sequoiastand
{

const Queue *findQueue(const QueueConfiguration &configuration, std::string_view host, std::string_view path)
{
    const auto rank = [path](const Queue &queue) {
        const auto rest = path.substr(queue.prefix.size());
        return std::tuple(rest.empty() || isRequestId(rest), queue.prefix.size());
    };
    const Queue *best = nullptr;
    for (const auto &[id, queue] : configuration.queues) {
        if (queue.host == host && path.starts_with(queue.prefix) && (best == nullptr || rank(queue) > rank(*best))) {
            best = &queue;
        }
    }
    return best;
}

}
