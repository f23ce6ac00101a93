#include "blackboard.h"

namespace sequoiastand
{

CallId takeCallId(Blackboard &board)
{
    return CallId{board.nextCallId++};
}

unsigned long long takeRandom(Blackboard &board)
{
    // SplitMix64, Steele, Lea and Flood, OOPSLA 2014.
    board.randomState += 0x9e3779b97f4a7c15ULL;
    unsigned long long mixed = board.randomState;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

Duration takeJitter(Blackboard &board, Duration bound)
{
    if (bound <= Duration{0}) {
        return Duration{0};
    }
    return Duration{static_cast<Duration::rep>(takeRandom(board) % static_cast<unsigned long long>(bound.count() + 1))};
}

}
