#pragma once

#include "core/job.h"
#include "core/refusal.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <string>

namespace sequoiastand
{

// The JSON gives durations in milliseconds, and wall times in milliseconds since the epoch. An error message begins with the path of the invalid field.

nlohmann::json toJson(const JobSpecification &specification);
nlohmann::json toJson(const Job &job);
nlohmann::json toJson(const Refusal &refusal);

absl::StatusOr<JobSpecification> jobSpecificationFromJson(const nlohmann::json &value, const std::string &path = "specification");
absl::StatusOr<Job> jobFromJson(const nlohmann::json &value, const std::string &path = "job");
absl::StatusOr<Refusal> refusalFromJson(const nlohmann::json &value, const std::string &path = "refusal");

}
