#include "statementservice.h"

#include "core/blackboard.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <memory>
#include <utility>

namespace sequoiastand
{

namespace
{

/// Store reads of one statement. The script continues when all of these reads have finished.
struct PendingReads
{
    ScriptRun run;
    std::vector<StoreReadResult> results;
    std::size_t remaining = 0;
};

StoreReadResult readResult(const StoreRange &range, const StoreReply &reply)
{
    if (reply.outcome == StoreOutcome::Applied) {
        return {range, reply.entries, ""};
    }
    return {range, {}, reply.error.empty() ? "the store did not answer" : reply.error};
}

}

StatementService::StatementService(HostLoop &host)
    : m_host(host)
{
    host.callers().setStatementHandler([this](const StatementRequest &request) { onStatements(request); });
    host.callers().setReplyHandler([this](const CallerReply &reply) { onReply(reply); });
}

void StatementService::onStatements(const StatementRequest &request)
{
    ScriptRequest script;
    script.account = request.account;
    script.text = request.text;
    script.format = resultFormatFromName(request.format).value_or(ResultFormat::Table);
    script.command = request.command;
    if (script.command.value.empty()) {
        script.command.value = absl::StrCat(m_host.board().self.id.value, "-", m_host.board().self.incarnation, "-", request.id.value);
    }
    script.wait = request.wait;
    advance({request.id, beginScript(script)});
}

void StatementService::onReply(const CallerReply &reply)
{
    if (auto pendingScript = m_pendingScripts.extract(reply.id)) {
        PendingScript script = std::move(pendingScript.mapped());
        script.run = withReply(std::move(script.run), reply);
        advance(std::move(script));
    }
}

void StatementService::advance(PendingScript script)
{
    const CallId event = takeCallId(m_host.board());
    auto [run, action] = continueScript(std::move(script.run), m_host.board(), event);
    script.run = std::move(run);
    if (const auto *answer = std::get_if<ScriptAnswer>(&action)) {
        m_host.callers().answerStatement(script.call, {answer->failure, answer->text, answer->contentType});
    } else if (const auto *post = std::get_if<PostEvent>(&action)) {
        m_pendingScripts.emplace(post->call, std::move(script));
        m_host.post(post->event);
    } else {
        startReads(script, std::get<StoreReads>(action));
    }
}

void StatementService::startReads(const PendingScript &script, const StoreReads &reads)
{
    const auto pending = std::make_shared<PendingReads>(PendingReads{script.run, {}, reads.ranges.size()});
    for (const StoreRange &range : reads.ranges) {
        m_host.readStore(range, [this, pending, range, call = script.call](const StoreReply &reply) {
            pending->results.push_back(readResult(range, reply));
            if (--pending->remaining == 0) {
                advance({call, withReads(std::move(pending->run), std::move(pending->results))});
            }
        });
    }
}

}
