#include "wire/peerframe.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace sequoiastand
{

namespace
{

using testing::HasSubstr;

Job sampleJob()
{
    Job job;
    job.specification.id = {{"kask"}, {"tie-1"}};
    job.specification.deadline = WallTime{Duration{1'700'000'000'000}};
    job.state = JobState::Running;
    job.held.push_back({1, 8, WallTime{Duration{1}}, WallTime{Duration{2}}, true, Duration{3}});
    return job;
}

StoreRelay relayOf(StoreRequest request)
{
    return {{7}, {{8}, std::move(request), 9, Duration{500}}};
}

/// Returns a message of every type and with every type of store request.
std::vector<PeerMessage> sampleMessages()
{
    Heartbeat heartbeat{{1}, true, {"a1"}, {"a"}, "127.0.0.1:1", 2, 3, Duration{4}, 5, {6, 7}, true};
    StoreReply reply{{8}, StoreOutcome::Conflict, 20, 21, Duration{22}, {{jobKey(sampleJob().specification.id), sampleJob(), 23}}, "late"};
    return {
        heartbeat,
        ConfigurationRequest{{2}},
        ConfigurationReply{{3}, 4, {Organisation{{"kask"}, 5, "ab"}, Drain{DrainScope::Rack, "r1"}, OperatorAccount{{"op"}, OperatorRole::Submitter, "cd"}}},
        relayOf(StoreTransaction{{{zoneOwnerKey({"a"}), ZoneOwner{{"a1"}, 2, 3}, Revision{4}, true}, {hostKey({"a2"}), std::nullopt, std::nullopt, false}}}),
        relayOf(StoreRange{{"jobs/"}, true}),
        relayOf(StoreLeaseGrant{Duration{10'000}}),
        relayOf(StoreLeaseKeepAlive{12}),
        relayOf(StoreLeaseRevoke{13}),
        StoreRelayReply{{7}, reply},
        Offer{{14}, sampleJob().specification},
        OfferReply{{15}, Refusal{RefusalReason::ZoneOut, RequestEffect::NotRun, Duration{16}, "out"}, std::nullopt},
        OfferReply{{17}, std::nullopt, sampleJob()},
        Handover{{"a"}, 18}};
}

std::string decodingError(const std::string &bytes)
{
    const auto read = decodePeerFrame(bytes, "b1 (127.0.0.1:2)");
    return read.ok() ? std::string{} : std::string(read.status().message());
}

}

class PeerFrameCodec : public testing::Test
{
};

TEST_F(PeerFrameCodec, everyMessageSurvivesARoundTrip)
{
    for (const auto &message : sampleMessages()) {
        const PeerFrame frame{{"a1"}, message, std::nullopt};
        const auto bytes = encodePeerFrame(frame);
        const auto read = decodePeerFrame(bytes + "next", "peer");
        ASSERT_TRUE(read.ok()) << read.status();
        ASSERT_TRUE(read->has_value());
        EXPECT_EQ(frame, (*read)->frame) << "message kind " << message.index();
        EXPECT_EQ(bytes.size(), (*read)->byteCount);
    }
}

TEST_F(PeerFrameCodec, everyPrefixOfAFrameIsIncompleteAndNotMalformed)
{
    const auto bytes = encodePeerFrame({{"a1"}, Handover{{"a"}, 18}, std::nullopt});
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        const auto read = decodePeerFrame(std::string_view(bytes).substr(0, size), "peer");
        ASSERT_TRUE(read.ok()) << size;
        EXPECT_FALSE(read->has_value()) << size;
    }
}

TEST_F(PeerFrameCodec, lengthBeyondTheLimitIsMalformedBeforeTheBodyArrives)
{
    EXPECT_THAT(decodingError(std::string("\x7f\xff\xff\xff", 4)), HasSubstr("readPeerFrame: b1 (127.0.0.1:2): frame of 2147483647 bytes"));
    EXPECT_THAT(decodingError(std::string(4, '\0')), HasSubstr("frame of 0 bytes"));
}

TEST_F(PeerFrameCodec, otherVersionIsNamed)
{
    auto bytes = encodePeerFrame({{"a1"}, std::nullopt, 1});
    bytes[4] = 9;
    EXPECT_THAT(decodingError(bytes), HasSubstr("frame version 9; this host supports version 1"));
}

// Guards against a wrong element count that makes the decoder allocate memory for data that does not follow.
TEST_F(PeerFrameCodec, anyChangedByteIsAnErrorOrAnotherFrameButNeverACrash)
{
    const auto bytes = encodePeerFrame({{"a1"}, sampleMessages()[2], std::nullopt});
    for (std::size_t index = 5; index < bytes.size(); ++index) {
        for (const int value : {0x00, 0x19, 0x7f, 0xff}) {
            auto changed = bytes;
            changed[index] = static_cast<char>(value);
            const auto read = decodePeerFrame(changed, "peer");
            EXPECT_TRUE(read.ok() || !read.status().message().empty());
        }
    }
}

TEST_F(PeerFrameCodec, unknownFieldIsIgnored)
{
    auto bytes = encodePeerFrame({{"a1"}, std::nullopt, 1});
    // Replaces the stop byte with the field header of a boolean whose id is 15 higher than the last one, and appends the stop byte again.
    bytes.back() = static_cast<char>(0xf1);
    bytes.push_back('\0');
    bytes[3] = static_cast<char>(bytes[3] + 1);

    const auto read = decodePeerFrame(bytes, "peer");

    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ((PeerFrame{{"a1"}, std::nullopt, 1}), (**read).frame);
}

}
