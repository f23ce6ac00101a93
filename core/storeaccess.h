#pragma once

#include "blackboard.h"
#include "storerecord.h"

#include <optional>
#include <set>
#include <vector>

namespace sequoiastand
{

/// True if this host has read the store recently, or an alive peer has done so and can relay its calls.
bool canReachStore(const Blackboard &board);

/// Store entries in the inbox, from the watch, reads, conflicts or a relaying peer.
std::vector<StoreEntry> storeEntriesInInbox(const Blackboard &board);

/// Keys that the watch reports as deleted in the inbox.
std::vector<StoreKey> storeDeletionsInInbox(const Blackboard &board);

/// Revision and keys of a full read of the store.
struct FullRead
{
    Revision revision = 0;
    std::set<StoreKey> keys;
};

/// The full read in the inbox, if there is one.
std::optional<FullRead> fullReadInInbox(const Blackboard &board);

/// Removes the queued write of the key. Returns false if there is none or it may already have taken effect.
bool withdrawWrite(StoreSession &session, const StoreKey &key);

bool isQueued(const StoreSession &session, const StoreKey &key);

bool isInFlight(const StoreSession &session, const StoreKey &key);

}
