#include "job.h"

#include <algorithm>
#include <array>

namespace sequoiastand
{

namespace
{

constexpr std::array<std::string_view, 10> stateNames{
    "waiting",
    "reserving",
    "starting",
    "running",
    "stopping",
    "finished",
    "failed",
    "cancelled",
    "refused",
    "unknown",
};
constexpr std::array<std::string_view, 3> classNames{"urgent", "ordinary", "patient"};
constexpr std::array<std::string_view, 4> adjacencyNames{"any", "worker", "rack", "zone"};
constexpr std::array<std::string_view, 8> holdEndNames{"unrecorded", "finished", "failed", "cancelled", "preempted", "moved", "memberLost", "zoneOut"};

template<typename Enum, std::size_t size>
std::optional<Enum> enumFromName(const std::array<std::string_view, size> &names, std::string_view text)
{
    const auto found = std::ranges::find(names, text);
    if (found == names.end()) {
        return std::nullopt;
    }
    return static_cast<Enum>(found - names.begin());
}

}

bool isTerminal(JobState state)
{
    return state >= JobState::Finished;
}

int acceleratorCount(const JobSpecification &specification)
{
    return specification.taskCount * specification.acceleratorsPerTask;
}

bool isPreemptible(const JobSpecification &specification)
{
    return specification.isIdempotent || specification.isCheckpointable;
}

std::string_view name(JobState state)
{
    return stateNames.at(static_cast<std::size_t>(state));
}

std::string_view name(JobClass jobClass)
{
    return classNames.at(static_cast<std::size_t>(jobClass));
}

std::string_view name(Adjacency adjacency)
{
    return adjacencyNames.at(static_cast<std::size_t>(adjacency));
}

std::string_view name(HoldEnd end)
{
    return holdEndNames.at(static_cast<std::size_t>(end));
}

std::optional<JobState> jobStateFromName(std::string_view text)
{
    return enumFromName<JobState>(stateNames, text);
}

std::optional<JobClass> jobClassFromName(std::string_view text)
{
    return enumFromName<JobClass>(classNames, text);
}

std::optional<Adjacency> adjacencyFromName(std::string_view text)
{
    return enumFromName<Adjacency>(adjacencyNames, text);
}

std::optional<HoldEnd> holdEndFromName(std::string_view text)
{
    return enumFromName<HoldEnd>(holdEndNames, text);
}

std::string toString(const JobId &id)
{
    return id.organisation.value + "/" + id.request.value;
}

}
