#include "tests/domainfixture.h"

#include <absl/strings/match.h>

#include <algorithm>

namespace sequoiastand
{

/// Two hosts, of which the one that does not own the domain answers queries.
struct QueryLine : DomainTest
{
    QueryLine()
    {
        addTargets(4);
        addHost("h1");
        addHost("h2");
        run(Duration{2'000});
    }

    std::string otherHost()
    {
        return owner() == "h1" ? "h2" : "h1";
    }

    /// True if the answer to a query at a host that is not the owner has a log line with the text.
    bool isLogged(int number, const std::string &text)
    {
        const auto host = otherHost();
        answerTo(query(id(number), host, "/ordinary/"));
        return std::ranges::any_of(history, [&](const std::string &line) {
            return absl::StrContains(line, host + " answerCall") && absl::StrContains(line, id(number).value) && absl::StrContains(line, text);
        });
    }
};

// Guards against a query whose log line does not tell a job that was never placed from one whose runs are recorded and do not start.
TEST_F(QueryLine, queryOfAJobThatWaitsNamesWhatTheOwnerHasStored)
{
    answerTo(submit(id(1), batch(32, {1'000, 1'000, 1}, Duration{60'000}), {Duration{60'000}, {}}, "h1", "/ordinary/"));
    run(Duration{1'000});
    answerTo(submit(id(2), batch(1, {1'000, 1'000, 1}), {}, "h1", "/ordinary/"));
    run(Duration{1'000});
    EXPECT_TRUE(isLogged(1, "stored: 0 of 32 tasks finished, 32 runs recorded, the first on t"));
    EXPECT_TRUE(isLogged(2, "queued after"));
    EXPECT_TRUE(isLogged(2, ", stored: no run recorded"));
}

// Guards against a job that shows as running while nothing of it runs: the line tells that no run of it is recorded.
TEST_F(QueryLine, queryOfAJobBetweenTwoRunsNamesThatNoneIsRecorded)
{
    auto specification = batch(1, {1'000, 1'000, 1});
    specification.steps.front().isLasting = true;
    answerTo(submit(id(1), specification, {.work = Duration{100}, .lastingEnd = RunEnd::Failed}, "h1", "/ordinary/"));
    run(Duration{6'000});
    runUntil([&] { return board(owner()).runs.isEmpty(); }, Duration{5'000});
    run(Duration{100});
    EXPECT_TRUE(isLogged(1, "stored: 0 of 1 tasks finished, no run recorded now"));
}

}
