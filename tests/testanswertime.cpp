#include "tests/domainfixture.h"
#include "workflow/answertime.h"

#include <algorithm>
#include <string>

namespace sequoiastand
{

struct AnswerTimes : testing::Test
{
    static constexpr Duration least{200};
    static constexpr Duration most{600};

    Duration timeoutAfter(int samples, Duration sample)
    {
        for (int number = 0; number < samples; ++number) {
            time = withSample(time, sample);
        }
        return timeoutFor(time, least, most);
    }

    AnswerTime time;
};

TEST_F(AnswerTimes, quickAnswersKeepTheShortestTimeout)
{
    EXPECT_EQ(timeoutFor(time, least, most), least);
    EXPECT_EQ(timeoutAfter(100, Duration{5}), least);
}

TEST_F(AnswerTimes, timeoutExceedsSteadyAnswers)
{
    const auto timeout = timeoutAfter(100, Duration{300});
    EXPECT_GT(timeout, Duration{300});
    EXPECT_LE(timeout, Duration{350});
}

// Guards against an estimate that never grows because answers that come after the timeout are not seen.
TEST_F(AnswerTimes, unansweredCallsRaiseTheTimeout)
{
    for (int number = 0; number < 5; ++number) {
        time = withTimeout(time, timeoutFor(time, least, most));
    }
    EXPECT_EQ(timeoutFor(time, least, most), most);
    EXPECT_EQ(timeoutAfter(100, Duration{5}), least);
}

// Guards against a timeout that one lost answer among many raises for all other starts.
TEST_F(AnswerTimes, singleLostAnswerKeepsTheShortestTimeout)
{
    timeoutAfter(100, Duration{5});
    time = withTimeout(time, least);
    EXPECT_LT(timeoutAfter(10, Duration{5}), least + Duration{1});
}

/// Targets that answer each order after 300 ms, as on a machine that is short of processor time.
struct LateAnswers : DomainTest
{
    static constexpr Duration answerDelay{300};

    LateAnswers()
    {
        addTargets(8);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
        for (const auto &[target, row] : fleet.targets) {
            slowTargets[target] = answerDelay;
        }
    }

    long startsSent()
    {
        return std::ranges::count_if(sentOrders, [](const TargetOrder &order) { return std::holds_alternative<StartRun>(order.request); });
    }
};

// Guards against starts that are given up before their answers arrive, and whose repetitions add to the load that delays the answers.
TEST_F(LateAnswers, startsAreNotRepeatedOnceTheAnswerTimeIsKnown)
{
    constexpr int known = 8;
    constexpr int further = 40;
    for (int number = 1; number <= known; ++number) {
        submit(id(number), batch(1, {1'000, 1'000, 1}), {.work = Duration{3'000}}, "h2");
        run(Duration{200});
    }
    run(Duration{2'000});
    const auto before = startsSent();
    for (int number = known + 1; number <= known + further; ++number) {
        submit(id(number), batch(1, {100, 100, 0}), {.work = Duration{3'000}}, "h2");
        run(Duration{50});
    }
    run(Duration{2'000});
    EXPECT_EQ(startsSent() - before, further);
}

}
