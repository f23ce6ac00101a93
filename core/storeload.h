#pragma once

#include "blackboard.h"
#include "storecalls.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// Notes the revision that the watch reports and whether the watch was lost.
void applyWatchEvents(Blackboard &board);

/// Replaces the watch by a full read, some time within the spread.
void abandonWatch(Blackboard &board, const std::string &reason, Duration spread);

/// Notes a revision under the prefix that the watch has to report; a watch that does not is replaced by a full read.
void expectWatchRevision(Blackboard &board, Revision revision);

/// Starts a full read if one is needed and due.
void startLoad(Blackboard &board);

/// Takes the answer to a range of the full read; after the last range the whole read is announced.
void continueLoad(Blackboard &board, const StoreAnswer &answer);

/// Notes the version entry that a read or the watch delivered.
void recordStoredVersion(Blackboard &board, const StoreEntry &entry);

/// Takes over what a read of `config/version` found, unless newer news arrived after it was sent.
void applyVersionRead(Blackboard &board, const StoreReply &reply, TimePoint sent);

/// Events for the next round: a completed full read and this host's own configuration change.
std::vector<Event> takeDeferredEvents(StoreSession &session);

}
