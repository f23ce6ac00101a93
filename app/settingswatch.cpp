#include "settingswatch.h"

#include <csignal>
#include <system_error>
#include <utility>

namespace sequoiastand
{

namespace
{

// Configuration has to be in force within two seconds, and settings need not be faster.
constexpr Duration lookPeriod{2'000};

std::filesystem::file_time_type changeTime(const std::string &file)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(file, error);
    return error ? std::filesystem::file_time_type{} : time;
}

}

SettingsWatch::SettingsWatch(EventLoop &loop, std::string file, Settings present, Callback onChange, ErrorCallback onError)
    : m_file(std::move(file))
    , m_current(std::move(present))
    , m_onChange(std::move(onChange))
    , m_onError(std::move(onError))
    , m_changedAt(changeTime(m_file))
    , m_timer(loop, [this] { checkFile(); })
    , m_signal(loop, SIGHUP, [this] { reload(); })
{
    m_timer.startIn(lookPeriod);
}

void SettingsWatch::checkFile()
{
    if (changeTime(m_file) != m_changedAt) {
        reload();
    }
    m_timer.startIn(lookPeriod);
}

void SettingsWatch::reload()
{
    m_changedAt = changeTime(m_file);
    auto settings = settingsFromFile(m_file);
    if (!settings.ok()) {
        m_onError(std::string(settings.status().message()));
        return;
    }
    if (*settings != m_current) {
        m_current = *settings;
        m_onChange(m_current);
    }
}

}
