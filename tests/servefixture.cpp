#include "servefixture.h"

#include "core/queueconfiguration.h"
#include "loopback.h"
#include "net/socketio.h"
#include "platform/standin/platformwriter.h"
#include "standins/samplequeues.h"
#include "wire/peerframe.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <iterator>

namespace sequoiastand
{

namespace
{

constexpr Duration tickPeriod{5};
constexpr Duration sendTimeout{1'000};

int connectedSocket(int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    EXPECT_EQ(0, ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    setNoDelay(descriptor);
    return descriptor;
}

Heartbeat heartbeatOfPeer()
{
    Heartbeat heartbeat;
    heartbeat.id = {1};
    heartbeat.host = {"b1"};
    heartbeat.availabilityZone = {"b"};
    heartbeat.address = loopbackAddress(closedPort());
    return heartbeat;
}

QueueConfiguration sampleConfiguration()
{
    QueueConfiguration configuration;
    configuration.version = 1;
    configuration.services.emplace(ServiceId{"press"}, Service{{"press"}, false, false, "/health"});
    configuration.organisations.emplace(OrganisationId{"tailors"}, OrganisationShare{{"tailors"}, 16});
    configuration.keys.emplace("key-tailors", OrganisationId{"tailors"});
    for (const auto &queue : sampleQueues()) {
        configuration.queues.emplace(queue.id, queue);
    }
    return configuration;
}

/// Replaces the child process by the program. It may use only calls that are safe between fork and exec.
[[noreturn]] void execHost(const char *program, const char *settings, const char *log, const rlimit &descriptors)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    setrlimit(RLIMIT_NOFILE, &descriptors);
    const int output = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    close_range(STDERR_FILENO + 1, ~0U, 0);
    execl(program, program, "serve", "--settings", settings, nullptr);
    _exit(127);
}

}

Crowd::Crowd(EventLoop &loop)
    : m_loop(loop)
{
}

Crowd::~Crowd()
{
    std::ranges::for_each(m_descriptors, ::close);
}

void Crowd::connect(int port, int count)
{
    std::generate_n(std::back_inserter(m_descriptors), count, [port] { return connectedSocket(port); });
}

void Crowd::sendOnEach(std::string_view bytes)
{
    std::ranges::for_each(m_descriptors, [this, bytes](int descriptor) { send(descriptor, bytes); });
}

void Crowd::send(int descriptor, std::string_view bytes)
{
    auto giveUpAt = EventLoop::now() + sendTimeout;
    while (!bytes.empty() && EventLoop::now() < giveUpAt) {
        const auto count = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(count));
            giveUpAt = EventLoop::now() + sendTimeout;
        } else if (wouldBlock(errno)) {
            m_loop.runUntil([] { return false; }, Duration{1});
        } else {
            return;
        }
    }
}

UnreadListener::UnreadListener()
    : m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    constexpr int receiveBufferBytes = 4'096;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    EXPECT_EQ(0, ::bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address));
    EXPECT_EQ(0, ::listen(m_descriptor, SOMAXCONN));
}

UnreadListener::~UnreadListener()
{
    ::close(m_descriptor);
}

std::string UnreadListener::address() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    return loopbackAddress(ntohs(address.sin_port));
}

ServeTest::ServeTest()
    : platformStore(loop, 1)
    , m_http(loop)
    , m_tickTimer(loop, [this] {
        tick(platformStore);
        m_tickTimer.startIn(tickPeriod);
    })
{
    m_folder = std::filesystem::temp_directory_path() / ("serve-" + std::to_string(getpid()));
    std::filesystem::create_directory(m_folder);
    callerPort = closedPort();
    peerPort = closedPort();
    readinessPort = closedPort();
    metricsPort = closedPort();
    // Crowds keep more connections open than the usual limit of a process allows.
    rlimit descriptors{};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);
}

ServeTest::~ServeTest()
{
    if (isRunning()) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
    if (HasFailure()) {
        std::ifstream log(m_folder / "log");
        std::copy(std::istreambuf_iterator<char>(log), {}, std::ostreambuf_iterator<char>(std::cerr));
    }
    std::filesystem::remove_all(m_folder);
    if (keyValue.server.daemon != nullptr) {
        stopKeyValueService(keyValue);
    }
}

void ServeTest::start(const nlohmann::json &settings)
{
    m_tickTimer.startIn(tickPeriod);
    const std::string file = m_folder / "settings.json";
    const std::string log = m_folder / "log";
    std::ofstream(file) << settings.dump();
    const std::string program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "sequoiastand";
    const rlimit descriptors{machineDescriptors, machineDescriptors};
    m_process = fork();
    if (m_process == 0) {
        execHost(program.c_str(), file.c_str(), log.c_str(), descriptors);
    }
}

void ServeTest::startZoneHost(const nlohmann::json &http)
{
    ASSERT_TRUE(startKeyValueService(keyValue, 0).ok());
    start({{"host", {{"id", "a1"}, {"availabilityZone", "a"}, {"httpAddress", loopbackAddress(callerPort)}, {"peerAddress", loopbackAddress(peerPort)}}},
           {"store", {{"addresses", {loopbackAddress(portOf(keyValue.server))}}}},
           {"http", http}});
    ASSERT_TRUE(loop.runUntil([this] { return statusOf(callerPort, "/healthz") == 200; }, answerTimeout));
}

void ServeTest::startServiceHost(const nlohmann::json &http)
{
    ASSERT_TRUE(startStore(platformStore).ok());
    putItem(platformStore, configurationItemName(), configurationText(sampleConfiguration()));
    start({{"host",
            {{"id", "a1"},
             {"availabilityZone", "a"},
             {"httpAddress", loopbackAddress(callerPort)},
             {"readinessAddress", loopbackAddress(readinessPort)},
             {"metricsAddress", loopbackAddress(metricsPort)}}},
           {"serviceDomain", {{"storeAddress", loopbackAddress(platformStore.server.port())}, {"availabilityZones", {"a"}}}},
           {"http", http}});
    ASSERT_TRUE(loop.runUntil([this] { return statusOf(readinessPort, "/sequoiastand/ready") == 200; }, answerTimeout));
}

void ServeTest::run(Duration duration)
{
    loop.runUntil([] { return false; }, duration);
}

bool ServeTest::isRunning()
{
    m_hasEnded = m_hasEnded || m_process <= 0 || waitpid(m_process, nullptr, WNOHANG) == m_process;
    return !m_hasEnded;
}

std::size_t ServeTest::peakMemoryBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word && word != "VmHWM:") {
    }
    status >> kilobytes;
    return kilobytes * 1024;
}

std::size_t ServeTest::openDescriptors() const
{
    const std::filesystem::directory_iterator descriptors("/proc/" + std::to_string(m_process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
}

std::size_t ServeTest::descriptorBound(std::size_t connections)
{
    return machineDescriptors * connections / machineConnections;
}

void ServeTest::expectWithinMachine(std::size_t allowedConnections)
{
    ASSERT_TRUE(isRunning());
    const auto memory = peakMemoryBytes();
    const auto descriptors = openDescriptors();
    RecordProperty("peakMemoryBytes", std::to_string(memory));
    RecordProperty("openDescriptors", std::to_string(descriptors));
    // The address sanitizer keeps freed memory and a shadow of all memory, so the resident memory is not that of the program.
#ifndef __SANITIZE_ADDRESS__
    EXPECT_LE(memory, machineMemoryBytes);
#endif
    EXPECT_LE(descriptors, descriptorBound(allowedConnections));
}

int ServeTest::statusOf(int port, const std::string &path)
{
    HttpCall call;
    call.method = "GET";
    call.address = loopbackAddress(port);
    call.path = path;
    call.timeout = answerTimeout;
    call.closesConnection = true;
    std::optional<HttpAnswer> answer;
    m_http.send(call, [&answer](const HttpAnswer &received) { answer = received; });
    loop.runUntil([&answer] { return answer.has_value(); }, 2 * answerTimeout);
    return answer ? answer->status : 0;
}

bool ServeTest::isHeartbeatAcknowledged()
{
    const auto frame = encodePeerFrame({{"b1"}, heartbeatOfPeer(), std::nullopt});
    const auto giveUpAt = EventLoop::now() + answerTimeout;
    while (EventLoop::now() < giveUpAt) {
        const int descriptor = connectedSocket(peerPort);
        ::send(descriptor, frame.data(), frame.size(), MSG_NOSIGNAL);
        fcntl(descriptor, F_SETFL, O_NONBLOCK);
        std::string received;
        auto end = ReadResult::WouldBlock;
        loop.runUntil(
            [&] {
                end = readAvailable(received, descriptor, maxPeerFrameBytes);
                return end != ReadResult::WouldBlock || !received.empty();
            },
            giveUpAt - EventLoop::now());
        ::close(descriptor);
        const auto answer = decodePeerFrame(received, "a1");
        if (answer.ok() && *answer && (*answer)->frame.acknowledgedFrames == 1) {
            return true;
        }
        run(Duration{50});
    }
    return false;
}

}
