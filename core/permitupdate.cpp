#include "controllers.h"

namespace sequoiastand
{

void updatePermit(Blackboard &board)
{
    static_cast<void>(board);
}

}
