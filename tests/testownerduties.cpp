#include "tests/domainfixture.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace sequoiastand
{

/// Three hosts and eight targets, of which the owner keeps its lease while the store refuses a part of its calls.
struct OwnerDuties : DomainTest
{
    // A job that could run must not stand still for 3 s once all has been calm for `contactMs`, which is 3 s at least.
    static constexpr Duration longestStandstill{6'000};

    OwnerDuties()
    {
        addTargets(8);
        for (const char *host : {"h1", "h2", "h3"}) {
            addHost(host);
        }
        run(Duration{4'000});
    }

    std::string otherHost()
    {
        return owner() == "h1" ? "h2" : "h1";
    }

    int startsOf(int number)
    {
        const auto starts = fleet.starts.find(id(number));
        return starts == fleet.starts.end() ? 0 : starts->second;
    }

    long long ownershipsBegun()
    {
        long long begun = 0;
        for (const char *host : {"h1", "h2", "h3"}) {
            begun += board(host).counters.values[{"ownershipsBegun", ""}];
        }
        return begun;
    }
};

// Guards against an owner that stops working without a word in its log: the overdue duty is reported when that begins, repeatedly, and when it ends.
TEST_F(OwnerDuties, refusedTransactionsAreReportedUntilTheyAreServedAgain)
{
    const auto host = owner();
    const auto linesWith = [&](const std::string &text) {
        return std::ranges::count_if(history,
                                     [&](const std::string &line) { return absl::StrContains(line, host + " checkDuties") && absl::StrContains(line, text); });
    };
    store.faults.refusedTransactions = {{"h1"}, {"h2"}, {"h3"}};
    run(Duration{8'000});
    EXPECT_EQ(linesWith("proveConfiguration  overdue for"), 1);
    EXPECT_EQ(linesWith("proveConfiguration  still overdue after"), 1);
    EXPECT_EQ(linesWith("status 503"), linesWith("overdue"));
    store.faults.refusedTransactions.clear();
    run(Duration{2'000});
    EXPECT_EQ(linesWith("proveConfiguration  done again after"), 1);
    EXPECT_EQ(overdueTime(board(host), OwnerDuty::ProveConfiguration), Duration{0});
}

}
