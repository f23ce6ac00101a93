#pragma once

namespace sequoiastand
{

/// Exit codes of the program, the same for every subcommand. They are listed in the output of `--help`.
enum class ExitCode
{
    Success = 0,
    Refused = 1,         ///< The host refused the statements; they were not run.
    Usage = 2,           ///< Wrong arguments, or a file that cannot be read.
    InvalidSettings = 3, ///< The settings file has errors, which are all printed.
    Unreachable = 4,     ///< No request could be sent, or the host cannot listen on its address.
    Unknown = 5,         ///< The answer was lost; the statements may have been run.
};

}
