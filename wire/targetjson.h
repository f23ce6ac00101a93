#pragma once

#include "core/message.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace sequoiastand
{

/// Path and body of one HTTP POST to a target's agent. The path is appended to the target's address, which may end in a path prefix.
struct TargetHttpCall
{
    std::string path; ///< Path of the request type, for example "/v1/lease".
    std::string body;

    friend bool operator==(const TargetHttpCall &, const TargetHttpCall &) = default;
};

/// Encodes a call. The fields `address` and `timeout` are used by the transport only and are not encoded.
TargetHttpCall encodeTargetCall(const TargetCall &call);

absl::StatusOr<TargetCall> decodeTargetCall(std::string_view path, std::string_view body);

std::string encodeTargetReply(const TargetReply &reply);

absl::StatusOr<TargetReply> decodeTargetReply(std::string_view body);

}
