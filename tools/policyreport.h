#pragma once

#include "policyworld.h"

#include <string>

namespace sequoiastand
{

struct Quantiles
{
    int count = 0;
    double mean = 0;
    double p50 = 0;
    double p99 = 0;

    friend bool operator==(const Quantiles &, const Quantiles &) = default;
};

/// Figures of one run, in seconds and accelerator-hours.
struct PolicyFigures
{
    Quantiles all;
    double meanRunTime = 0; ///< Mean of the finished jobs, which is a lower bound of their mean completion time under any policy.
    Quantiles urgent;
    Quantiles ordinary;
    Quantiles patient;
    Quantiles urgentStart;
    Quantiles reclaim;
    int unfinished = 0;
    int failed = 0;
    int refused = 0;
    double fragmentation = 0;
    double zoneChangeShare = 0;       ///< Useful share of all capacity in the remaining zones; zero if no zone changed.
    double zoneChangeDemandShare = 0; ///< Useful share of that part of the remaining zones' capacity for which there was demand.
    WorldTotals totals;
};

PolicyFigures figuresOf(const PolicyWorld &world);

std::string headerLine();
std::string figuresLine(const std::string &policyCase, const std::string &policy, const PolicyFigures &figures);

}
