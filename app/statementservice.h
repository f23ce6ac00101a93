#pragma once

#include "net/hostloop.h"
#include "query/script.h"

#include <map>

namespace sequoiastand
{

/// Runs the statements that arrive at `POST /v1/statements`: posts their events, does their reads of the store and answers with their text.
class StatementService
{
public:
    explicit StatementService(HostLoop &host);
    StatementService(const StatementService &) = delete;
    StatementService &operator=(const StatementService &) = delete;

private:
    struct PendingScript
    {
        CallId call; ///< Of the HTTP request.
        ScriptRun run;
    };

    void onStatements(const StatementRequest &request);
    void onReply(const CallerReply &reply);
    void advance(PendingScript script);
    void startReads(const PendingScript &script, const StoreReads &reads);

    HostLoop &m_host;
    std::map<CallId, PendingScript> m_pendingScripts; ///< Scripts that wait for the core's reply, by the id of their event.
};

}
