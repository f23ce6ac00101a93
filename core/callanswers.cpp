#include "controllers.h"

namespace sequoiastand
{

void answerCallers(Blackboard &board)
{
    static_cast<void>(board);
}

}
