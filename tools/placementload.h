#pragma once

#include "workflow/placement.h"
#include "workflow/urgentreserve.h"

#include <random>
#include <string>
#include <vector>

namespace sequoiastand
{

/// One kind of work in a placement load.
struct WorkKind
{
    std::string name;
    int priority = 0;
    double perSecond = 1; ///< Mean arrivals.
    double meanTasks = 1;
    double taskSpread = 0.8; ///< Standard deviation of the number of tasks, relative to the mean.
    int maxTasks = 1;
    double meanSeconds = 1; ///< Mean run time on a target of normal speed.
    double timeSpread = 0.3;
    std::vector<int> accelerators; ///< Accelerators per task, drawn with equal probability.
    int milliCpu = 0;
    int memoryMb = 0;
    bool isGang = false;
    double oneRackShare = 0;    ///< Share of the work that needs a single rack.
    double checkpointShare = 0; ///< Share of the work that saves its progress.
    double estimateError = 0;   ///< Largest relative error of the estimates.
    double stretch = 3;
    Duration latencyTarget{1'000};
    double worth = 1;
    double lateWorth = 0.5;

    friend bool operator==(const WorkKind &, const WorkKind &) = default;
};

/// A period in which more work of one kind arrives.
struct WorkBurst
{
    std::string kind;
    Duration from{0};
    Duration length{0};
    double factor = 2;

    friend bool operator==(const WorkBurst &, const WorkBurst &) = default;
};

struct PlacementLoad
{
    int targets = 540;
    int targetsPerRack = 20;
    Resources capacity{32'000, 65'536, 8};
    std::vector<double> speeds{0.8, 1.0, 1.25}; ///< Speeds of targets, drawn with equal probability.
    std::vector<WorkKind> kinds;
    std::vector<WorkBurst> bursts;
    Duration length{40'000};
    Duration stopGrace{200};
    Duration checkpointPeriod{2'000};
    Duration restoreTime{600};
    double remoteFactor = 3;
    unsigned seed = 1;

    friend bool operator==(const PlacementLoad &, const PlacementLoad &) = default;
};

/// Outcome of the work of one kind.
struct KindOutcome
{
    std::string name;
    int arrived = 0;
    int inTime = 0; ///< Finished within the objective.
    int late = 0;   ///< Finished within three times the objective.
    double owed = 0;
    double earned = 0;
    double meanWaitMs = 0; ///< Mean time from arrival to the first start.
    int preemptedTasks = 0;

    friend bool operator==(const KindOutcome &, const KindOutcome &) = default;
};

struct LoadOutcome
{
    std::vector<KindOutcome> kinds;
    double earnedShare = 0;
    double worstWindowShare = 0; ///< Earned share of the work that arrived in the two worst seconds, averaged.
    double coreSecondsLost = 0;  ///< Work that preemption discarded; an accelerator counts as eight cores.
    int passes = 0;

    friend bool operator==(const LoadOutcome &, const LoadOutcome &) = default;
};

/// Urgent gangs, ordinary gangs and patient batches with bursts of urgent and of patient work. With a factor of 1 they take four fifths of the accelerators
/// before the bursts; the factor scales all arrivals.
PlacementLoad crowdedFleet(int targets, double factor, unsigned seed);

/// Plays the load against planPlacements() in virtual time. No network, store or target is involved; starts take effect at once.
LoadOutcome playLoad(const PlacementLoad &load);

}
