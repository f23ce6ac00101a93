#pragma once

#include "core/storerecord.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace sequoiastand
{

nlohmann::json toJson(const ConfigurationItem &item);

/// Decodes a configuration item. Its path, for example "organisation/kask", determines its type.
absl::StatusOr<ConfigurationItem> configurationItemFromJson(const nlohmann::json &json, std::string_view path);

nlohmann::json toJson(const StoreRecord &record);

/// Decodes a store record. The key determines its type.
absl::StatusOr<StoreRecord> storeRecordFromJson(const nlohmann::json &json, const StoreKey &key);

std::string_view name(OperatorRole role);
std::optional<OperatorRole> operatorRoleFromName(std::string_view text);

}
