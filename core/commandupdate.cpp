#include "controllers.h"

namespace sequoiastand
{

void updateCommands(Blackboard &board)
{
    static_cast<void>(board);
}

}
