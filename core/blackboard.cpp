#include "blackboard.h"

#include "random.h"

namespace sequoiastand
{

CallId takeCallId(Blackboard &board)
{
    return CallId{board.nextCallId++};
}

unsigned long long takeRandom(Blackboard &board)
{
    return nextRandom(board.randomState);
}

Duration takeJitter(Blackboard &board, Duration bound)
{
    return nextJitter(board.randomState, bound);
}

}
