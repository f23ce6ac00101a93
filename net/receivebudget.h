#pragma once

#include "core/time.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

constexpr std::size_t maxBodyBlockBytes = std::size_t{16} * 1024;

/// The part of a body that was received. It is held in blocks, so that no block is copied when the body grows.
struct ReceivedBody
{
    std::vector<std::string> blocks;
    std::size_t allocatedBytes = 0;

    friend bool operator==(const ReceivedBody &, const ReceivedBody &) = default;
};

void append(ReceivedBody &body, std::string_view bytes);

/// The memory that append() would allocate for further bytes.
std::size_t allocationFor(const ReceivedBody &body, std::size_t bytes);

/// Joins the blocks and releases them.
std::string takeText(ReceivedBody &body);

/// The memory that one request of a server holds.
struct HeldRequest
{
    unsigned long long id = 0;
    std::size_t bytes = 0;
    TimePoint lastProgress;
    bool isComplete = false; ///< The request was read completely and is being answered.

    friend bool operator==(const HeldRequest &, const HeldRequest &) = default;
};

/// Returns the requests to refuse, in this order, until all others fit into the budget. Only incomplete requests are refused: first those without progress for
/// a second, then the others, and of each group the largest first.
std::vector<unsigned long long> requestsToRefuse(std::vector<HeldRequest> requests, std::size_t budgetBytes, TimePoint now);

}
