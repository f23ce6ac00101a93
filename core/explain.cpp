#include "explain.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace sequoiastand
{

namespace
{

std::string count(int number, const char *noun)
{
    return absl::StrCat(number, " ", noun, number == 1 ? "" : "s");
}

const char *adjacencyText(Adjacency adjacency)
{
    switch (adjacency) {
    case Adjacency::Worker:
        return " on one worker";
    case Adjacency::Rack:
        return " in one rack";
    case Adjacency::Any:
    case Adjacency::AvailabilityZone:
        break;
    }
    return "";
}

}

std::string durationText(Duration duration)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration).count();
    if (seconds < 120) {
        return absl::StrCat(seconds, " s");
    }
    return seconds < 7'200 ? absl::StrCat(seconds / 60, " min") : absl::StrCat(seconds / 3'600, " h");
}

std::string placedText(const CapacityMap &map, const std::vector<int> &targets, bool isBorrowed)
{
    auto distinct = targets;
    std::ranges::sort(distinct);
    distinct.erase(std::ranges::unique(distinct).begin(), distinct.end());
    std::vector<int> racks;
    std::ranges::transform(distinct, std::back_inserter(racks), [&map](int target) { return map.targets[target].rack; });
    std::ranges::sort(racks);
    racks.erase(std::ranges::unique(racks).begin(), racks.end());
    const auto where = distinct.size() == 1 ? "on " + map.targets[distinct.front()].target->id.value
                                            : absl::StrCat("on ", distinct.size(), " workers in ", count(static_cast<int>(racks.size()), "rack"));
    return absl::StrCat("placed ", where, isBorrowed ? " on borrowed capacity" : " within its organisation's guarantee");
}

std::string probeText(const TargetId &target)
{
    return absl::StrCat("placed on ", target.value, " as the probe of a quarantined target");
}

std::string overQuotaText(const TeamId &team, int held, int wanted, int quota)
{
    return absl::StrCat("waits: team ", team.value, " holds ", held, " of its quota of ", count(quota, "accelerator"), " and the job needs ", wanted);
}

std::string startLimitText(const AvailabilityZoneId &zone)
{
    return absl::StrCat("waits: zone ", zone.value, " has used its limit of starts for this second; the next pass tries again");
}

std::string stoppingText(int victims, const AvailabilityZoneId &zone)
{
    return victims > 0 ? absl::StrCat("waits until ", count(victims, "preempted job"), " in zone ", zone.value, " have stopped")
                       : absl::StrCat("waits until work in zone ", zone.value, " that is already being stopped has ended");
}

std::string reclaimStopText(const JobId &job)
{
    return absl::StrCat("preempted: ", job.organisation.value, " reclaims its guaranteed accelerators for ", toString(job));
}

std::string urgentStopText(const JobId &job)
{
    return absl::StrCat("preempted as the cheapest work to stop for urgent job ", toString(job));
}

std::string patientStopText(const JobId &job)
{
    return absl::StrCat("preempted: another zone is out and ", toString(job), " needs the capacity that this patient job borrows");
}

std::string moveStopText(const JobId &job)
{
    return absl::StrCat("moved to other free accelerators so that the large job ", toString(job), " can start");
}

std::string zoneOutStopText(const AvailabilityZoneId &zone, Duration remaining, Duration notice)
{
    return absl::StrCat("stopped: zone ",
                        zone.value,
                        " is out of service and the job is expected to need ",
                        durationText(remaining),
                        ", more than the notice of ",
                        durationText(notice));
}

std::string zoneOutMoveText(const AvailabilityZoneId &from, const AvailabilityZoneId &to)
{
    return absl::StrCat("moved to zone ", to.value, " because zone ", from.value, " is out of service");
}

std::string zoneOutWaitText(const AvailabilityZoneId &zone, bool hasNoOtherZone)
{
    return absl::StrCat("waits: zone ",
                        zone.value,
                        " is out of service and ",
                        hasNoOtherZone ? "no other zone is in service" : "the job cannot be moved to another zone in this pass");
}

std::string noRoomMoveText(const AvailabilityZoneId &from, const AvailabilityZoneId &to)
{
    return absl::StrCat("moved to zone ", to.value, ", which has free accelerators, because zone ", from.value, " is full");
}

std::string reservedText(Duration wait, const AvailabilityZoneId &zone)
{
    return absl::StrCat("waits: accelerators in zone ", zone.value, " are reserved for it and expected to be free in ", durationText(wait));
}

std::string shortfallWaitText(const std::vector<GuaranteeShortfall> &shortfalls)
{
    const auto name = shortfalls.empty() ? std::string{} : shortfalls.front().guarantee;
    return absl::StrCat("waits: it cannot be preempted and guarantee ", name, " lacks accelerators; return targets to service or reduce the guarantee");
}

std::string requestText(const JobSpecification &specification)
{
    const auto perTask = specification.acceleratorsPerTask > 0
                             ? count(specification.acceleratorsPerTask, specification.acceleratorsPerTask > 1 ? "adjacent accelerator" : "accelerator")
                             : absl::StrCat(specification.milliCpuPerTask, " mCPU and ", specification.memoryMbPerTask, " MB");
    return absl::StrCat(count(specification.taskCount, "task"), " of ", perTask, adjacencyText(specification.adjacency));
}

std::string noRoomText(const JobSpecification &specification, int freeAccelerators, int usableAccelerators, const AvailabilityZoneId &zone)
{
    const bool isFragmented = specification.acceleratorsPerTask > 0 && freeAccelerators >= acceleratorCount(specification);
    return absl::StrCat("waits: zone ",
                        zone.value,
                        " has ",
                        freeAccelerators,
                        " of ",
                        count(usableAccelerators, "accelerator"),
                        " free",
                        isFragmented ? ", but not where the job may stand as " : ", too few for ",
                        requestText(specification));
}

std::string neverFitsText(const JobSpecification &specification, const AvailabilityZoneId &zone)
{
    const bool isRigid = !isPreemptible(specification);
    return absl::StrCat("refused: ",
                        requestText(specification),
                        " do not fit in zone ",
                        zone.value,
                        " even when it is empty",
                        isRigid ? " outside other organisations' guarantees, where work that cannot be preempted may not stand" : "");
}

std::string aboveQuotaText(const JobSpecification &specification, int quota)
{
    return absl::StrCat("refused: ", requestText(specification), " exceed the quota of team ", specification.team.value, ", ", count(quota, "accelerator"));
}

std::string tooLargeMoveText(const JobSpecification &specification, const AvailabilityZoneId &from, const AvailabilityZoneId &to)
{
    return absl::StrCat("moved to the larger zone ", to.value, " because ", requestText(specification), " do not fit in zone ", from.value);
}

std::string deadlineText(const JobSpecification &specification)
{
    return absl::StrCat("refused: its deadline has passed before ", requestText(specification), " could start");
}

}
