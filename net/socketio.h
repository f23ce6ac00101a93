#pragma once

#include <string>

namespace sequoiastand
{

enum class ReadResult
{
    WouldBlock,
    Closed,
    Failed,
};

/// Appends what the socket has until the buffer holds `maxBytes` or a little more.
ReadResult readAvailable(std::string &buffer, int descriptor, std::size_t maxBytes);

/// True for errors after which the socket is still usable.
bool wouldBlock(int error);

/// Sends small messages at once.
void setNoDelay(int descriptor);

}
