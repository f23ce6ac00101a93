#include "tests/domainfixture.h"

#include <algorithm>
#include <string>

namespace sequoiastand
{

/// A gang with a member on every target, whose record takes a while to be stored.
struct RecordedGang : DomainTest
{
    static constexpr int targets = 16;
    static constexpr Duration storeLatency{90};
    static constexpr Resources halfTarget{16'000, 8'000, 4};
    static constexpr Resources wholeTarget{16'000, 8'000, 8};

    RecordedGang()
    {
        addTargets(targets);
        addHost("h1");
        addHost("h2");
        run(Duration{1'000});
        store.faults.latency = storeLatency;
    }

    /// Lets one target after the other miss the answer to an order of another run for a moment.
    void runWithMissedAnswers(Duration duration)
    {
        int number = 0;
        for (const auto end = now + duration; now < end; ++number) {
            setUnanswered({"t" + std::to_string(number % targets + 1)}, now);
            run(tick);
            setUnanswered({"t" + std::to_string(number % targets + 1)}, std::nullopt);
            run(2 * tick);
        }
    }

    void setUnanswered(const TargetId &target, std::optional<TimePoint> since)
    {
        auto &owning = board(owner());
        owning.targets.update(target, [&](DomainTarget &row) { row.orderUnansweredAt = since; });
        subscribeNoLaterThan(owning.timers, "orders", now); // As the end of an order would, this lets the host take a step.
    }

    bool isStartedOn(const TargetId &target, const RequestId &gang) const
    {
        return std::ranges::any_of(sentOrders, [&](const TargetOrder &order) {
            const auto *start = std::get_if<StartRun>(&order.request);
            return start != nullptr && start->task.step.workflow == gang && order.target == target;
        });
    }
};

// Guards against a gang that is given up and recorded elsewhere whenever one of its targets has not answered another order for a moment.
TEST_F(RecordedGang, gangStartsAlthoughItsTargetsMissAnswersAllTheTime)
{
    submit(id(1), gang(targets, wholeTarget), {}, "h2", "/ordinary/");
    runWithMissedAnswers(Duration{3'000});
    EXPECT_EQ(fleet.starts[id(1)], targets);
}

// Guards against a gang that waits without end because at each moment some target of it has missed an answer.
TEST_F(RecordedGang, gangStartsAlthoughAlwaysOneOfItsTargetsHasMissedAnAnswer)
{
    constexpr int members = targets - 2; // The one that has missed an answer is not chosen.
    submit(id(1), gang(members, wholeTarget), {}, "h2", "/ordinary/");
    for (int number = 0; number < 100; ++number) {
        setUnanswered({"t" + std::to_string(number % targets + 1)}, now);
        setUnanswered({"t" + std::to_string((number + targets - 1) % targets + 1)}, std::nullopt);
        run(4 * tick);
    }
    EXPECT_EQ(fleet.starts[id(1)], members);
}

// Guards against a gang that waits for a target that has gone instead of being placed without it.
TEST_F(RecordedGang, gangIsPlacedElsewhereIfOneOfItsTargetsNoLongerAnswers)
{
    constexpr int members = targets / 2;
    const TaskId first{{id(1), 0, 0}, 0};
    submit(id(1), gang(members, wholeTarget), {}, "h2", "/ordinary/");
    runUntil([&] { return board(owner()).runs.contains(first); }, Duration{1'000});
    const auto lost = board(owner()).runs.find(first)->place.target;
    cutOff(lost.value);
    setUnanswered(lost, now);
    runUntil([&] { return fleet.starts[id(1)] == members; }, Duration{1'500});
    EXPECT_FALSE(isStartedOn(lost, id(1)));
}

// Guards against a single task that waits for a target although it could start on another one at once.
TEST_F(RecordedGang, singleTaskIsPlacedElsewhereAtOnce)
{
    const TaskId first{{id(1), 0, 0}, 0};
    submit(id(1), batch(1, halfTarget), {}, "h2", "/ordinary/");
    runUntil([&] { return board(owner()).runs.contains(first); }, Duration{1'000});
    setUnanswered(board(owner()).runs.find(first)->place.target, now);
    runUntil([&] { return fleet.starts[id(1)] == 1; }, 4 * storeLatency);
}

}
