#pragma once

#include "net/eventloop.h"
#include "settings.h"

#include <filesystem>
#include <functional>
#include <string>

namespace sequoiastand
{

/// Reloads the settings file on SIGHUP and, because the file may change without a signal, also when its modification time changes.
class SettingsWatch
{
public:
    using Callback = std::function<void(const Settings &)>;
    using FaultCallback = std::function<void(const std::string &)>;

    /// `onChange` receives valid settings that differ from the previous ones; `onFault` receives the errors of an invalid file.
    SettingsWatch(EventLoop &loop, std::string file, Settings current, Callback onChange, FaultCallback onFault);

    /// Reads the file immediately.
    void reload();

private:
    void look();

    std::string m_file;
    Settings m_present;
    Callback m_onChange;
    FaultCallback m_onFault;
    std::filesystem::file_time_type m_changedAt;
    Timer m_timer;
    SignalWatch m_signal;
};

}
