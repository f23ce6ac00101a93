#pragma once

#include "keyvaluemodel.h"

#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace sequoiastand
{

// The JSON gateway of the etcd v3 protocol: keys and values are base64, 64-bit integers are strings, fields with default values are left out.

/// Parses the body of a POST to the path. NotFound if the path does not exist.
absl::StatusOr<KeyValueRequest> keyValueRequestFromJson(std::string_view path, const nlohmann::json &body);

/// The JSON body of the answer to the request.
nlohmann::json keyValueAnswerToJson(const KeyValueRequest &request, const KeyValueAnswer &answer);

struct KeyValueWatchRequest
{
    KeyValueSpan span;
    long long startRevision = 0; ///< First revision to report; zero reports changes from now on.
    bool wantsProgress = false;

    friend bool operator==(const KeyValueWatchRequest &, const KeyValueWatchRequest &) = default;
};

absl::StatusOr<KeyValueWatchRequest> keyValueWatchFromJson(const nlohmann::json &body);

// Each of the following functions returns a message in the stream of a watch.
nlohmann::json watchCreatedToJson(long long revision);
nlohmann::json watchProgressToJson(long long revision);
nlohmann::json watchCompactedToJson(long long revision, long long compactedRevision);
nlohmann::json watchChangesToJson(long long revision, const std::vector<KeyValueRow> &changes);

nlohmann::json keyValueErrorToJson(const absl::Status &status);
int httpStatus(const absl::Status &status);

}
