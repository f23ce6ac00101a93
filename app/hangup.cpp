#include "hangup.h"

#include <csignal>

namespace sequoiastand
{

namespace
{

// NOLINTBEGIN(cppcoreguidelines-avoid-non-const-global-variables): a signal handler can reach only global variables.
volatile std::sig_atomic_t hasHungUp = 0;
void (*formerHandler)(int) = SIG_DFL;
// NOLINTEND(cppcoreguidelines-avoid-non-const-global-variables)

void recordHangUp(int)
{
    hasHungUp = 1;
}

}

void recordHangUps()
{
    // A blocked signal would still end the process, because the threads of log4cplus do not inherit the mask of the main thread.
    formerHandler = std::signal(SIGHUP, recordHangUp);
}

void restoreHangUps()
{
    std::signal(SIGHUP, formerHandler);
}

bool takeRecordedHangUp()
{
    const bool isRecorded = hasHungUp != 0;
    hasHungUp = 0;
    return isRecorded;
}

}
