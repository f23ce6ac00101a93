#pragma once

#include "core/time.h"

#include <chrono>

namespace sequoiastand
{

/// Smoothed answer time and its mean deviation, after RFC 6298.
struct AnswerTime
{
    std::chrono::microseconds mean{0};
    std::chrono::microseconds deviation{0};

    friend bool operator==(const AnswerTime &, const AnswerTime &) = default;
};

AnswerTime withSample(AnswerTime time, Duration sample);

/// Adds a call without an answer. Its answer would have taken longer than the timeout, so the estimate grows until calls are answered again.
AnswerTime withTimeout(AnswerTime time, Duration timeout);

/// Time after which a call counts as unanswered: the mean and four deviations, or 50 ms if that is more, within the bounds.
Duration timeoutFor(const AnswerTime &time, Duration least, Duration most);

}
