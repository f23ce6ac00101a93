#pragma once

#include "core/event.h"
#include "core/storerecord.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// A call of the store's JSON gateway: path and body of one HTTP POST.
struct StoreHttpCall
{
    std::string path;
    std::string body;

    friend bool operator==(const StoreHttpCall &, const StoreHttpCall &) = default;
};

/// One message of the watch's stream.
struct WatchMessage
{
    bool isCreated = false;
    bool isCancelled = false;
    Revision compactRevision = 0;        ///< Not zero when the start revision has been compacted.
    StoreWatchEvent changes;             ///< Its revision is that of the last change, or the header's when there is none.
    std::vector<std::string> unreadable; ///< Errors of records that could not be decoded.

    friend bool operator==(const WatchMessage &, const WatchMessage &) = default;
};

/// Encodes a call for the etcd v3 JSON gateway; keys get the product's prefix.
StoreHttpCall encodeStoreCall(const StoreCall &call);

/// Decodes the body of an answer with status 200. A record that cannot be decoded makes the reply's `error` name it; the other entries are kept.
absl::StatusOr<StoreReply> decodeStoreReply(const StoreCall &call, const std::string &body, const std::string &peer);

/// Message of an answer whose status is not 200.
std::string storeErrorText(const std::string &body);

/// Watches every key of the product from the revision on.
StoreHttpCall encodeWatch(Revision from);

/// Decodes one line of the watch's stream.
absl::StatusOr<WatchMessage> decodeWatchMessage(const std::string &line, const std::string &peer);

}
