#include "settingswatch.h"

#include <csignal>
#include <system_error>
#include <utility>

namespace sequoiastand
{

namespace
{

// How often the modification time of the settings file is checked. Configuration changes must take effect within two
// seconds; changes of the settings file need not take effect faster.
constexpr Duration checkPeriod{2'000};

std::filesystem::file_time_type modificationTime(const std::string &file)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(file, error);
    return error ? std::filesystem::file_time_type{} : time;
}

}

SettingsWatch::SettingsWatch(EventLoop &loop, std::string file, Settings current, Callback onChange, ErrorCallback onError)
    : m_file(std::move(file))
    , m_current(std::move(current))
    , m_onChange(std::move(onChange))
    , m_onError(std::move(onError))
    , m_changedAt(modificationTime(m_file))
    , m_timer(loop, [this] { checkFile(); })
    , m_signal(loop, SIGHUP, [this] { reload(); })
{
    m_timer.startIn(checkPeriod);
}

void SettingsWatch::checkFile()
{
    if (modificationTime(m_file) != m_changedAt) {
        reload();
    }
    m_timer.startIn(checkPeriod);
}

void SettingsWatch::reload()
{
    m_changedAt = modificationTime(m_file);
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
