#include "controllers.h"

namespace sequoiastand
{

void updateMembership(Blackboard &board)
{
    static_cast<void>(board);
}

}
