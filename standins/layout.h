#pragma once

#include "core/event.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// A layout of racks with identical workers in each availability zone.
struct Layout
{
    std::vector<std::string> availabilityZones;
    int racksPerZone = 2;
    int workersPerRack = 4;
    int acceleratorCount = 8;
    int milliCpu = 32'000;
    int memoryMb = 131'072;
    int port = 0; ///< Port of the stand-in process for the workers.

    friend bool operator==(const Layout &, const Layout &) = default;
};

/// The workers of the layout, with ids such as "harju-1-r2-w3" in rack "harju-1-r2", at "127.0.0.1:port/id".
std::vector<ListedHost> workersOf(const Layout &layout);

/// Splits the text at the separator and omits empty parts.
std::vector<std::string> splitText(const std::string &text, char separator);

}
