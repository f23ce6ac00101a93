#include "domainfixture.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr const char *queueHost = "press.example"; // Host name of the sample queues.

}

CallId DomainTest::post(const std::string &host, CallerRequest request)
{
    request.id = {m_nextCall++};
    request.host = queueHost;
    request.answerTimeout = callerTimeout;
    if (request.key.empty()) {
        request.key = callerKey;
    }
    m_hosts.at(host).inbox.emplace_back(request);
    return request.id;
}

CallId DomainTest::submit(const RequestId &id,
                          const WorkflowSpecification &specification,
                          const TaskBehaviour &behaviour,
                          const std::string &host,
                          const std::string &prefix)
{
    Workflow workflow;
    workflow.id = id;
    workflow.queue = *findQueue(configuration, queueHost, prefix);
    workflow.specification = specification;
    if (const auto key = configuration.keys.find(callerKey); key != configuration.keys.end()) {
        workflow.organisation = key->second;
    }
    fleet.workflows.insert_or_assign(id, workflow);
    fleet.behaviours.insert_or_assign(id, behaviour);
    CallerRequest request;
    request.action = CallerAction::Submit;
    request.path = prefix + id.value;
    request.specification = specification;
    return post(host, request);
}

CallId DomainTest::query(const RequestId &id, const std::string &host, const std::string &prefix)
{
    CallerRequest request;
    request.action = CallerAction::Query;
    request.path = prefix + id.value;
    return post(host, request);
}

CallId DomainTest::cancel(const RequestId &id, const std::string &host, const std::string &prefix)
{
    CallerRequest request;
    request.action = CallerAction::Cancel;
    request.path = prefix + id.value;
    return post(host, request);
}

CallId DomainTest::countWaiting(const std::string &prefix, const std::string &host)
{
    CallerRequest request;
    request.action = CallerAction::Query;
    request.path = prefix;
    return post(host, request);
}

bool DomainTest::isAnswered(CallId call) const
{
    return m_answers.contains(call);
}

CallerAnswer DomainTest::answerTo(CallId call, Duration limit)
{
    runUntil([&] { return isAnswered(call); }, limit);
    const auto found = m_answers.find(call);
    return found == m_answers.end() ? CallerAnswer{} : found->second;
}

WorkflowBoard &DomainTest::board(const std::string &host)
{
    return m_hosts.at(host).board;
}

std::string DomainTest::owner()
{
    const auto found = std::ranges::find_if(m_hosts, [](const auto &row) { return row.second.isUp && !row.second.isPaused && hasAuthority(row.second.board); });
    return found == m_hosts.end() ? std::string{} : found->first;
}

std::optional<WorkflowState> DomainTest::storedState(const RequestId &id) const
{
    const auto row = store.rows.find(workflowProgressKey(id));
    if (row == store.rows.end()) {
        return std::nullopt;
    }
    return std::get<WorkflowProgress>(row->second.record).state;
}

WorkflowSpecification DomainTest::gang(int tasks, Resources perTask, Duration estimate)
{
    auto specification = batch(tasks, perTask, estimate);
    specification.steps.front().isGang = true;
    return specification;
}

WorkflowSpecification DomainTest::batch(int tasks, Resources perTask, Duration estimate)
{
    StepSpecification step;
    step.taskCount = tasks;
    step.perTask = perTask;
    step.estimate = estimate;
    return {"payload", {step}, {}};
}

}
