#pragma once

#include "soakhistory.h"

#include <string>
#include <vector>

namespace sequoiastand
{

/// One line for each request that got neither an answer nor a refusal although its host was running or stopping as planned: UNANSWERED if the caller waited until
/// its deadline, LOST if the host ended the connection before.
std::vector<std::string> checkAnswers(const SoakHistory &history, const SoakBounds &bounds);

}
