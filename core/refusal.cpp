#include "refusal.h"

#include <array>

namespace sequoiastand
{

std::string_view name(RefusalReason reason)
{
    static constexpr std::array<std::string_view, 18> names{
        "badRequest",
        "bodyTooLarge",
        "unauthorised",
        "notFound",
        "requestIdReused",
        "quotaExceeded",
        "queueFull",
        "neverFits",
        "deadlineUnreachable",
        "zoneOut",
        "storeUnavailable",
        "shuttingDown",
        "tooManyConnections",
        "versionConflict",
        "timeout",
        "unknownQueue",
        "cancelled",
        "internal",
    };
    return names.at(static_cast<std::size_t>(reason));
}

}
