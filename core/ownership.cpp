#include "controllers.h"

namespace sequoiastand
{

void updateOwnership(Blackboard &board)
{
    static_cast<void>(board);
}

}
