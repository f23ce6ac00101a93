#pragma once

#include "core/event.h"
#include "core/storerecord.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Path and body of one HTTP POST to the store's JSON gateway.
struct StoreHttpCall
{
    std::string path;
    std::string body;

    friend bool operator==(const StoreHttpCall &, const StoreHttpCall &) = default;
};

/// One message of the watch stream.
struct WatchMessage
{
    bool isCreated = false;
    bool isCancelled = false;
    Revision compactRevision = 0;        ///< Non-zero if the start revision has been compacted.
    StoreWatchEvent changes;             ///< The changes. Their revision is the revision of the last change, or of the header if there are no changes.
    std::vector<std::string> unreadable; ///< Error messages of the records that cannot be decoded.

    friend bool operator==(const WatchMessage &, const WatchMessage &) = default;
};

/// Encodes a call for the etcd v3 JSON gateway. The product's prefix is added to keys.
StoreHttpCall encodeStoreCall(const StoreCall &call);

/// Decodes the body of a response with status 200. Records that cannot be decoded are left out; the first of them is named in the reply's `error`.
absl::StatusOr<StoreReply> decodeStoreReply(const StoreCall &call, const std::string &body, const std::string &peer);

/// Extracts the error message from the body of a response whose status is not 200.
std::string storeErrorText(const std::string &body);

/// Encodes the call that watches all keys of the product from the revision on.
StoreHttpCall encodeWatch(Revision from);

/// Decodes one line of the watch stream.
absl::StatusOr<WatchMessage> decodeWatchMessage(const std::string &line, const std::string &peer);

}
