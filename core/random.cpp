#include "random.h"

namespace sequoiastand
{

unsigned long long nextRandom(unsigned long long &state)
{
    state += 0x9e3779b97f4a7c15ULL;
    unsigned long long mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31U);
}

Duration nextJitter(unsigned long long &state, Duration bound)
{
    if (bound <= Duration{0}) {
        return Duration{0};
    }
    return Duration{static_cast<Duration::rep>(nextRandom(state) % static_cast<unsigned long long>(bound.count() + 1))};
}

}
