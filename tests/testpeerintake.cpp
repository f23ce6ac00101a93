#include "net/peerintake.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct PeerIntakeTest : testing::Test
{
    /// A connection without a frame for some seconds.
    PeerIntake connection(int descriptor, std::size_t heldBytes, bool hasSentFrame, int secondsWithoutFrame) const
    {
        return {descriptor, heldBytes, hasSentFrame, now - Duration{secondsWithoutFrame * 1'000}};
    }

    TimePoint now{Duration{1'000'000}};
};

TEST_F(PeerIntakeTest, connectionThatHasNeverSentAFrameIsReplacedBeforeASilentPeer)
{
    EXPECT_EQ(8, connectionToReplace({connection(7, 0, true, 100), connection(8, 0, false, 1), connection(9, 0, false, 0)}, now));
}

TEST_F(PeerIntakeTest, peerThatHasBeenSilentForLongestIsReplacedIfAllHaveSentFrames)
{
    EXPECT_EQ(8, connectionToReplace({connection(7, 0, true, 20), connection(8, 0, true, 30), connection(9, 0, true, 1)}, now));
}

// Guards against peers that lose their connections to a flood of new ones.
TEST_F(PeerIntakeTest, peersThatSendFramesAreNotReplaced)
{
    EXPECT_EQ(std::nullopt, connectionToReplace({connection(7, 0, true, 2), connection(8, 0, true, 3)}, now));
}

TEST_F(PeerIntakeTest, noConnectionIsClosedWithinTheBudget)
{
    EXPECT_EQ(std::nullopt, connectionOverBudget({}, 100, now));
    EXPECT_EQ(std::nullopt, connectionOverBudget({connection(7, 60, false, 60), connection(8, 40, false, 60)}, 100, now));
}

TEST_F(PeerIntakeTest, connectionThatHasNeverSentAFrameIsClosedBeforeAPeerThatHoldsMore)
{
    EXPECT_EQ(8, connectionOverBudget({connection(7, 80, true, 60), connection(8, 60, false, 0)}, 100, now));
}

TEST_F(PeerIntakeTest, stalledConnectionIsClosedBeforeOneThatHoldsMore)
{
    EXPECT_EQ(8, connectionOverBudget({connection(7, 80, false, 0), connection(8, 60, false, 60)}, 100, now));
}

TEST_F(PeerIntakeTest, connectionWithTheMostBytesIsClosedAmongEqualOnes)
{
    EXPECT_EQ(7, connectionOverBudget({connection(7, 80, false, 60), connection(8, 60, false, 60)}, 100, now));
}

// Guards against small frames that are cut off because of a large one elsewhere.
TEST_F(PeerIntakeTest, connectionWithLessThanAnEqualShareIsNotClosed)
{
    EXPECT_EQ(7, connectionOverBudget({connection(7, 101, true, 0), connection(8, 10, false, 60)}, 100, now));
}

}
