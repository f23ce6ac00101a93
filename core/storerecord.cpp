#include "storerecord.h"

#include <absl/strings/str_format.h>

#include <chrono>

namespace sequoiastand
{

bool isSameRecord(const StoreRecord &left, const StoreRecord &right)
{
    const auto *leftJob = std::get_if<Job>(&left);
    const auto *rightJob = std::get_if<Job>(&right);
    if (leftJob == nullptr || rightJob == nullptr) {
        return left == right;
    }
    Job stored = *rightJob;
    stored.revision = leftJob->revision;
    return *leftJob == stored;
}

StoreKey jobKey(const JobId &id)
{
    return {"jobs/" + id.organisation.value + "/" + id.request.value};
}

StoreKey configurationItemKey(const std::string &path)
{
    return {"config/item/" + path};
}

StoreKey configurationVersionKey()
{
    return {"config/version"};
}

StoreKey configurationHistoryKey(long long version)
{
    return {absl::StrFormat("config/history/%012d", version)};
}

StoreKey configurationCommandKey(const CommandId &command)
{
    return {"config/command/" + command.value};
}

StoreKey zoneOwnerKey(const AvailabilityZoneId &zone)
{
    return {"zones/" + zone.value + "/owner"};
}

StoreKey hostKey(const HostId &host)
{
    return {"hosts/" + host.value};
}

StoreKey ledgerKey(WallTime day, const AvailabilityZoneId &zone, int number)
{
    const std::chrono::year_month_day date{std::chrono::floor<std::chrono::days>(day)};
    return {absl::StrFormat("ledger/%04d%02d%02d/%s/%06d",
                            static_cast<int>(date.year()),
                            static_cast<unsigned>(date.month()),
                            static_cast<unsigned>(date.day()),
                            zone.value,
                            number)};
}

StoreKey workflowKey(const RequestId &id)
{
    return {"intake/workflow/" + id.value};
}

StoreKey workflowCancellationKey(const RequestId &id)
{
    return {"intake/cancellation/" + id.value};
}

StoreKey workflowTombstoneKey(const RequestId &id, const OrganisationId &organisation, const QueueId &queue)
{
    return {"tombstone/" + id.value + "/" + organisation.value + "/" + queue.value};
}

StoreKey workflowProgressKey(const RequestId &id)
{
    return {"progress/" + id.value};
}

StoreKey domainPrefix()
{
    return {"domain/"};
}

StoreKey domainOwnerKey()
{
    return {"domain/owner"};
}

StoreKey commitMarkKey()
{
    return {"domain/commit"};
}

StoreKey accessFenceKey()
{
    return {domainOwnerKey().path + "/accessfence"};
}

StoreKey domainSummaryKey()
{
    return {"domain/summary"};
}

StoreKey queueConfigurationKey()
{
    return {"config/queues"};
}

StoreKey zoneEvacuationKey(const AvailabilityZoneId &zone)
{
    return {"config/evacuation/" + zone.value};
}

StoreKey targetRegistrationKey(const TargetId &target)
{
    return {"targets/" + target.value};
}

std::string lastPathSegment(const StoreKey &key)
{
    return key.path.substr(key.path.rfind('/') + 1);
}

}
