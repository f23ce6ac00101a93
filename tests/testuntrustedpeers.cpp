#include "core/storerecord.h"
#include "servefixture.h"
#include "wire/jsonfields.h"
#include "wire/peerframe.h"
#include "wire/recordjson.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace sequoiastand
{

namespace
{

// Connections that the peer listener and each internal HTTP listener allow.
constexpr std::size_t peerConnections = 64;
constexpr std::size_t internalConnections = 200;

// Long enough that no connection of a crowd is closed for its age during a test.
constexpr int longTimeoutMs = 120'000;

/// The length and version of a frame, without its message.
std::string frameHead(std::size_t length)
{
    std::string head;
    for (const unsigned shift : {24U, 16U, 8U, 0U}) {
        head.push_back(static_cast<char>(length >> shift & 0xffU));
    }
    head.push_back(1);
    return head;
}

Heartbeat heartbeatOf(const std::string &host, const std::string &address)
{
    Heartbeat heartbeat;
    heartbeat.id = {1};
    heartbeat.host = {host};
    heartbeat.availabilityZone = {"b"};
    heartbeat.address = address;
    return heartbeat;
}

}

/// A host of a zone domain and a crowd of clients on its peer listener. The crowd stays connected until the end of the test.
struct UntrustedPeers : ServeTest
{
    UntrustedPeers()
    {
        startZoneHost();
    }

    Crowd crowd{loop};
};

// Guards against a host that ends for lack of memory because peers start large frames and do not finish them.
TEST_F(UntrustedPeers, largestFramesThatStopAByteShortKeepTheHostWithinItsMemory)
{
    crowd.connect(peerPort, 6);
    crowd.sendOnEach(frameHead(maxPeerFrameBytes) + std::string(maxPeerFrameBytes - 2, 'x'));
    run(Duration{500});

    expectWithinMachine(peerConnections);
    EXPECT_TRUE(isHeartbeatAcknowledged());
}

// Guards against a host that is kept busy, or whose memory grows, because frames arrive in single bytes.
TEST_F(UntrustedPeers, framesInSingleBytesKeepTheHostWithinItsMemory)
{
    crowd.connect(peerPort, 20);
    const auto bytes = frameHead(maxPeerFrameBytes) + std::string(500, 'x');
    std::ranges::for_each(bytes, [this](char byte) { crowd.sendOnEach({&byte, 1}); });
    run(Duration{500});

    expectWithinMachine(peerConnections);
    EXPECT_TRUE(isHeartbeatAcknowledged());
}

// Guards against a host that makes room for as many bytes as a frame announces.
TEST_F(UntrustedPeers, framesAnnouncedFarOverTheLimitKeepTheHostWithinItsMemory)
{
    crowd.connect(peerPort, 60);
    crowd.sendOnEach(frameHead(0xffff'ffffU) + std::string(std::size_t{256} * 1024, 'x'));
    run(Duration{500});

    expectWithinMachine(peerConnections);
    EXPECT_TRUE(isHeartbeatAcknowledged());
}

// Guards against a host that no peer reaches any more because connections without a frame hold its peer listener.
TEST_F(UntrustedPeers, silentConnectionsKeepNoPeerOut)
{
    crowd.connect(peerPort, 200);
    run(Duration{500});

    expectWithinMachine(peerConnections);
    EXPECT_TRUE(isHeartbeatAcknowledged());
}

// Guards against a host that collects messages, or acknowledgements, of peers that send faster than they read.
TEST_F(UntrustedPeers, unreadAcknowledgementsKeepTheHostWithinItsMemory)
{
    std::string frames;
    for (int count = 0; count < 20'000; ++count) {
        frames += encodePeerFrame({{"c1"}, Handover{{"b"}, 1}, std::nullopt});
    }
    crowd.connect(peerPort, 8);
    crowd.sendOnEach(frames);
    run(Duration{500});

    expectWithinMachine(peerConnections);
    EXPECT_TRUE(isHeartbeatAcknowledged());
}

// Guards against a host that ends for lack of memory because peers ask for the store's content and do not read it.
TEST_F(UntrustedPeers, unreadRelayedReadsKeepTheHostWithinItsMemory)
{
    constexpr std::size_t statementBytes = std::size_t{256} * 1024;
    for (const long long version : {1, 2, 3, 4}) {
        ConfigurationChange change;
        change.version = version;
        change.statement = std::string(statementBytes, 'x');
        const KeyValuePut put{"sequoiastand/" + configurationHistoryKey(version).path, toText(toJson(StoreRecord(change)))};
        keyValue.model = applyRequest(std::move(keyValue.model), put, EventLoop::now()).model;
    }
    const UnreadListener listener;
    for (const std::string host : {"c1", "c2", "c3"}) {
        std::string frames = encodePeerFrame({{host}, heartbeatOf(host, listener.address()), std::nullopt});
        for (int count = 0; count < 40; ++count) {
            const StoreCall call{{8}, StoreRange{{"config/history/"}, true}, 0, Duration{10'000}};
            frames += encodePeerFrame({{host}, StoreRelay{{7}, call}, std::nullopt});
        }
        Crowd peer(loop);
        peer.connect(peerPort, 1);
        peer.sendOnEach(frames);
        run(Duration{200});
    }
    run(Duration{2'000});

    expectWithinMachine(peerConnections);
    EXPECT_TRUE(isHeartbeatAcknowledged());
}

/// A crowd on a host's callers' listener or on its internal listeners.
struct UntrustedProbes : ServeTest
{
    Crowd crowd{loop};
};

// Guards against a host that is taken for dead, or shows no metrics, because callers hold all connections that it allows.
TEST_F(UntrustedProbes, healthAndMetricsAreAnsweredBesideCallersThatHoldAllConnections)
{
    startZoneHost({{"maxConnections", 20}, {"requestTimeoutMs", longTimeoutMs}, {"idleTimeoutMs", longTimeoutMs}});
    crowd.connect(callerPort, 40);
    run(Duration{500});

    expectWithinMachine(20 + peerConnections);
    EXPECT_EQ(200, statusOf(callerPort, "/healthz"));
    EXPECT_EQ(200, statusOf(callerPort, "/metrics"));
}

// Guards against a host that accepts no connection any more because callers also hold the connections that it only accepts to refuse them.
TEST_F(UntrustedProbes, healthAndMetricsAreAnsweredBesideCallersThatHoldTheRefusedConnections)
{
    startZoneHost({{"maxConnections", 20}, {"requestTimeoutMs", longTimeoutMs}, {"idleTimeoutMs", longTimeoutMs}});
    crowd.connect(callerPort, 120);
    run(Duration{500});

    expectWithinMachine(20 + peerConnections);
    EXPECT_EQ(200, statusOf(callerPort, "/healthz"));
    EXPECT_EQ(200, statusOf(callerPort, "/metrics"));
}

// Guards against a service domain's host that is taken for dead because of its callers.
TEST_F(UntrustedProbes, readinessAndMetricsAreAnsweredBesideCallersThatHoldAllConnections)
{
    startServiceHost({{"maxConnections", 20}, {"requestTimeoutMs", longTimeoutMs}, {"idleTimeoutMs", longTimeoutMs}});
    crowd.connect(callerPort, 120);
    run(Duration{500});

    expectWithinMachine(20 + 2 * internalConnections);
    EXPECT_EQ(200, statusOf(readinessPort, "/sequoiastand/ready"));
    EXPECT_EQ(200, statusOf(metricsPort, "/metrics"));
}

// Guards against a host that is taken for dead because clients hold the connections of its internal listeners.
TEST_F(UntrustedProbes, readinessAndMetricsAreAnsweredBesideSilentConnectionsToTheirListeners)
{
    startServiceHost();
    crowd.connect(readinessPort, 300);
    crowd.connect(metricsPort, 300);
    run(Duration{500});

    expectWithinMachine(2 * internalConnections);
    EXPECT_EQ(200, statusOf(readinessPort, "/sequoiastand/ready"));
    EXPECT_EQ(200, statusOf(metricsPort, "/metrics"));
}

// Guards against a listener that accepts no connection any more after it had as many as it allows and all of them have been closed.
TEST_F(UntrustedProbes, readinessAndMetricsAreAnsweredAfterACrowdHasLeft)
{
    startServiceHost();
    {
        Crowd leaving(loop);
        leaving.connect(readinessPort, 300);
        leaving.connect(metricsPort, 300);
        run(Duration{500});
        expectWithinMachine(2 * internalConnections);
    }

    EXPECT_EQ(200, statusOf(readinessPort, "/sequoiastand/ready"));
    EXPECT_EQ(200, statusOf(metricsPort, "/metrics"));
}

// Guards against a host that keeps the descriptors of connections whose clients do not read their last answer.
TEST_F(UntrustedProbes, metricsAreAnsweredBesideClientsThatReadNoAnswer)
{
    startServiceHost();
    const std::string request = "GET /metrics HTTP/1.1\r\nHost: a1\r\nConnection: close\r\n\r\n";
    for (int batch = 0; batch < 10; ++batch) {
        crowd.connect(metricsPort, 60);
        crowd.sendOnEach(request);
        run(Duration{20});
    }

    expectWithinMachine(internalConnections);
    EXPECT_EQ(200, statusOf(readinessPort, "/sequoiastand/ready"));
    EXPECT_EQ(200, statusOf(metricsPort, "/metrics"));
}

}
