#pragma once

#include "core/storerecord.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace sequoiastand
{

// Encodings of the records that hosts of a service domain keep in the store. Fields with default values are omitted.

nlohmann::json toJson(const Workflow &record);
nlohmann::json toJson(const WorkflowProgress &record);
nlohmann::json toJson(const WorkflowCancellation &record);
nlohmann::json toJson(const WorkflowTombstone &record);
nlohmann::json toJson(const DomainOwner &record);
nlohmann::json toJson(const CommitMark &record);
nlohmann::json toJson(const AccessFence &record);
nlohmann::json toJson(const DomainSummary &record);

// Each of the following functions throws nlohmann::json::exception if a required field is missing or has another type;
// storeRecordFromJson() converts the exception to a status.

Workflow workflowFromJson(const nlohmann::json &json);
WorkflowProgress workflowProgressFromJson(const nlohmann::json &json);
WorkflowCancellation workflowCancellationFromJson(const nlohmann::json &json);
WorkflowTombstone workflowTombstoneFromJson(const nlohmann::json &json);
DomainOwner domainOwnerFromJson(const nlohmann::json &json);
CommitMark commitMarkFromJson(const nlohmann::json &json);
AccessFence accessFenceFromJson(const nlohmann::json &json);
DomainSummary domainSummaryFromJson(const nlohmann::json &json);

}
