#include "controllers.h"

namespace sequoiastand
{

void updateFleet(Blackboard &board)
{
    static_cast<void>(board);
}

}
