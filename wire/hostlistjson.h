#pragma once

#include "core/event.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace sequoiastand
{

/// Converts hosts to and from the response body of `GET /v1/hosts`: {"hosts": [...]}.
nlohmann::json hostListToJson(const std::vector<ListedHost> &hosts);

absl::StatusOr<std::vector<ListedHost>> hostListFromJson(const nlohmann::json &value, const std::string &path = "hostList");

}
