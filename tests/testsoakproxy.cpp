#include "platform/standin/platformstore.h"
#include "platform/standin/platformwriter.h"
#include "platform/storeport.h"
#include "soak/proxy.h"
#include "tests/loopback.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <optional>

namespace sequoiastand
{

/// Connects the product's store client to the stand-in store through a proxy.
struct SoakProxy : testing::Test
{
    SoakProxy()
    {
        EXPECT_TRUE(startStore(store).ok());
        proxy = std::make_unique<Proxy>(loop, loopbackAddress(store.server.port()));
        EXPECT_TRUE(proxy->listen().ok());
        port = std::make_unique<StorePort>(
            loop,
            http,
            proxy->address(),
            [this](WorkflowEvent event) {
                if (std::holds_alternative<StoreReply>(event)) {
                    events.push_back(std::move(event));
                }
            },
            [](const std::string &, const std::string &, const std::string &) {});
    }

    /// The reply to the request, or nothing if none arrives within the test's time limit.
    std::optional<StoreReply> ask(const StoreRequest &request, Duration timeout = Duration{300}, long long lease = 0)
    {
        events.clear();
        port->send({CallId{++calls}, request, lease, timeout});
        loop.runUntil([this] { return !events.empty(); }, testTimeout);
        const auto *reply = events.empty() ? nullptr : std::get_if<StoreReply>(&events.front());
        return reply == nullptr ? std::nullopt : std::optional(*reply);
    }

    /// Stores a configuration whose only key has so many bytes.
    QueueConfiguration putConfigurationWithKey(std::size_t bytes)
    {
        QueueConfiguration configuration;
        configuration.version = 3;
        configuration.keys.emplace(std::string(bytes, 'k'), OrganisationId{"tailors"});
        configuration.organisations.emplace(OrganisationId{"tailors"}, OrganisationShare{{"tailors"}, 16});
        putItem(store, configurationItemName(), configurationText(configuration));
        return configuration;
    }

    StoreOutcome create(const std::string &host)
    {
        StoreTransaction transaction;
        transaction.writes.push_back({domainOwnerKey(), DomainOwner{{host}, 1}, 0, false});
        return ask(transaction)->outcome;
    }

    EventLoop loop;
    HttpClient http{loop};
    PlatformStore store{loop, 1};
    std::unique_ptr<Proxy> proxy;
    std::unique_ptr<StorePort> port;
    std::vector<WorkflowEvent> events;
    unsigned long long calls = 0;
};

TEST_F(SoakProxy, keyIsCreatedOnceAndReadBack)
{
    EXPECT_EQ(create("h1"), StoreOutcome::Applied);
    EXPECT_EQ(create("h2"), StoreOutcome::Conflict);
    const auto read = ask(StoreRange{domainOwnerKey(), false});
    ASSERT_EQ(read->entries.size(), 1U);
    EXPECT_EQ(read->entries.front().record, StoreRecord{(DomainOwner{{"h1"}, 1})});
}

TEST_F(SoakProxy, keyBoundToALeaseIsRemovedWithTheLease)
{
    const auto lease = ask(StoreLeaseGrant{Duration{1'000}})->lease;
    StoreTransaction transaction;
    transaction.writes.push_back({domainOwnerKey(), DomainOwner{{"h1"}, 1}, 0, true});
    EXPECT_EQ(ask(transaction, Duration{300}, lease)->outcome, StoreOutcome::Applied);
    EXPECT_GT(ask(StoreLeaseKeepAlive{lease})->leaseTimeToLive, Duration{0});
    ask(StoreLeaseRevoke{lease});
    EXPECT_TRUE(ask(StoreRange{domainOwnerKey(), false})->entries.empty());
    EXPECT_EQ(ask(StoreLeaseKeepAlive{lease})->leaseTimeToLive, Duration{0});
}

TEST_F(SoakProxy, itemsOfOperatorsAndTargetsAreReadAsTheProductsRecords)
{
    TargetRegistration registration;
    registration.instance = {{"t1"}, 1'700};
    registration.service = {"press"};
    registration.address = "127.0.0.1:80";
    registration.availabilityZone = {"a"};
    registration.labels = {"kind", "r1"};
    registration.rack = {"r1"};
    registration.capacity = {32'000, 131'072, 8};
    putItem(store, registrationItemName({"t1"}), registrationText(registration, 1));
    QueueConfiguration configuration;
    configuration.version = 3;
    configuration.organisations.emplace(OrganisationId{"tailors"}, OrganisationShare{{"tailors"}, 16});
    configuration.keys.emplace("key", OrganisationId{"tailors"});
    putItem(store, configurationItemName(), configurationText(configuration));
    const auto targets = ask(StoreRange{targetRegistrationKey({""}), true});
    ASSERT_EQ(targets->entries.size(), 1U);
    EXPECT_EQ(targets->entries.front().record, StoreRecord{registration});
    EXPECT_EQ(ask(StoreRange{queueConfigurationKey(), false})->entries.front().record, StoreRecord{configuration});
}

TEST_F(SoakProxy, goodRegistrationIsReadBesideForeignEntries)
{
    // Guards against an unusable entry of another writer that makes a page of the store unreadable.
    TargetRegistration registration;
    registration.instance = {{"t1"}, 1'700};
    registration.service = {"press"};
    registration.address = "127.0.0.1:80";
    registration.availabilityZone = {"a"};
    registration.labels = {"kind", "r1"};
    registration.rack = {"r1"};
    registration.capacity = {32'000, 131'072, 8};
    int number = 0;
    for (const auto &text : foreignRegistrationTexts(registration)) {
        putItem(store, registrationItemName({absl::StrCat("foreign", ++number)}), text);
    }
    EXPECT_GT(number, 10);
    putItem(store, registrationItemName({"t1"}), registrationText(registration, 1));
    const auto targets = ask(StoreRange{targetRegistrationKey({""}), true}, Duration{5'000});
    ASSERT_TRUE(targets);
    EXPECT_EQ(targets->outcome, StoreOutcome::Applied);
    EXPECT_TRUE(std::ranges::any_of(targets->entries, [&](const StoreEntry &entry) { return entry.record == StoreRecord{registration}; }));
}

TEST_F(SoakProxy, silentConnectionIsReplacedByANewOne)
{
    EXPECT_EQ(create("h1"), StoreOutcome::Applied);
    proxy->silenceConnections();
    EXPECT_EQ(ask(StoreRange{domainOwnerKey(), false})->outcome, StoreOutcome::Unknown);
    EXPECT_EQ(ask(StoreRange{domainOwnerKey(), false})->outcome, StoreOutcome::Applied);
}

TEST_F(SoakProxy, cutOnAnswersLetsTheWriteTakeEffect)
{
    proxy->setFaults({Duration{0}, false, true});
    EXPECT_EQ(create("h1"), StoreOutcome::Unknown);
    proxy->setFaults({});
    EXPECT_EQ(create("h2"), StoreOutcome::Conflict);
}

TEST_F(SoakProxy, cutOnCallsHoldsTheWriteBack)
{
    proxy->setFaults({Duration{0}, true, false});
    EXPECT_EQ(create("h1"), StoreOutcome::Unknown);
    EXPECT_EQ(store.writes, 0);
}

TEST_F(SoakProxy, delayIsAddedInEachDirection)
{
    proxy->setFaults({Duration{100}, false, false});
    const auto begin = EventLoop::now();
    EXPECT_EQ(ask(StoreRange{domainOwnerKey(), false}, Duration{2'000})->outcome, StoreOutcome::Applied);
    EXPECT_GE(EventLoop::now() - begin, Duration{200});
}

// Guards against a fault that loses the request, or the answer, of a client that has ended only its sending side.
TEST_F(SoakProxy, halfClosedConnectionIsAnswered)
{
    proxy->setFaults({.halfCloses = true});
    EXPECT_EQ(create("h1"), StoreOutcome::Applied);
    loop.runUntil([this] { return proxy->connectionCount() == 0; }, testTimeout);
    EXPECT_EQ(proxy->connectionCount(), 0U);
    EXPECT_EQ(create("h2"), StoreOutcome::Conflict) << "the next request needs a new connection";
}

// Guards against a limit of the rate that passes bytes early, or loses some of a large answer.
TEST_F(SoakProxy, limitedRateDelaysALargeAnswerAndKeepsItWhole)
{
    const auto configuration = putConfigurationWithKey(100'000);
    proxy->setRate(500'000);
    const auto begin = EventLoop::now();
    EXPECT_EQ(ask(StoreRange{queueConfigurationKey(), false}, Duration{5'000})->entries.front().record, StoreRecord{configuration});
    EXPECT_GE(EventLoop::now() - begin, Duration{200});
}

// Guards against a host with a narrow link that never receives the configuration, because each call ends before the answer does.
TEST_F(SoakProxy, largeAnswerThatArrivesForLongerThanTheTimeoutIsReceived)
{
    const auto configuration = putConfigurationWithKey(200'000);
    proxy->setRate(200'000);
    constexpr Duration timeout{400};
    const auto begin = EventLoop::now();
    for (const auto &request : {StoreRange{{"config/"}, true}, StoreRange{queueConfigurationKey(), false}}) {
        const auto reply = ask(request, timeout);
        ASSERT_TRUE(reply);
        ASSERT_FALSE(reply->entries.empty()) << reply->error;
        EXPECT_EQ(reply->entries.front().record, StoreRecord{configuration});
    }
    EXPECT_GE(EventLoop::now() - begin, 2 * timeout);
}

/// Connects a client to a scripted server through a proxy.
struct SoakProxyCuts : testing::Test
{
    explicit SoakProxyCuts(ScriptedListener::Script script = {"", true})
        : listener(loop, {std::move(script)})
        , proxy(loop, listener.address())
    {
        EXPECT_TRUE(proxy.listen().ok());
        const auto address = proxy.address();
        int port = 0;
        EXPECT_TRUE(absl::SimpleAtoi(address.substr(address.find(':') + 1), &port));
        client = std::make_unique<RawClient>(loop, port);
    }

    EventLoop loop;
    ScriptedListener listener;
    Proxy proxy;
    std::unique_ptr<RawClient> client;
};

TEST_F(SoakProxyCuts, requestThatTheServerReadsAndDoesNotAnswerIsNoted)
{
    client->send("GET /ordinary/1 HTTP/1.1\r\n\r\n");
    loop.runUntil([this] { return client->isClosedByPeer(); }, testTimeout);
    const auto cuts = proxy.takeCuts();
    ASSERT_EQ(cuts.size(), 1U);
    EXPECT_EQ(cuts.front().request, "GET /ordinary/1");
    EXPECT_TRUE(cuts.front().wasRead);
    EXPECT_TRUE(proxy.takeCuts().empty());
}

// Guards against a check that blames the server for the end of a connection that its client has left.
TEST_F(SoakProxyCuts, requestWhoseClientLeavesIsNotNoted)
{
    client->send("GET /ordinary/1 HTTP/1.1\r\n\r\n");
    client->reset();
    loop.runUntil([this] { return listener.acceptedCount() == 1 && proxy.connectionCount() == 0; }, testTimeout);
    EXPECT_TRUE(proxy.takeCuts().empty());
}

/// Connects a client to a server that answers and closes the connection.
struct SoakProxyAnswers : SoakProxyCuts
{
    SoakProxyAnswers()
        : SoakProxyCuts({"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true})
    {
    }
};

TEST_F(SoakProxyAnswers, answeredRequestIsNotNoted)
{
    client->send("GET /ordinary/1 HTTP/1.1\r\n\r\n");
    loop.runUntil([this] { return client->isClosedByPeer(); }, testTimeout);
    EXPECT_FALSE(client->received().empty());
    EXPECT_TRUE(proxy.takeCuts().empty());
}

TEST_F(SoakProxy, silentAndBusyStoreHaveNoEffect)
{
    store.faults.isSilent = true;
    EXPECT_EQ(create("h1"), StoreOutcome::Unknown);
    store.faults = {};
    store.faults.isBusy = true;
    EXPECT_EQ(create("h1"), StoreOutcome::NotSent);
    store.faults = {};
    EXPECT_EQ(create("h1"), StoreOutcome::Applied);
}

TEST_F(SoakProxy, writeWithALostAnswerTakesEffect)
{
    store.faults.lostAnswerPercent = 100;
    EXPECT_EQ(create("h1"), StoreOutcome::Unknown);
    store.faults = {};
    EXPECT_EQ(create("h2"), StoreOutcome::Conflict);
}

}
