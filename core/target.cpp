#include "target.h"

namespace sequoiastand
{

bool isUsable(const TargetLease &lease, TimePoint now)
{
    return lease.state == LeaseState::Held && now < lease.expiry;
}

bool hasEnded(TaskState state)
{
    return state == TaskState::Finished || state == TaskState::Failed || state == TaskState::Stopped;
}

}
