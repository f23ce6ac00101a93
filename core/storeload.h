#pragma once

#include "blackboard.h"
#include "storecalls.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// Updates the revision that the watch has reported, and closes the watch if it was lost or lags behind.
void applyWatchEvents(Blackboard &board);

/// Closes the watch and schedules a full read at a random time within `spread`.
void abandonWatch(Blackboard &board, const std::string &reason, Duration spread);

/// Sets a revision that the watch must report; a watch that does not report it in time is replaced by a full read.
void expectWatchRevision(Blackboard &board, Revision revision);

/// Starts a full read if there is no watch and a full read is due.
void startLoad(Blackboard &board);

/// Adds the reply to one range of the full read; after the last range, the complete read becomes an event of the next round.
void continueLoad(Blackboard &board, const StoreAnswer &answer);

/// Records the stored configuration version if the entry holds it.
void recordStoredVersion(Blackboard &board, const StoreEntry &entry);

/// Applies the result of a read of `config/version`, unless a newer entry arrived after the read was sent.
void applyVersionRead(Blackboard &board, const StoreReply &reply, TimePoint sent);

/// Takes the events for the next round: a completed full read and this host's own configuration change.
std::vector<Event> takeDeferredEvents(StoreSession &session);

}
