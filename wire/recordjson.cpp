#include "recordjson.h"

#include "core/errors.h"
#include "wire/jobjson.h"
#include "wire/workflowjson.h"

#include <absl/strings/str_cat.h>

#include <array>

namespace sequoiastand
{

namespace
{

using Json = nlohmann::json;

constexpr std::array<std::string_view, 3> roleNames{"viewer", "submitter", "administrator"};

Json itemToJson(const Organisation &item)
{
    return {{"id", item.id.value}, {"maxWaitingJobs", item.maxWaitingJobs}, {"tokenHash", item.tokenHash}};
}

Json itemToJson(const Guarantee &item)
{
    return {{"id", item.id},
            {"organisation", item.organisation.value},
            {"availabilityZone", item.availabilityZone.value},
            {"acceleratorsPerWorker", item.shape.acceleratorsPerWorker},
            {"workersPerRack", item.shape.workersPerRack},
            {"racks", item.shape.racks},
            {"count", item.shape.count}};
}

Json itemToJson(const AvailabilityZone &item)
{
    return {{"id", item.id.value},
            {"region", item.region},
            {"isOut", item.isOut},
            {"leaveNoticeMs", item.leaveNotice.count()},
            {"isolatedStartPeriodMs", item.isolatedStartPeriod.count()},
            {"isDeclaredDead", item.isDeclaredDead}};
}

Json itemToJson(const Team &item)
{
    return {{"id", item.id.value}, {"organisation", item.organisation.value}, {"acceleratorQuota", item.acceleratorQuota}};
}

Json itemToJson(const Drain &item)
{
    return {{"scope", item.scope == DrainScope::Rack ? "rack" : "target"}, {"name", item.name}};
}

Json itemToJson(const OperatorAccount &item)
{
    return {{"id", item.id.value}, {"role", name(item.role)}, {"tokenHash", item.tokenHash}};
}

Json recordToJson(const ConfigurationVersion &record)
{
    return {{"version", record.version}, {"changedBy", record.changedBy.value}, {"command", record.command.value}};
}

Json recordToJson(const ConfigurationChange &record)
{
    return {{"version", record.version},
            {"changedBy", record.changedBy.value},
            {"command", record.command.value},
            {"changedAtMs", record.changedAt.time_since_epoch().count()},
            {"statement", record.statement}};
}

Json recordToJson(const ZoneOwner &record)
{
    return {{"host", record.host.value}, {"incarnation", record.incarnation}, {"epoch", record.epoch}};
}

Json recordToJson(const HostRecord &record)
{
    return {{"host", record.host.value},
            {"availabilityZone", record.availabilityZone.value},
            {"peerAddress", record.peerAddress},
            {"httpAddress", record.httpAddress},
            {"incarnation", record.incarnation},
            {"processorShare", record.processorShare}};
}

/// Removes fields with default values to save space in the ledger, which grows forever. Absent fields are read as defaults.
Json withoutDefaults(Json job, const Json &defaults)
{
    const Json original = job;
    for (const auto &[key, value] : original.items()) {
        if (key == "specification") {
            job[key] = withoutDefaults(value, defaults.at(key));
        } else if (key != "state" && key != "requestId" && defaults.contains(key) && defaults.at(key) == value) {
            job.erase(key);
        }
    }
    return job;
}

Json recordToJson(const LedgerBatch &record)
{
    const Json defaults = toJson(Job{});
    Json jobs = Json::array();
    for (const auto &job : record.jobs) {
        jobs.push_back(withoutDefaults(toJson(job), defaults));
    }
    return {{"jobs", std::move(jobs)}};
}

template<typename Record>
Json recordToJson(const Record &record) requires requires
{
    toJson(record);
}
{
    return toJson(record);
}

/// Encodes a record that only operators or targets write, in the platform's format. The product never writes such records, so the result is a placeholder.
Json foreignRecordToJson()
{
    return Json::object();
}

Json recordToJson(const QueueConfiguration &)
{
    return foreignRecordToJson();
}

Json recordToJson(const ZoneEvacuation &)
{
    return foreignRecordToJson();
}

Json recordToJson(const TargetRegistration &)
{
    return foreignRecordToJson();
}

Duration milliseconds(const Json &json, const char *key)
{
    return Duration{json.value(key, 0LL)};
}

std::string text(const Json &json, const char *key)
{
    return json.value(key, std::string{});
}

absl::Status unreadable(std::string_view what, std::string_view reason)
{
    return errorAt(absl::StatusCode::kDataLoss, "decodeRecord", what, reason);
}

absl::StatusOr<ConfigurationItem> readItem(const Json &json, std::string_view path)
{
    if (path.starts_with("organisation/")) {
        Organisation item;
        item.id = {json.at("id").get<std::string>()};
        item.maxWaitingJobs = json.value("maxWaitingJobs", item.maxWaitingJobs);
        item.tokenHash = text(json, "tokenHash");
        return item;
    }
    if (path.starts_with("guarantee/")) {
        Guarantee item;
        item.id = json.at("id").get<std::string>();
        item.organisation = {json.at("organisation").get<std::string>()};
        item.availabilityZone = {json.at("availabilityZone").get<std::string>()};
        item.shape = {json.at("acceleratorsPerWorker").get<int>(), json.value("workersPerRack", 1), json.value("racks", 1), json.value("count", 1)};
        return item;
    }
    if (path.starts_with("availabilityZone/")) {
        AvailabilityZone item;
        item.id = {json.at("id").get<std::string>()};
        item.region = text(json, "region");
        item.isOut = json.at("isOut").get<bool>();
        item.leaveNotice = milliseconds(json, "leaveNoticeMs");
        item.isolatedStartPeriod = milliseconds(json, "isolatedStartPeriodMs");
        item.isDeclaredDead = json.value("isDeclaredDead", false);
        return item;
    }
    if (path.starts_with("team/")) {
        Team item;
        item.id = {json.at("id").get<std::string>()};
        item.organisation = {json.at("organisation").get<std::string>()};
        item.acceleratorQuota = json.value("acceleratorQuota", 0);
        return item;
    }
    if (path.starts_with("drain/")) {
        const auto scope = json.at("scope").get<std::string>();
        if (scope != "rack" && scope != "target") {
            return unreadable(path, absl::StrCat("scope \"", scope, "\" is neither rack nor target"));
        }
        return Drain{scope == "rack" ? DrainScope::Rack : DrainScope::Target, json.at("name").get<std::string>()};
    }
    if (path.starts_with("operator/")) {
        const auto role = operatorRoleFromName(json.at("role").get<std::string>());
        if (!role) {
            return unreadable(path, absl::StrCat("unknown role ", json.at("role").dump()));
        }
        return OperatorAccount{{json.at("id").get<std::string>()}, *role, text(json, "tokenHash")};
    }
    return unreadable(path, "unknown kind of configuration item");
}

absl::StatusOr<LedgerBatch> readLedger(const Json &json)
{
    LedgerBatch batch;
    for (const auto &row : json.at("jobs")) {
        auto job = jobFromJson(row);
        if (!job.ok()) {
            return job.status();
        }
        batch.jobs.push_back(*std::move(job));
    }
    return batch;
}

/// Decodes a record of a service domain.
absl::StatusOr<StoreRecord> readDomainRecord(const Json &json, std::string_view path)
{
    if (path.starts_with("intake/workflow/")) {
        return workflowFromJson(json);
    }
    if (path.starts_with("intake/cancellation/")) {
        return workflowCancellationFromJson(json);
    }
    if (path.starts_with("tombstone/")) {
        return workflowTombstoneFromJson(json);
    }
    if (path.starts_with("progress/")) {
        return workflowProgressFromJson(json);
    }
    if (path == "domain/owner") {
        return domainOwnerFromJson(json);
    }
    if (path == "domain/commit") {
        return commitMarkFromJson(json);
    }
    if (path == accessFenceKey().path) {
        return accessFenceFromJson(json);
    }
    if (path == "domain/summary") {
        return domainSummaryFromJson(json);
    }
    return unreadable(path, "unknown kind of record");
}

absl::StatusOr<StoreRecord> readRecord(const Json &json, const StoreKey &key)
{
    const std::string_view path = key.path;
    if (path.starts_with("jobs/")) {
        return jobFromJson(json);
    }
    if (path.starts_with("config/item/")) {
        return configurationItemFromJson(json, path.substr(std::string_view("config/item/").size()));
    }
    if (path == "config/version") {
        return ConfigurationVersion{json.at("version").get<long long>(), {text(json, "changedBy")}, {text(json, "command")}};
    }
    if (path.starts_with("config/history/") || path.starts_with("config/command/")) {
        return ConfigurationChange{json.at("version").get<long long>(),
                                   {text(json, "changedBy")},
                                   {text(json, "command")},
                                   WallTime{milliseconds(json, "changedAtMs")},
                                   text(json, "statement")};
    }
    if (path.starts_with("zones/")) {
        return ZoneOwner{{json.at("host").get<std::string>()}, json.at("incarnation").get<long long>(), json.at("epoch").get<Epoch>()};
    }
    if (path.starts_with("hosts/")) {
        return HostRecord{{json.at("host").get<std::string>()},
                          {json.at("availabilityZone").get<std::string>()},
                          text(json, "peerAddress"),
                          text(json, "httpAddress"),
                          json.value("incarnation", 0LL),
                          json.value("processorShare", 0.0)};
    }
    if (path.starts_with("ledger/")) {
        return readLedger(json);
    }
    return readDomainRecord(json, path);
}

}

std::string_view name(OperatorRole role)
{
    return roleNames.at(static_cast<std::size_t>(role));
}

std::optional<OperatorRole> operatorRoleFromName(std::string_view text)
{
    for (std::size_t index = 0; index < roleNames.size(); ++index) {
        if (roleNames.at(index) == text) {
            return static_cast<OperatorRole>(index);
        }
    }
    return std::nullopt;
}

nlohmann::json toJson(const ConfigurationItem &item)
{
    return std::visit([](const auto &alternative) { return itemToJson(alternative); }, item);
}

absl::StatusOr<ConfigurationItem> configurationItemFromJson(const nlohmann::json &json, std::string_view path)
{
    try {
        auto item = readItem(json, path);
        // Without this check, an item that is stored under the key of another item would replace that other item.
        if (item.ok() && itemPath(*item) != path) {
            return unreadable(path, absl::StrCat("holds the item of ", itemPath(*item)));
        }
        return item;
    } catch (const nlohmann::json::exception &error) {
        return unreadable(path, error.what());
    }
}

nlohmann::json toJson(const StoreRecord &record)
{
    return std::visit([](const auto &alternative) { return recordToJson(alternative); }, record);
}

absl::StatusOr<StoreRecord> storeRecordFromJson(const nlohmann::json &json, const StoreKey &key)
{
    try {
        return readRecord(json, key);
    } catch (const nlohmann::json::exception &error) {
        return unreadable(key.path, error.what());
    }
}

}
