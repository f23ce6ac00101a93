#include "answertime.h"

#include <algorithm>

namespace sequoiastand
{

namespace
{

// Weights and factor of RFC 6298, sections 2.2 and 2.3.
constexpr int meanWeight = 8;
constexpr int deviationWeight = 4;
constexpr int deviationsAllowed = 4;

// Least distance of the timeout from the mean (the clock granularity G of section 2.2). Steps of the loop and timers are late by some tens of milliseconds.
constexpr std::chrono::milliseconds leastMargin{50};

}

AnswerTime withSample(AnswerTime time, Duration sample)
{
    if (time == AnswerTime{}) {
        return {sample, sample / 2};
    }
    const auto difference = std::chrono::abs(time.mean - std::chrono::microseconds(sample));
    time.deviation += (difference - time.deviation) / deviationWeight;
    time.mean += (sample - time.mean) / meanWeight;
    return time;
}

AnswerTime withTimeout(AnswerTime time, Duration timeout)
{
    return withSample(time, timeout * 3 / 2);
}

Duration timeoutFor(const AnswerTime &time, Duration least, Duration most)
{
    const auto margin = std::max<std::chrono::microseconds>(leastMargin, deviationsAllowed * time.deviation);
    return std::clamp(std::chrono::duration_cast<Duration>(time.mean + margin), least, most);
}

}
