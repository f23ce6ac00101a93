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
    using ErrorCallback = std::function<void(const std::string &)>;

    /// `onChange` receives valid settings that differ from the previous ones; `onError` receives the errors of an invalid file.
    SettingsWatch(EventLoop &loop, std::string file, Settings current, Callback onChange, ErrorCallback onError);

    /// Reads the file immediately.
    void reload();

private:
    void checkFile();

    std::string m_file;
    Settings m_current;
    Callback m_onChange;
    ErrorCallback m_onError;
    std::filesystem::file_time_type m_changedAt;
    Timer m_timer;
    SignalWatch m_signal;
};

}
