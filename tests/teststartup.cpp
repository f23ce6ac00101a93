#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <string>
#include <thread>

namespace sequoiastand
{

/// A host, run as a process, that reads its settings from a named pipe and therefore waits in its start until the test has written them.
struct HostStartup : testing::Test
{
    HostStartup()
    {
        folder = std::filesystem::temp_directory_path() / ("startup-" + std::to_string(getpid()));
        std::filesystem::create_directory(folder);
        pipe = folder / "settings.json";
        mkfifo(pipe.c_str(), S_IRUSR | S_IWUSR);
        const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "sequoiastand";
        process = fork();
        if (process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            execl(program.c_str(), program.c_str(), "serve", "--settings", pipe.c_str(), nullptr);
            _exit(127);
        }
    }

    ~HostStartup() override
    {
        if (isRunning()) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
        }
        std::filesystem::remove_all(folder);
    }

    HostStartup(const HostStartup &) = delete;
    HostStartup &operator=(const HostStartup &) = delete;

    bool isRunning()
    {
        hasEnded = hasEnded || waitpid(process, nullptr, WNOHANG) == process;
        return !hasEnded;
    }

    /// Waits until the host opens the file, and returns the writing end. Returns -1 if the host ends or does not open it within the limit.
    int awaitReader(std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (isRunning() && std::chrono::steady_clock::now() < end) {
            if (const int writer = open(pipe.c_str(), O_WRONLY | O_NONBLOCK); writer >= 0) {
                return writer;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
        }
        return -1;
    }

    /// Writes the settings of a host on ports that the system chooses.
    static void writeSettings(int writer)
    {
        const nlohmann::json settings{{"host", {{"id", "h1"}, {"availabilityZone", "a"}, {"httpAddress", "127.0.0.1:0"}, {"readinessAddress", "127.0.0.1:0"}}},
                                      {"serviceDomain", {{"storeAddress", "127.0.0.1:1"}, {"availabilityZones", {"a"}}}}};
        const auto text = settings.dump();
        EXPECT_EQ(write(writer, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        close(writer);
    }

    std::filesystem::path folder;
    std::filesystem::path pipe;
    pid_t process = -1;
    bool hasEnded = false;
};

// Guards against a host that ends when it is asked to reload its settings while it starts.
TEST_F(HostStartup, hangUpDuringTheStartReloadsTheSettings)
{
    const int writer = awaitReader(std::chrono::seconds{10});
    ASSERT_GE(writer, 0);
    kill(process, SIGHUP);
    std::this_thread::sleep_for(std::chrono::milliseconds{100});
    ASSERT_TRUE(isRunning()) << "SIGHUP has ended the host";
    writeSettings(writer);
    const int second = awaitReader(std::chrono::milliseconds{1'500}); // Without a signal the host would look at the file after two seconds.
    ASSERT_GE(second, 0) << "the host does not read its settings again";
    writeSettings(second);
    EXPECT_TRUE(isRunning());
}

}
