#include "controllers.h"

namespace sequoiastand
{

void driveAttempts(Blackboard &board)
{
    static_cast<void>(board);
}

}
