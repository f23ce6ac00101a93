#pragma once

#include "review.h"

#include <string>

namespace sequoiastand
{

/// Renders the review as one self-contained HTML file with inline plots.
std::string reviewReport(const Review &review);

}
