#pragma once

#include "core/message.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace sequoiastand
{

/// A POST to a target's agent. The path follows the target's address, which may end in a path prefix.
struct TargetHttpCall
{
    std::string path; ///< "/v1/lease" and the like.
    std::string body;

    friend bool operator==(const TargetHttpCall &, const TargetHttpCall &) = default;
};

/// Encodes a call. `address` and `timeout` concern the transport and are not part of the message.
TargetHttpCall encodeTargetCall(const TargetCall &call);

absl::StatusOr<TargetCall> decodeTargetCall(std::string_view path, std::string_view body);

std::string encodeTargetReply(const TargetReply &reply);

absl::StatusOr<TargetReply> decodeTargetReply(std::string_view body);

}
