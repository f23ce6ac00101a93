#include "loopback.h"
#include "net/peerlink.h"
#include "net/peerlistener.h"
#include "wire/peerframe.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace sequoiastand
{

namespace
{

using testing::Contains;
using testing::HasSubstr;

Heartbeat heartbeatOf(const std::string &host)
{
    Heartbeat heartbeat;
    heartbeat.id = {5};
    heartbeat.host = {host};
    heartbeat.availabilityZone = {"a"};
    heartbeat.storeReadAge = Duration{250};
    return heartbeat;
}

}

class PeerLinkPair : public testing::Test
{
protected:
    PeerLinkPair()
        : m_listener(
            m_loop,
            {"b1"},
            {.maxConnections = 2},
            [this](Event event) { m_events.push_back(std::move(event)); },
            [this](const std::string &step, const std::string &peer, const std::string &message) { addError(step, peer, message); })
        , m_links(m_loop, {"a1"}, limitsWith(testTimeout), errorSink())
    {
        EXPECT_TRUE(m_listener.listen("127.0.0.1:0").ok());
    }

    static PeerLinkLimits limitsWith(Duration acknowledgeTimeout)
    {
        return {.connectTimeout = testTimeout, .acknowledgeTimeout = acknowledgeTimeout, .reconnectDelay = Duration{1}, .maxQueuedBytes = 4096};
    }

    ErrorSink errorSink()
    {
        return [this](const std::string &step, const std::string &peer, const std::string &message) { addError(step, peer, message); };
    }

    void addError(const std::string &step, const std::string &peer, const std::string &message)
    {
        m_errors.push_back(step + ": " + peer + ": " + message);
    }

    bool wait(const std::function<bool()> &isDone)
    {
        return m_loop.runUntil(isDone, testTimeout);
    }

    EventLoop m_loop;
    std::vector<Event> m_events;
    std::vector<std::string> m_errors;
    PeerListener m_listener;
    PeerLinks m_links;
};

TEST_F(PeerLinkPair, messageArrivesWithItsSender)
{
    m_links.send({{"b1"}, loopbackAddress(m_listener.port()), heartbeatOf("a1")});

    ASSERT_TRUE(wait([this] { return !m_events.empty(); }));
    EXPECT_EQ(Event(PeerMessageReceived{{"a1"}, heartbeatOf("a1")}), m_events[0]);
    EXPECT_EQ(1U, m_listener.connectionCount());
}

TEST_F(PeerLinkPair, secondMessageUsesTheSameConnection)
{
    m_links.send({{"b1"}, loopbackAddress(m_listener.port()), heartbeatOf("a1")});
    ASSERT_TRUE(wait([this] { return m_events.size() == 1; }));
    m_links.send({{"b1"}, loopbackAddress(m_listener.port()), Handover{{"a"}, 3}});

    ASSERT_TRUE(wait([this] { return m_events.size() == 2; }));
    EXPECT_EQ(1U, m_listener.connectionCount());
}

// Guards against a connection that stays open and accepts bytes but delivers none. Without acknowledgements it would be used forever.
TEST_F(PeerLinkPair, connectionWithoutAcknowledgementsIsReplaced)
{
    ScriptedListener unresponsive(m_loop, {});
    PeerLinks links(m_loop, {"a1"}, limitsWith(Duration{30}), errorSink());
    links.send({{"b1"}, unresponsive.address(), heartbeatOf("a1")});

    ASSERT_TRUE(wait([this] { return !m_errors.empty(); }));
    EXPECT_THAT(m_errors[0], HasSubstr("sendPeer: b1 (" + unresponsive.address() + "): no acknowledgement in time"));
    links.send({{"b1"}, unresponsive.address(), heartbeatOf("a1")});
    EXPECT_TRUE(wait([&unresponsive] { return unresponsive.acceptedCount() == 2; }));
}

// Guards against a peer, or another process at its address, that fills the host's memory with a frame where only acknowledgements are expected.
TEST_F(PeerLinkPair, largeFrameInsteadOfAnAcknowledgementClosesTheConnection)
{
    const std::string head("\x04\x00\x00\x00\x01", 5);
    ScriptedListener peer(m_loop, {{.answer = head + std::string(std::size_t{100} * 1024, 'x')}});
    m_links.send({{"b1"}, peer.address(), heartbeatOf("a1")});

    ASSERT_TRUE(wait([this] { return !m_errors.empty(); }));
    EXPECT_EQ("sendPeer: b1 (" + peer.address() + "): more than 65536 bytes without an acknowledgement", m_errors[0]);
}

TEST_F(PeerLinkPair, refusedConnectIsReportedWithThePeerAndTriedAgain)
{
    const auto address = loopbackAddress(closedPort());
    m_links.send({{"b1"}, address, heartbeatOf("a1")});

    ASSERT_TRUE(wait([this] { return !m_errors.empty(); }));
    EXPECT_EQ("connectPeer: b1 (" + address + "): Connection refused; 1 queued messages dropped", m_errors[0]);
    m_links.send({{"b1"}, loopbackAddress(m_listener.port()), heartbeatOf("a1")});
    EXPECT_TRUE(wait([this] { return !m_events.empty(); }));
}

TEST_F(PeerLinkPair, messageBeyondTheQueueLimitIsDroppedAndReported)
{
    Offer offer;
    offer.specification.payload = std::string(8192, 'x');
    m_links.send({{"b1"}, loopbackAddress(m_listener.port()), offer});

    ASSERT_EQ(1U, m_errors.size());
    EXPECT_THAT(m_errors[0], HasSubstr("bytes dropped"));
}

// Guards against heartbeats that are dropped because another peer does not read its messages.
TEST_F(PeerLinkPair, smallFrameIsQueuedOnAnEmptyLinkWhateverTheOthersHold)
{
    constexpr std::size_t limit = std::size_t{1024} * 1024;
    EXPECT_TRUE(mayQueueFrame(1'000, {.onLink = 0, .onAllLinks = limit}, limit));
    EXPECT_FALSE(mayQueueFrame(1'000, {.onLink = 1'000, .onAllLinks = limit}, limit));
    EXPECT_FALSE(mayQueueFrame(2'000, {.onLink = 0, .onAllLinks = limit}, limit));
    EXPECT_TRUE(mayQueueFrame(2'000, {.onLink = 100'000, .onAllLinks = limit - 2'000}, limit));
}

// Guards against messages for several peers that together take more memory than the limit, though those for each one do not.
TEST_F(PeerLinkPair, messagesForAllPeersTogetherAreKeptWithinTheLimit)
{
    Offer offer;
    offer.specification.payload = std::string(2'500, 'x');
    const auto address = loopbackAddress(closedPort());
    m_links.send({{"c1"}, address, offer});
    m_links.send({{"d1"}, address, offer});

    EXPECT_LE(m_links.queuedBytes(), 4'096U);
    EXPECT_EQ(1, m_links.droppedMessages());
}

TEST_F(PeerLinkPair, malformedFrameClosesTheConnectionAndNamesThePeer)
{
    RawClient client(m_loop, m_listener.port());
    client.send(std::string("\x00\x00\x00\x04\x01\xff\xff\xff", 8));

    ASSERT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
    ASSERT_EQ(1U, m_errors.size());
    EXPECT_THAT(m_errors[0], HasSubstr("readPeerFrame: 127.0.0.1:"));
    EXPECT_TRUE(m_events.empty());
}

// Guards against a loop that never sleeps: a frame of the maximum size that was read up to its last bytes was neither read on nor closed.
TEST_F(PeerLinkPair, frameOfTheMaximumSizeIsReadToItsEnd)
{
    const std::string head("\x04\x00\x00\x00\x01", 5);
    static_assert(maxPeerFrameBytes == 0x0400'0000);
    RawClient client(m_loop, m_listener.port());
    client.send(head);
    const std::string piece(std::size_t{64} * 1024, '\xff');
    for (std::size_t sent = 2; sent < maxPeerFrameBytes; sent += piece.size()) {
        client.send(piece.substr(0, maxPeerFrameBytes - sent));
        m_loop.runUntil([] { return false; }, Duration{1});
    }
    client.send("x");

    ASSERT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
    EXPECT_THAT(m_errors, Contains(HasSubstr("readPeerFrame: 127.0.0.1:")));
}

// Guards against peers that lose an unfinished frame to a client that has started a larger one.
TEST_F(PeerLinkPair, clientWithoutFramesIsClosedForThePeerWhenBothExceedTheBudget)
{
    PeerListener listener(
        m_loop, {"b1"}, {.receiveBudgetBytes = std::size_t{200} * 1024}, [this](Event event) { m_events.push_back(std::move(event)); }, errorSink());
    ASSERT_TRUE(listener.listen("127.0.0.1:0").ok());
    const std::string head("\x00\x10\x00\x00\x01", 5);
    RawClient peer(m_loop, listener.port());
    peer.send(encodePeerFrame({{"c1"}, heartbeatOf("c1"), std::nullopt}) + head + std::string(std::size_t{120} * 1024, 'x'));
    ASSERT_TRUE(wait([&] { return listener.heldBytes() > std::size_t{120} * 1024; }));
    RawClient client(m_loop, listener.port());
    client.send(head + std::string(std::size_t{110} * 1024, 'x'));

    ASSERT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
    EXPECT_FALSE(peer.isClosedByPeer());
    EXPECT_LE(listener.heldBytes(), std::size_t{200} * 1024);
    EXPECT_EQ(PeerConnectionEnds{.overBudget = 1}, listener.connectionEnds());
}

// Guards against a host that sends messages in the name of another host.
TEST_F(PeerLinkPair, changedSenderClosesTheConnection)
{
    RawClient client(m_loop, m_listener.port());
    client.send(encodePeerFrame({{"c1"}, heartbeatOf("c1"), std::nullopt}) + encodePeerFrame({{"d1"}, heartbeatOf("d1"), std::nullopt}));

    ASSERT_TRUE(wait([&client] { return client.isClosedByPeer(); }));
    EXPECT_THAT(m_errors, Contains(HasSubstr("unexpected sender \"d1\"")));
    EXPECT_EQ(1U, m_events.size());
}

// Guards against frames that are lost, or left unread, when more arrive at once than are handled before the next step.
TEST_F(PeerLinkPair, framesBeyondATurnArriveAlsoAfterTheirSenderHasClosed)
{
    constexpr int count = 1'000;
    std::string frames;
    for (int number = 0; number < count; ++number) {
        frames += encodePeerFrame({{"c1"}, Handover{{"a"}, number}, std::nullopt});
    }
    RawClient client(m_loop, m_listener.port());
    client.send(frames);
    client.endSending();

    ASSERT_TRUE(wait([this] { return m_events.size() == count; }));
    EXPECT_EQ(Event(PeerMessageReceived{{"c1"}, Handover{{"a"}, count - 1}}), m_events.back());
    EXPECT_TRUE(wait([this] { return m_listener.connectionCount() == 0; }));
    EXPECT_TRUE(m_errors.empty());
}

// Guards against a burst of small frames that takes a hundred times its size as events before any of them is handled.
TEST_F(PeerLinkPair, eventsOfABurstAreSpreadOverTurnsOfTheLoop)
{
    std::string frames;
    for (int number = 0; number < 1'000; ++number) {
        frames += encodePeerFrame({{"c1"}, Handover{{"a"}, number}, std::nullopt});
    }
    RawClient client(m_loop, m_listener.port());
    client.send(frames);

    std::size_t handled = 0;
    std::size_t mostAtOnce = 0;
    ASSERT_TRUE(wait([&] {
        mostAtOnce = std::max(mostAtOnce, m_events.size() - handled);
        handled = m_events.size();
        return handled == 1'000;
    }));
    EXPECT_LE(mostAtOnce, 128U);
}

// Guards against peers that cannot connect because connections without frames hold the listener.
TEST_F(PeerLinkPair, connectionBeyondTheLimitReplacesTheOldestWithoutFrames)
{
    RawClient first(m_loop, m_listener.port());
    RawClient second(m_loop, m_listener.port());
    RawClient third(m_loop, m_listener.port());

    ASSERT_TRUE(wait([&first] { return first.isClosedByPeer(); }));
    EXPECT_EQ(2U, m_listener.connectionCount());
    EXPECT_FALSE(second.isClosedByPeer() || third.isClosedByPeer());
    EXPECT_EQ(PeerConnectionEnds{.replaced = 1}, m_listener.connectionEnds());
}

TEST_F(PeerLinkPair, connectionBeyondTheLimitIsClosedWhileAllOthersSendFrames)
{
    RawClient first(m_loop, m_listener.port());
    RawClient second(m_loop, m_listener.port());
    first.send(encodePeerFrame({{"c1"}, heartbeatOf("c1"), std::nullopt}));
    second.send(encodePeerFrame({{"d1"}, heartbeatOf("d1"), std::nullopt}));
    ASSERT_TRUE(wait([this] { return m_events.size() == 2; }));
    RawClient third(m_loop, m_listener.port());

    ASSERT_TRUE(wait([&third] { return third.isClosedByPeer(); }));
    EXPECT_EQ(2U, m_listener.connectionCount());
    EXPECT_FALSE(first.isClosedByPeer() || second.isClosedByPeer());
    EXPECT_EQ(PeerConnectionEnds{.refused = 1}, m_listener.connectionEnds());
}

}
