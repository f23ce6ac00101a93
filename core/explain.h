#pragma once

#include "cells.h"
#include "time.h"

#include <string>

namespace sequoiastand
{

/// "4 min" or "35 s", for sentences.
std::string durationText(Duration duration);

std::string placedText(const CapacityMap &map, const std::vector<int> &targets, bool isBorrowed);
std::string probeText(const TargetId &target);
std::string overQuotaText(const TeamId &team, int held, int wanted, int quota);
std::string startLimitText(const AvailabilityZoneId &zone);
std::string stoppingText(int victims, const AvailabilityZoneId &zone);
std::string reclaimStopText(const JobId &job);
std::string urgentStopText(const JobId &job);
std::string patientStopText(const JobId &job);
std::string moveStopText(const JobId &job);
std::string zoneOutStopText(const AvailabilityZoneId &zone, Duration remaining, Duration notice);
std::string zoneOutMoveText(const AvailabilityZoneId &from, const AvailabilityZoneId &to);
std::string zoneOutWaitText(const AvailabilityZoneId &zone, bool hasNoOtherZone);
std::string noRoomMoveText(const AvailabilityZoneId &from, const AvailabilityZoneId &to);
std::string reservedText(Duration wait, const AvailabilityZoneId &zone);
std::string shortfallWaitText(const std::vector<GuaranteeShortfall> &shortfalls);
std::string noRoomText(const JobSpecification &specification, int freeAccelerators, int usableAccelerators, const AvailabilityZoneId &zone);
std::string neverFitsText(const JobSpecification &specification, const AvailabilityZoneId &zone);
std::string aboveQuotaText(const JobSpecification &specification, int quota);
std::string tooLargeMoveText(const JobSpecification &specification, const AvailabilityZoneId &from, const AvailabilityZoneId &to);
std::string deadlineText(const JobSpecification &specification);

/// "8 tasks of 4 accelerators on one worker".
std::string requestText(const JobSpecification &specification);

}
