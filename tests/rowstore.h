#pragma once

#include "core/event.h"
#include "core/storerecord.h"
#include "core/storesession.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sequoiastand
{

/// The platform's key-value service with typed records.
struct RowStore
{
    std::map<StoreKey, StoreEntry> entries;
    Revision revision = 1;
    bool isUp = true;
    int writeCount = 0;
    std::vector<StoreWatchEvent> history; ///< Every change, for hosts that watch.
};

/// Carries out one write on its own, as a group commit of independent writes would.
WriteResult writeRow(RowStore &store, const StoreWrite &write);

/// Answers a call as the gateway does; none while the store is down.
std::optional<StoreReply> answerCall(RowStore &store, const StoreCall &call);

const Job *storedJob(const RowStore &store, const JobId &id);

}
