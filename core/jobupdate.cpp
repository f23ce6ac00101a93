#include "controllers.h"

namespace sequoiastand
{

void updateJobs(Blackboard &board)
{
    static_cast<void>(board);
}

}
