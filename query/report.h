#pragma once

#include "review.h"

#include <string>

namespace sequoiastand
{

/// The review as one HTML file with its plots inside; it loads nothing.
std::string reviewReport(const Review &review);

}
