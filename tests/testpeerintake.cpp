#include "net/peerintake.h"

#include <gtest/gtest.h>

namespace sequoiastand
{

struct PeerIntakeTest : testing::Test
{
    /// A connection without a frame for some seconds.
    PeerIntake connection(int descriptor, bool hasSentFrame, int secondsWithoutFrame) const
    {
        return {descriptor, hasSentFrame, now - Duration{secondsWithoutFrame * 1'000}};
    }

    TimePoint now{Duration{1'000'000}};
};

TEST_F(PeerIntakeTest, connectionThatHasNeverSentAFrameIsReplacedBeforeASilentPeer)
{
    EXPECT_EQ(8, connectionToReplace({connection(7, true, 100), connection(8, false, 1), connection(9, false, 0)}, now));
}

TEST_F(PeerIntakeTest, peerThatHasBeenSilentForLongestIsReplacedIfAllHaveSentFrames)
{
    EXPECT_EQ(8, connectionToReplace({connection(7, true, 20), connection(8, true, 30), connection(9, true, 1)}, now));
}

// Guards against peers that lose their connections to a flood of new ones.
TEST_F(PeerIntakeTest, peersThatSendFramesAreNotReplaced)
{
    EXPECT_EQ(std::nullopt, connectionToReplace({connection(7, true, 2), connection(8, true, 3)}, now));
}

}
