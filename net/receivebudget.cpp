#include "receivebudget.h"

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr std::size_t minBlockBytes = 512;
constexpr Duration stalledAfter{1'000};

std::size_t lastBlockBytes(const ReceivedBody &body)
{
    return body.blocks.empty() ? 0 : body.blocks.back().capacity();
}

std::size_t roomInLastBlock(const ReceivedBody &body)
{
    return body.blocks.empty() ? 0 : lastBlockBytes(body) - body.blocks.back().size();
}

/// Size of the block after one of the given size. Blocks grow from a small one, because many clients may send only a few bytes.
std::size_t nextBlockBytes(std::size_t lastBytes, std::size_t neededBytes)
{
    return std::min(maxBodyBlockBytes, std::max({minBlockBytes, 2 * lastBytes, neededBytes}));
}

}

void append(ReceivedBody &body, std::string_view bytes)
{
    while (!bytes.empty()) {
        if (roomInLastBlock(body) == 0) {
            const auto size = nextBlockBytes(lastBlockBytes(body), bytes.size());
            body.blocks.emplace_back().reserve(size);
            body.allocatedBytes += lastBlockBytes(body);
        }
        const auto part = bytes.substr(0, roomInLastBlock(body));
        body.blocks.back().append(part);
        bytes.remove_prefix(part.size());
    }
}

std::size_t allocationFor(const ReceivedBody &body, std::size_t bytes)
{
    std::size_t allocation = 0;
    auto room = roomInLastBlock(body);
    auto lastBytes = lastBlockBytes(body);
    while (bytes > room) {
        bytes -= room;
        lastBytes = nextBlockBytes(lastBytes, bytes);
        allocation += lastBytes;
        room = lastBytes;
    }
    return allocation;
}

std::string takeText(ReceivedBody &body)
{
    const auto blocks = std::exchange(body, {}).blocks;
    std::string text;
    text.reserve(std::accumulate(blocks.begin(), blocks.end(), std::size_t{0}, [](std::size_t sum, const std::string &block) { return sum + block.size(); }));
    std::ranges::for_each(blocks, [&text](const std::string &block) { text += block; });
    return text;
}

std::vector<unsigned long long> requestsToRefuse(std::vector<HeldRequest> requests, std::size_t budgetBytes, TimePoint now)
{
    auto held =
        std::accumulate(requests.begin(), requests.end(), std::size_t{0}, [](std::size_t sum, const HeldRequest &request) { return sum + request.bytes; });
    std::erase_if(requests, [](const HeldRequest &request) { return request.isComplete || request.bytes == 0; });
    const auto rank = [now](const HeldRequest &request) {
        const bool isProgressing = now - request.lastProgress < stalledAfter;
        return std::tuple{isProgressing, ~request.bytes, request.id};
    };
    std::ranges::sort(requests, {}, rank);
    std::vector<unsigned long long> refused;
    for (const auto &request : requests) {
        if (held <= budgetBytes) {
            break;
        }
        held -= request.bytes;
        refused.push_back(request.id);
    }
    return refused;
}

}
