#include "processorquota.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <optional>

namespace sequoiastand
{

namespace
{

constexpr int strongHostPeriod = 5;
constexpr double strongShare = 0.5;
constexpr double weakShare = 0.12;

// The longest time for which an idle host saves up its share; the scheduler of the users' machines has periods of this length.
constexpr std::chrono::nanoseconds quotaPeriod{100'000'000};

/// The processor time that the main thread of the process has used. The other threads of a host are parked.
std::optional<std::chrono::nanoseconds> usedTime(pid_t process)
{
    std::ifstream statistics(absl::StrCat("/proc/", process, "/schedstat"));
    long long nanoseconds = 0;
    return statistics >> nanoseconds ? std::optional(std::chrono::nanoseconds{nanoseconds}) : std::nullopt;
}

void resume(SoakHost &host)
{
    if (host.quota.isSuspended) {
        host.quota.isSuspended = false;
        sendSignal(host, SIGCONT);
    }
}

void enforceQuota(SoakHost &host)
{
    auto &quota = host.quota;
    const auto now = std::chrono::steady_clock::now();
    const auto used = usedTime(host.process);
    if (!used) {
        return;
    }
    if (quota.process != host.process) {
        quota = {host.process, *used, now, std::chrono::nanoseconds{0}, false};
        return;
    }
    const auto earned = std::chrono::duration_cast<std::chrono::nanoseconds>((now - quota.checkedAt) * host.place.processorShare);
    const auto most = std::chrono::duration_cast<std::chrono::nanoseconds>(quotaPeriod * host.place.processorShare);
    quota.credit = std::min(most, quota.credit + earned) - (*used - quota.used);
    quota.used = *used;
    quota.checkedAt = now;
    if (quota.credit < std::chrono::nanoseconds{0} && !quota.isSuspended) {
        quota.isSuspended = true;
        sendSignal(host, SIGSTOP);
    } else if (quota.credit >= std::chrono::nanoseconds{0}) {
        resume(host);
    }
}

}

bool isStrongHost(int number)
{
    return number % strongHostPeriod == 0;
}

double unequalShare(int number)
{
    return isStrongHost(number) ? strongShare : weakShare;
}

void enforceQuotas(SoakWorld &world)
{
    for (auto &host : world.hosts) {
        if (host.place.processorShare >= 1) {
            continue;
        }
        if (host.step == ProcessStep::Up || host.step == ProcessStep::Stopping) {
            enforceQuota(host);
        } else if (host.step == ProcessStep::Paused) {
            host.quota.isSuspended = false; // The end of the pause resumes the process.
        }
    }
}

}
