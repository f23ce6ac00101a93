#include "tests/domainfixture.h"

#include <algorithm>

namespace sequoiastand
{

/// A gang that was recorded by an owner that crashed before it sent the starts.
struct TakeOver : DomainTest
{
    static constexpr Resources wholeTarget{16'000, 8'000, 8};
    static constexpr Duration storeLatency{90};

    TakeOver()
    {
        addTargets(targets);
        addHost("h1");
        addHost("h2");
        run(Duration{3'000});
    }

    /// Lets the owner record the gang and crash before the store's answer, and waits until the other host owns the domain.
    void recordGangAndCrash()
    {
        const auto former = owner();
        other = former == "h1" ? "h2" : "h1";
        store.faults.latency = storeLatency;
        submit(id(1), gang(targets, wholeTarget), {}, other, "/ordinary/");
        runUntil([&] { return isRecorded(); }, Duration{1'000});
        kill(former);
        store.faults.latency = Duration{1};
        ASSERT_EQ(fleet.starts[id(1)], 0);
        runUntil([&] { return hasAuthority(board(other)); }, Duration{5'000});
    }

    bool isRecorded() const
    {
        const auto row = store.rows.find(workflowProgressKey(id(1)));
        if (row == store.rows.end()) {
            return false;
        }
        const auto &occurrences = std::get<WorkflowProgress>(row->second.record).occurrences;
        return !occurrences.empty() && occurrences.begin()->second.steps.at(0).at(0).place.has_value();
    }

    static constexpr int targets = 16;
    std::string other;
};

// Guards against a gang that was recorded and not started and that, after a change of owner, waits for two long holds of its targets.
TEST_F(TakeOver, recordedGangStartsSoonAlthoughItsStartsWereNeverSent)
{
    recordGangAndCrash();
    runUntil([&] { return fleet.starts[id(1)] == targets; }, Duration{600});
}

// Guards against the same wait on targets that answer late, whose first lists may be older than the adoption of the run.
TEST_F(TakeOver, recordedGangStartsSoonOnTargetsThatAnswerLate)
{
    for (const auto &[target, model] : fleet.targets) {
        slowTargets[target] = Duration{60};
    }
    recordGangAndCrash();
    runUntil([&] { return fleet.starts[id(1)] == targets; }, Duration{1'000});
}

}
