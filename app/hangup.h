#pragma once

namespace sequoiastand
{

/// Lets SIGHUP only be recorded until an event loop watches it. By default, a host that is asked to reload its settings while it starts would end.
void recordHangUps();

/// Undoes recordHangUps() for commands that end on SIGHUP.
void restoreHangUps();

/// Returns whether SIGHUP has arrived while it was recorded, and forgets it.
bool takeRecordedHangUp();

}
