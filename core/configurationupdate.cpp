#include "controllers.h"

namespace sequoiastand
{

void updateConfiguration(Blackboard &board)
{
    static_cast<void>(board);
}

}
