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
    using FaultCallback = std::function<void(const std::string &)>;

    /// `onChange` gets settings that can be used and differ from those before; `onFault` gets what is wrong with a file that cannot be used.
    SettingsWatch(EventLoop &loop, std::string file, Settings present, Callback onChange, FaultCallback onFault);

    /// Reads the file now.
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
