#include "controllers.h"

namespace sequoiastand
{

void updatePlan(Blackboard &board)
{
    static_cast<void>(board);
}

}
