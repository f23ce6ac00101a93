#pragma once

#include "net/eventloop.h"
#include "settings.h"

#include <filesystem>
#include <functional>
#include <string>

namespace sequoiastand
{

/// Reads the settings file again on SIGHUP and when it has changed, because it may also change without a signal.
class SettingsWatch
{
public:
    using Callback = std::function<void(const Settings &)>;
    using ErrorCallback = std::function<void(const std::string &)>;

    /// `onChange` gets settings that can be used and differ from those before; `onError` gets what is wrong with a file that cannot be used.
    SettingsWatch(EventLoop &loop, std::string file, Settings present, Callback onChange, ErrorCallback onError);

    /// Reads the file now.
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
