#pragma once

#include <string>

namespace sequoiastand
{

/// Runs an entry host until a planned stop has finished. Returns the exit code.
int serve(const std::string &settingsFile);

/// Reads the settings and says whether they can be used. Returns the exit code.
int checkConfig(const std::string &settingsFile);

}
