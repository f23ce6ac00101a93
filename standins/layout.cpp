#include "layout.h"

#include <ranges>

namespace sequoiastand
{

std::vector<ListedHost> workersOf(const Layout &layout)
{
    std::vector<ListedHost> workers;
    for (const auto &zone : layout.availabilityZones) {
        for (int rackNumber = 1; rackNumber <= layout.racksPerZone; ++rackNumber) {
            const auto rack = zone + "-r" + std::to_string(rackNumber);
            for (int number = 1; number <= layout.workersPerRack; ++number) {
                const auto id = rack + "-w" + std::to_string(number);
                const auto address = "127.0.0.1:" + std::to_string(layout.port) + "/" + id;
                workers.push_back({ListedKind::Target, id, {rack}, {zone}, address, layout.acceleratorCount, layout.milliCpu, layout.memoryMb, false});
            }
        }
    }
    return workers;
}

std::vector<std::string> splitText(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    for (const auto &part : text | std::views::split(separator)) {
        if (!part.empty()) {
            parts.emplace_back(part.begin(), part.end());
        }
    }
    return parts;
}

}
