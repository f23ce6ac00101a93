#pragma once

#include <string>

namespace sequoiastand
{

/// Runs an entry host until a planned stop has finished. Returns the exit code.
int serve(const std::string &settingsFile);

/// Checks the settings file and prints its errors, or the host that it describes. Returns the exit code.
int checkConfig(const std::string &settingsFile);

}
