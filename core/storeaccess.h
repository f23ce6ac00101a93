#pragma once

#include "blackboard.h"
#include "storerecord.h"

#include <optional>
#include <set>
#include <vector>

namespace sequoiastand
{

/// True if this host read the store recently, or a live peer that did can relay for it.
bool canReachStore(const Blackboard &board);

/// Entries that the store showed in the present inbox, through watch, reads, conflicts or a relay.
std::vector<StoreEntry> storeEntriesInInbox(const Blackboard &board);

/// Keys that the watch showed as deleted in the present inbox.
std::vector<StoreKey> storeDeletionsInInbox(const Blackboard &board);

/// Revision and keys of a complete read of the store, if one is in the present inbox.
struct FullRead
{
    Revision revision = 0;
    std::set<StoreKey> keys;
};

std::optional<FullRead> fullReadInInbox(const Blackboard &board);

/// True if a queued write of the key was taken back. False if there is none or its transaction may already have had its effect.
bool withdrawWrite(StoreSession &session, const StoreKey &key);

bool isQueued(const StoreSession &session, const StoreKey &key);

bool isInFlight(const StoreSession &session, const StoreKey &key);

}
