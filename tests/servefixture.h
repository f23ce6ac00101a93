#pragma once

#include "net/httpclient.h"
#include "platform/standin/platformstore.h"
#include "standins/keyvalueservice.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <sys/types.h>

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace sequoiastand
{

/// TCP connections of clients that send raw bytes and never read. They stay open until the crowd is destroyed.
class Crowd
{
public:
    explicit Crowd(EventLoop &loop);
    ~Crowd();
    Crowd(const Crowd &) = delete;
    Crowd &operator=(const Crowd &) = delete;

    /// Opens connections to a loopback port.
    void connect(int port, int count);

    /// Sends the bytes on each connection. A connection that the host has closed, or does not read from for a second, is passed over.
    void sendOnEach(std::string_view bytes);

private:
    void send(int descriptor, std::string_view bytes);

    EventLoop &m_loop;
    std::vector<int> m_descriptors;
};

/// Listener whose connections are established by the system, and never accepted or read.
class UnreadListener
{
public:
    UnreadListener();
    ~UnreadListener();
    UnreadListener(const UnreadListener &) = delete;
    UnreadListener &operator=(const UnreadListener &) = delete;

    std::string address() const;

private:
    int m_descriptor = -1;
};

/// Runs `sequoiastand serve` as a process on loopback addresses against the stand-ins, which run in the test's event loop.
struct ServeTest : testing::Test
{
    // The smallest machine of the stated target, and the connections that its callers' listener allows by default.
    static constexpr std::size_t machineMemoryBytes = std::size_t{120} * 1024 * 1024;
    static constexpr std::size_t machineDescriptors = 3'075;
    static constexpr std::size_t machineConnections = 1'500;

    ServeTest();
    ~ServeTest() override;
    ServeTest(const ServeTest &) = delete;
    ServeTest &operator=(const ServeTest &) = delete;

    /// Starts a host of a zone domain and waits until it answers. `http` is the section of that name in its settings.
    void startZoneHost(const nlohmann::json &http = nlohmann::json::object());

    /// Starts a host of a service domain and waits until it is ready.
    void startServiceHost(const nlohmann::json &http = nlohmann::json::object());

    /// Runs the event loop for some time.
    void run(Duration duration);

    bool isRunning();

    /// Largest resident memory of the process since its start.
    std::size_t peakMemoryBytes() const;
    std::size_t openDescriptors() const;

    /// Descriptors that a host may open when it allows so many connections, in proportion to those of the smallest machine.
    static std::size_t descriptorBound(std::size_t connections);

    /// Checks that the process lives, and that its memory and descriptors are within the bounds.
    void expectWithinMachine(std::size_t allowedConnections);

    /// Status of the answer to a request, or 0 if there is none. Only a failing test waits for `answerTimeout`.
    int statusOf(int port, const std::string &path);

    /// True if a peer gets an acknowledgement of its heartbeat. Like a peer's links, it connects again when its connection is closed.
    bool isHeartbeatAcknowledged();

    static constexpr Duration answerTimeout{20'000};

    EventLoop loop;
    int callerPort = 0;
    int peerPort = 0;
    int readinessPort = 0;
    int metricsPort = 0;
    KeyValueService keyValue{{loop}}; ///< Store of a zone domain.
    PlatformStore platformStore;      ///< Store of a service domain.

private:
    void start(const nlohmann::json &settings);

    HttpClient m_http;
    Timer m_tickTimer;
    std::filesystem::path m_folder;
    pid_t m_process = -1;
    bool m_hasEnded = false;
};

}
