#include "soak/soakworld.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <numeric>
#include <ranges>
#include <string>
#include <vector>

namespace sequoiastand
{

namespace
{

constexpr std::size_t kilobyte = 1'000;
constexpr std::size_t megabyte = 1'000 * kilobyte;

// The smallest machine of the target, and the default limit of connections for which it has to suffice.
constexpr std::size_t machineBytes = 120 * megabyte;
constexpr std::size_t machineDescriptors = 3'075;
constexpr int defaultConnections = 1'500;

// The host of these tests accepts a tenth of the connections, so a tenth of the machine is the bound for what its clients may use.
constexpr int maxConnections = 150;
constexpr int machinePart = defaultConnections / maxConnections;
constexpr std::size_t clientCount = 140;

constexpr std::size_t legalBodyBytes = 250 * kilobyte;
constexpr std::size_t bodyBytesOverTheLimit = 1'500 * kilobyte;

#ifdef __SANITIZE_ADDRESS__
// The sanitizer multiplies resident memory and keeps freed blocks, so only the other checks apply.
constexpr bool isMemoryMeasured = false;
#else
constexpr bool isMemoryMeasured = true;
#endif

constexpr Duration tickPeriod{5};
constexpr Duration startLimit{20'000};
constexpr Duration answerLimit{20'000};
constexpr Duration memoryReturnLimit{10'000};

// A crowd has sent all that the host takes once no client could send for so long.
constexpr Duration stalledAfter{1'500};
constexpr Duration sendLimit{30'000};

std::string repeated(const std::string &piece, std::size_t count)
{
    std::string text;
    text.reserve(piece.size() * count);
    for (std::size_t number = 0; number < count; ++number) {
        text += piece;
    }
    return text;
}

std::string requestHead(const std::string &method, const std::string &headers, const std::string &workflow = "5c0e7a21d94b36f8")
{
    return method + " /ordinary/" + workflow + " HTTP/1.1\r\nHost: press.example\r\nAuthorization: Bearer key-tailors\r\n" + headers;
}

std::string announcedPost(std::size_t announcedBytes, const std::string &body)
{
    return requestHead("POST", "Content-Length: " + std::to_string(announcedBytes) + "\r\n\r\n") + body;
}

std::string chunkedPost(std::size_t chunkBytes, std::size_t bodyBytes)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", chunkBytes);
    return requestHead("POST", "Transfer-Encoding: chunked\r\n\r\n") + repeated(size.data() + std::string(chunkBytes, 'x') + "\r\n", bodyBytes / chunkBytes);
}

/// A submission with as many steps as fit into a body of legal size.
std::string bodyOfSmallestSteps()
{
    return R"({"spec":"p","steps":[)" + repeated("{},", legalBodyBytes / 3) + "{}]}";
}

/// Memory and descriptors of a process.
struct ProcessUse
{
    std::size_t residentBytes = 0;
    std::size_t descriptors = 0;
};

ProcessUse useOf(pid_t process)
{
    const auto folder = std::filesystem::path("/proc") / std::to_string(process);
    ProcessUse use;
    std::size_t totalPages = 0;
    std::size_t residentPages = 0;
    std::ifstream(folder / "statm") >> totalPages >> residentPages;
    use.residentBytes = residentPages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
    std::error_code error;
    const std::filesystem::directory_iterator descriptors(folder / "fd", error);
    use.descriptors = error ? 0 : static_cast<std::size_t>(std::distance(begin(descriptors), end(descriptors)));
    return use;
}

/// A client that sends a text as far as the server takes it, and then stays connected. It reads answers only if it is told to.
class Client
{
public:
    Client(const std::string &address, std::shared_ptr<const std::string> text, bool readsAnswers)
        : m_text(std::move(text))
        , m_readsAnswers(readsAnswers)
        , m_descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        const auto colon = address.rfind(':');
        sockaddr_in peer{};
        peer.sin_family = AF_INET;
        peer.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
        inet_pton(AF_INET, address.substr(0, colon).c_str(), &peer.sin_addr);
        m_isRefused = ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&peer), sizeof peer) != 0 && errno != EINPROGRESS;
    }

    ~Client()
    {
        ::close(m_descriptor);
    }

    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /// Sends at most one piece of the rest of the text, so that all clients of a crowd send side by side. Returns whether bytes were sent.
    bool sendPiece()
    {
        constexpr std::size_t pieceBytes = 64 * kilobyte;
        if (m_readsAnswers) {
            std::array<char, 4'096> answer{};
            while (::recv(m_descriptor, answer.data(), answer.size(), MSG_DONTWAIT) > 0) {
            }
        }
        if (isDone()) {
            return false;
        }
        const auto count = ::send(m_descriptor, m_text->data() + m_sent, std::min(pieceBytes, m_text->size() - m_sent), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            m_isRefused = errno != EAGAIN && errno != EINTR && errno != ENOTCONN;
            return false;
        }
        m_sent += static_cast<std::size_t>(count);
        return true;
    }

    bool isDone() const
    {
        return m_isRefused || m_sent == m_text->size();
    }

private:
    std::shared_ptr<const std::string> m_text;
    bool m_readsAnswers = false;
    int m_descriptor = -1;
    std::size_t m_sent = 0;
    bool m_isRefused = false;
};

SoakOptions optionsIn(const std::filesystem::path &folder)
{
    SoakOptions options;
    options.program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "sequoiastand";
    options.folder = folder;
    options.hosts = 1;
    options.targets = 1;
    options.maxConnections = maxConnections;
    return options;
}

}

/// One host, run as a process against the stand-ins for the store and a target, and a crowd of clients that do not behave.
struct UntrustedClients : testing::Test
{
    UntrustedClients()
        : folder(std::filesystem::temp_directory_path() / ("untrusted-" + std::to_string(getpid())))
        , world(optionsIn(folder))
    {
        std::filesystem::create_directory(folder);
    }

    ~UntrustedClients() override
    {
        crowd.clear();
        endHosts(world);
        std::filesystem::remove_all(folder);
    }

    UntrustedClients(const UntrustedClients &) = delete;
    UntrustedClients &operator=(const UntrustedClients &) = delete;

    void SetUp() override
    {
        ASSERT_TRUE(startWorld(world).ok());
        ASSERT_TRUE(runUntil([this] { return isOrdinaryRequestServed(); }, startLimit)) << "the host does not start";
        atStart = useOf(host().process);
    }

    SoakHost &host()
    {
        return world.hosts.front();
    }

    bool runUntil(const std::function<bool()> &isDone, Duration limit)
    {
        const auto end = EventLoop::now() + limit;
        while (!isDone()) {
            if (EventLoop::now() >= end) {
                return false;
            }
            world.loop.runUntil([] { return false; }, tickPeriod);
            tick(world);
            const auto use = useOf(host().process);
            peak.residentBytes = std::max(peak.residentBytes, use.residentBytes);
            peak.descriptors = std::max(peak.descriptors, use.descriptors);
        }
        return true;
    }

    void connectClient(std::shared_ptr<const std::string> text, bool readsAnswers)
    {
        crowd.push_back(std::make_unique<Client>(callerAddress(host().place), std::move(text), readsAnswers));
    }

    /// Connects the clients and lets them send side by side until the host takes no more.
    void sendFromCrowd(const std::string &text, bool readsAnswers = false, std::size_t clients = clientCount)
    {
        const auto shared = std::make_shared<const std::string>(text);
        peak = useOf(host().process);
        std::ranges::for_each(std::views::iota(std::size_t{0}, clients), [&](std::size_t) { connectClient(shared, readsAnswers); });
        sendUntilStalled();
    }

    void sendUntilStalled()
    {
        auto lastProgress = EventLoop::now();
        const auto hasStopped = [&] {
            const auto sending = std::ranges::count_if(crowd, &Client::sendPiece);
            if (sending > 0) {
                lastProgress = EventLoop::now();
            }
            return EventLoop::now() - lastProgress > stalledAfter;
        };
        EXPECT_TRUE(runUntil(hasStopped, sendLimit)) << "the crowd still sends";
    }

    /// Sends an ordinary submission, again after a refusal, and returns whether it has been accepted.
    bool isOrdinaryRequestServed()
    {
        if (ordinaryStatus >= 200 && ordinaryStatus < 300) {
            ordinaryStatus = 0;
            return true;
        }
        if (!isOrdinaryRequestOpen && EventLoop::now() >= nextOrdinaryAt) {
            constexpr Duration callerTimeout{3'000};
            constexpr Duration retryGap{200};
            isOrdinaryRequestOpen = true;
            HttpCall call;
            call.address = callerAddress(host().place);
            call.path = "/ordinary/" + std::to_string(1'000'000'000'000'000LL + ++ordinaryRequests);
            call.body = R"({"spec":"p","steps":[{"count":1,"cpu":100,"memMb":16,"estimateMs":10}]})";
            call.bearerToken = "key-tailors";
            call.headers = {"Host: press.example"};
            call.timeout = callerTimeout;
            call.opensConnection = true;
            world.http.send(call, [this, gap = retryGap](const HttpAnswer &answer) {
                isOrdinaryRequestOpen = false;
                ordinaryStatus = answer.outcome == HttpOutcome::Answered ? answer.status : 0;
                ordinaryAnswer = answer.body + answer.error;
                nextOrdinaryAt = EventLoop::now() + gap;
            });
        }
        return false;
    }

    /// Bound of the host's memory: what it used before the crowd, and its part of the rest of the smallest machine.
    std::size_t memoryBound(std::size_t divisor = 1) const
    {
        return atStart.residentBytes + (machineBytes - std::min(machineBytes, atStart.residentBytes)) / machinePart / divisor;
    }

    void expectHostIsSound()
    {
        EXPECT_TRUE(runUntil([this] { return isOrdinaryRequestServed(); }, answerLimit)) << "the last answer was " << ordinaryAnswer;
        EXPECT_TRUE(world.history.unexpectedExits.empty() && host().step == ProcessStep::Up) << "the host has ended";
        RecordProperty("residentKilobytesAtStart", static_cast<int>(atStart.residentBytes / kilobyte));
        RecordProperty("residentKilobytesAtPeak", static_cast<int>(peak.residentBytes / kilobyte));
        RecordProperty("descriptorsAtPeak", static_cast<int>(peak.descriptors));
        if (isMemoryMeasured) {
            EXPECT_LE(peak.residentBytes, memoryBound()) << "resident memory was " << atStart.residentBytes << " bytes before the crowd";
        }
        EXPECT_LE(peak.descriptors, machineDescriptors / machinePart);
    }

    std::filesystem::path folder;
    SoakWorld world;
    std::vector<std::unique_ptr<Client>> crowd;
    ProcessUse atStart;
    ProcessUse peak;
    int ordinaryRequests = 0;
    bool isOrdinaryRequestOpen = false;
    int ordinaryStatus = 0;
    std::string ordinaryAnswer;
    TimePoint nextOrdinaryAt;
};

// Guards against a host that ends for lack of memory because many large bodies of legal size are never completed.
TEST_F(UntrustedClients, announcedBodiesThatStopShortLeaveTheHostSound)
{
    sendFromCrowd(announcedPost(legalBodyBytes, std::string(legalBodyBytes - 1, 'x')));
    expectHostIsSound();
}

// Guards against a host that ends for lack of memory because many chunked bodies in large chunks are never completed.
TEST_F(UntrustedClients, bodiesInLargeChunksThatStopShortLeaveTheHostSound)
{
    sendFromCrowd(chunkedPost(50 * kilobyte, legalBodyBytes));
    expectHostIsSound();
}

// Guards against a host that ends for lack of memory because many bodies in chunks of one byte are never completed.
TEST_F(UntrustedClients, bodiesInChunksOfOneByteLeaveTheHostSound)
{
    sendFromCrowd(chunkedPost(1, 100 * kilobyte));
    expectHostIsSound();
}

// Guards against a host that keeps bodies that are announced to be far over the limit.
TEST_F(UntrustedClients, announcedBodiesFarOverTheLimitLeaveTheHostSound)
{
    sendFromCrowd(announcedPost(64 * megabyte, std::string(bodyBytesOverTheLimit, 'x')));
    expectHostIsSound();
}

// Guards against a host that keeps chunked bodies up to the limit before it refuses them.
TEST_F(UntrustedClients, chunkedBodiesOverTheLimitLeaveTheHostSound)
{
    sendFromCrowd(chunkedPost(50 * kilobyte, bodyBytesOverTheLimit));
    expectHostIsSound();
}

// Guards against submissions of legal size whose decoded steps take many times the memory of their bodies.
TEST_F(UntrustedClients, submissionsOfTheSmallestStepsLeaveTheHostSound)
{
    const auto body = bodyOfSmallestSteps();
    sendFromCrowd(announcedPost(body.size(), body), true);
    expectHostIsSound();
}

// Guards against memory for the headers of requests that never end.
TEST_F(UntrustedClients, headersThatDoNotEndLeaveTheHostSound)
{
    sendFromCrowd(requestHead("GET", repeated("X-Filler: 0123456789abcdef0123456789abcdef\r\n", 2'000)));
    expectHostIsSound();
}

// Guards against memory for answers that clients never read.
TEST_F(UntrustedClients, answersThatAreNotReadLeaveTheHostSound)
{
    sendFromCrowd(repeated(requestHead("GET", "\r\n"), 2'000));
    expectHostIsSound();
}

// Guards against a connection to the store for each query that waits for a slow store, which doubles the descriptors that callers use.
TEST_F(UntrustedClients, queriesOfManyWorkflowsTakeFewConnectionsToTheStore)
{
    constexpr Duration slowStore{300};
    constexpr std::size_t maxReads = 64;
    constexpr std::size_t ownCalls = 16; // Calls of the host itself beside those under way at the start.
    world.store.faults.latency = slowStore;
    peak = useOf(host().process);
    for (std::size_t number = 0; number < clientCount; ++number) {
        const auto workflow = std::to_string(1'000'000'000'000'000ULL + number);
        connectClient(std::make_shared<const std::string>(repeated(requestHead("GET", "\r\n", workflow), 200)), true);
    }
    sendUntilStalled();
    EXPECT_LE(peak.descriptors, atStart.descriptors + clientCount + maxReads + ownCalls);
    crowd.clear();
    world.store.faults.latency = PlatformStoreFaults{}.latency;
    expectHostIsSound();
}

// Guards against memory for large requests that clients send before they have the answers to earlier ones.
TEST_F(UntrustedClients, pipelinedSubmissionsLeaveTheHostSound)
{
    sendFromCrowd(repeated(announcedPost(legalBodyBytes, std::string(legalBodyBytes, 'x')), 4), true);
    expectHostIsSound();
}

// Guards against connections over the limit that use up the descriptors of the machine.
TEST_F(UntrustedClients, moreConnectionsThanTheLimitLeaveTheHostSound)
{
    constexpr std::size_t tooManyClients = 400;
    sendFromCrowd(announcedPost(legalBodyBytes, std::string(legalBodyBytes - 1, 'x')), false, tooManyClients);
    crowd.clear();
    expectHostIsSound();
}

// Guards against memory that stays in use after a crowd has left, and is lacking for the next one.
TEST_F(UntrustedClients, crowdThatHasLeftTakesNoMemory)
{
    sendFromCrowd(chunkedPost(50 * kilobyte, legalBodyBytes));
    crowd.clear();
    const auto isReturned = [this] { return !isMemoryMeasured || useOf(host().process).residentBytes <= memoryBound(2); };
    EXPECT_TRUE(runUntil(isReturned, memoryReturnLimit))
        << "resident memory is " << useOf(host().process).residentBytes << " bytes, it was " << atStart.residentBytes << " before the crowd";
    expectHostIsSound();
}

}
