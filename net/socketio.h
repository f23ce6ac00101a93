#pragma once

#include <string>

namespace sequoiastand
{

/// Why a read from a socket ended.
enum class ReadResult
{
    WouldBlock,
    Closed,
    Failed,
};

/// Appends the bytes that are available on a socket to the buffer. Stops early with `WouldBlock` once the buffer holds at least
/// `maxBytes`.
ReadResult readAvailable(std::string &buffer, int descriptor, std::size_t maxBytes);

/// True for an error of a socket call that only means "try again later".
bool wouldBlock(int error);

/// Disables Nagle's algorithm, so that small messages are sent without delay.
void setNoDelay(int descriptor);

}
