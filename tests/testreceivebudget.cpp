#include "net/receivebudget.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiastand
{

namespace
{

using testing::ElementsAre;
using testing::IsEmpty;

const TimePoint now{Duration{100'000}};
const TimePoint stalled = now - Duration{1'500};

}

class ReceiveBudgetTest : public testing::Test
{
};

// Guards against refusals while the bodies of all requests fit into the budget.
TEST_F(ReceiveBudgetTest, requestsWithinTheBudgetAreKept)
{
    EXPECT_THAT(requestsToRefuse({{1, 400, stalled}, {2, 600, stalled}}, 1'000, now), IsEmpty());
}

// Guards against an ordinary request that is refused in favour of larger ones whose clients have stopped sending.
TEST_F(ReceiveBudgetTest, stalledRequestsAreRefusedFirstAndTheLargestOfThemFirst)
{
    EXPECT_THAT(requestsToRefuse({{1, 100, stalled}, {2, 300, stalled}, {3, 900, now}, {4, 200, stalled}}, 1'050, now), ElementsAre(2, 4));
}

// Guards against a crowd that keeps its memory because all its clients send a few bytes now and then.
TEST_F(ReceiveBudgetTest, largestRequestsAreRefusedWhenNoneIsStalled)
{
    EXPECT_THAT(requestsToRefuse({{1, 100, now}, {2, 300, now}, {3, 900, now}}, 500, now), ElementsAre(3));
}

// Guards against a refusal that says that a request has not run although it is being answered.
TEST_F(ReceiveBudgetTest, completeRequestsAreNeverRefused)
{
    EXPECT_THAT(requestsToRefuse({{1, 900, stalled, true}, {2, 300, now}, {3, 50, stalled}}, 100, now), ElementsAre(3, 2));
}

// Guards against bodies that are changed by their blocks, and against blocks that are not counted.
TEST_F(ReceiveBudgetTest, bodyReceivedInPiecesIsWholeAndCounted)
{
    ReceivedBody body;
    std::string sent;
    for (const std::size_t size : {1U, 700U, 40'000U, 3U, 16'384U, 100'000U}) {
        const std::string piece(size, static_cast<char>('a' + sent.size() % 26));
        const auto expected = body.allocatedBytes + allocationFor(body, size);
        append(body, piece);
        sent += piece;
        EXPECT_EQ(expected, body.allocatedBytes);
        EXPECT_GE(body.allocatedBytes, sent.size());
    }
    EXPECT_EQ(sent, takeText(body));
    EXPECT_EQ(ReceivedBody{}, body);
}

}
