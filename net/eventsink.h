#pragma once

#include "core/event.h"

#include <functional>

namespace sequoiastand
{

/// Adds an event to the inbox of the next step.
using EventSink = std::function<void(Event)>;

/// Reports an error of a front end: the failed operation, the peer and a message.
using ErrorSink = std::function<void(const std::string &step, const std::string &peer, const std::string &message)>;

}
