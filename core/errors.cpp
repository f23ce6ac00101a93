#include "errors.h"

#include <string>

namespace sequoiastand
{

absl::Status errorAt(absl::StatusCode code, std::string_view step, std::string_view peer, std::string_view message)
{
    std::string text;
    text.append(step).append(": ").append(peer).append(": ").append(message);
    return {code, text};
}

}
