#pragma once

#include "core/event.h"

#include <functional>

namespace sequoiastand
{

/// Puts an event into the inbox of the next step.
using EventSink = std::function<void(Event)>;

/// Notes a fault of a front end: the step, the peer and what happened.
using ErrorSink = std::function<void(const std::string &step, const std::string &peer, const std::string &message)>;

}
