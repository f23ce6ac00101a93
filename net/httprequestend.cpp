#include "httprequestend.h"

#include <array>

namespace sequoiastand
{

std::string_view name(HttpRequestEnd end)
{
    static constexpr std::array<std::string_view, 5> names{"answered", "clientLeft", "timedOut", "serverStopped", "failed"};
    return names.at(static_cast<std::size_t>(end));
}

bool isUnanswered(const HttpRequestSummary &summary)
{
    return summary.isRead && summary.end != HttpRequestEnd::Answered && summary.end != HttpRequestEnd::ClientLeft;
}

}
