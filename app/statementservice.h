#pragma once

#include "net/hostloop.h"
#include "query/script.h"

#include <map>

namespace sequoiastand
{

/// Runs statements received at `POST /v1/statements`: posts their events, performs their store reads and sends the answer.
class StatementService
{
public:
    explicit StatementService(HostLoop &host);
    StatementService(const StatementService &) = delete;
    StatementService &operator=(const StatementService &) = delete;

private:
    struct PendingScript
    {
        CallId call; ///< Call id of the HTTP request.
        ScriptRun run;
    };

    void onStatements(const StatementRequest &request);
    void onReply(const CallerReply &reply);
    void advance(PendingScript script);
    void startReads(const PendingScript &script, const StoreReads &reads);

    HostLoop &m_host;
    std::map<CallId, PendingScript> m_pendingScripts; ///< Scripts that wait for the core's reply, by the call id of their event.
};

}
