#include "controllers.h"

namespace sequoiastand
{

void syncStore(Blackboard &board)
{
    static_cast<void>(board);
}

}
