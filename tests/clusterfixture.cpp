#include "tests/clusterfixture.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

ClusterTest::ClusterTest()
{
    cluster.onTargetCall = [this](FakeCluster &, const HostId &, const TargetCall &call) { handleTargetCall(call); };
    configure(Organisation{.id = {"kask"}});
    configure(AvailabilityZone{.id = {"a"}, .region = "harju"});
}

void ClusterTest::addEntryHost(const std::string &id, const std::string &zone)
{
    addHost(cluster, id, zone);
    send(id, HostListRead{listed});
}

void ClusterTest::addTarget(const std::string &id, const std::string &rack, const std::string &zone)
{
    listed.push_back({ListedKind::Target, id, {rack}, {zone}, "127.0.0.1:9000", 8, 32'000, 131'072, false});
    TargetModel model;
    model.id = {id};
    targets.insert_or_assign(model.id, model);
    for (const auto &[name, board] : cluster.hosts) {
        send(name.value, HostListRead{listed});
    }
}

void ClusterTest::configure(const ConfigurationItem &item)
{
    std::erase_if(m_items, [&item](const ConfigurationItem &present) { return itemPath(present) == itemPath(item); });
    m_items.push_back(item);
    putConfiguration(cluster.store, ++m_version, m_items, cluster.now);
}

void ClusterTest::setStoreUp(bool isUp)
{
    cluster.store.faults.isDown = !isUp;
}

void ClusterTest::holdStarts(const std::string &host, bool isHeld)
{
    send(host, HoldRequest{CallId{m_nextCall++}, {"operator"}, isHeld});
}

void ClusterTest::setFaults(const std::string &target, const TargetFaults &faults)
{
    TargetModelStep result = switchFaults(targets.at({target}), faults, cluster.now);
    targets.at({target}) = std::move(result.model);
    deliver(result.answers);
}

void ClusterTest::kill(const std::string &host)
{
    m_dead.insert(host);
    cluster.paused.insert({host});
    for (const auto &[id, board] : cluster.hosts) {
        setCut(cluster, host, id.value, true);
    }
}

void ClusterTest::pause(const std::string &host)
{
    cluster.paused.insert({host});
}

void ClusterTest::resume(const std::string &host)
{
    cluster.paused.erase({host});
}

void ClusterTest::send(const std::string &host, Event event)
{
    post(cluster, host, std::move(event));
}

void ClusterTest::deliver(const std::vector<TargetAnswer> &answers)
{
    for (const TargetAnswer &answer : answers) {
        if (cluster.hosts.contains(answer.to) && !m_dead.contains(answer.to.value)) {
            post(cluster, answer.to.value, answer.reply);
        }
    }
}

void ClusterTest::handleTargetCall(const TargetCall &call)
{
    sentCalls.push_back(call);
    const auto target = targets.find(call.target);
    const auto *start = std::get_if<StartTask>(&call.request);
    std::vector<TargetAnswer> answers;
    if (target != targets.end() && !(start != nullptr && losesStarts)) {
        const auto isActive = [&target, start] {
            const auto task = target->second.tasks.find({start->attempt, start->member});
            return task != target->second.tasks.end() && task->second.reported.state != TaskState::Reserved;
        };
        const bool wasActive = start != nullptr && isActive();
        TargetModelStep result = receiveCall(std::move(target->second), call, cluster.now);
        target->second = std::move(result.model);
        answers = std::move(result.answers);
        if (start != nullptr && !wasActive && isActive()) {
            ++m_starts[start->attempt.job];
            const auto place = std::ranges::find(listed, call.target.value, &ListedHost::id);
            record(TaskStarted{start->attempt, start->member, call.target, place->availabilityZone});
            m_running.insert({start->attempt, start->member});
        }
    }
    if (start != nullptr && (losesStarts || losesStartAnswers)) {
        answers = {{call.host, {call.id, call.target, TargetOutcome::Unknown, "answer lost", std::nullopt}}};
    }
    deliver(answers);
}

void ClusterTest::tickOnce()
{
    for (auto &[id, model] : targets) {
        TargetModelStep result = advance(std::move(model), cluster.now);
        model = std::move(result.model);
        deliver(result.answers);
    }
    sequoiastand::run(cluster, tick);
    if (recordsHistory) {
        recordTick();
    }
}

void ClusterTest::record(HistoryChange change)
{
    if (recordsHistory) {
        m_history.push_back({cluster.now, std::move(change)});
    }
}

void ClusterTest::recordTick()
{
    std::set<TaskKey> running;
    for (const auto &[id, model] : targets) {
        for (const auto &[key, task] : model.tasks) {
            if (task.reported.state == TaskState::Running && !task.endedAt) {
                running.insert(key);
            }
        }
    }
    for (const auto &[attempt, member] : std::exchange(m_running, running)) {
        if (!running.contains({attempt, member})) {
            record(TaskEnded{attempt, member});
        }
    }
    for (const auto &[id, board] : cluster.hosts) {
        const long long version = board.configuration.version;
        if (std::exchange(m_appliedVersions[id], version) != version) {
            record(ConfigurationApplied{id, version});
        }
    }
}

std::vector<HistoryEvent> ClusterTest::recordedHistory() const
{
    auto history = m_history;
    for (const auto &event : m_history) {
        if (const auto *sent = std::get_if<JobSent>(&event.change)) {
            for (const CallerReply &reply : repliesTo(sent->call)) {
                const JobId job = reply.job ? reply.job->specification.id : sent->specification.id;
                history.push_back({cluster.now, CallAnswered{sent->call, job, reply.refusal}});
            }
        }
    }
    return history;
}

void ClusterTest::run(Duration duration)
{
    for (Duration passed{0}; passed < duration; passed += tick) {
        tickOnce();
    }
}

void ClusterTest::runUntil(const std::function<bool()> &condition, Duration limit)
{
    for (Duration passed{0}; passed < limit && !condition(); passed += tick) {
        tickOnce();
    }
    EXPECT_TRUE(condition()) << "condition did not come true within " << limit.count() << " ms";
}

CallId ClusterTest::submit(const JobSpecification &specification, const std::string &host)
{
    const CallId id{m_nextCall++};
    send(host, SubmitRequest{id, specification});
    record(JobSent{id, specification});
    return id;
}

CallId ClusterTest::cancel(const JobId &job, const std::string &host)
{
    const CallId id{m_nextCall++};
    send(host, CancelRequest{id, job});
    return id;
}

CallId ClusterTest::askStatus(const JobId &job, Duration wait, const std::string &host)
{
    const CallId id{m_nextCall++};
    send(host, StatusRequest{id, job, wait});
    return id;
}

Blackboard &ClusterTest::board(const std::string &host)
{
    return boardOf(cluster, host);
}

const Job *ClusterTest::job(const JobId &id, const std::string &host)
{
    return board(host).jobs.find(id);
}

JobState ClusterTest::stateOf(const JobId &id, const std::string &host)
{
    const Job *found = job(id, host);
    return found == nullptr ? JobState::Refused : found->state;
}

Job ClusterTest::storedJob(const JobId &id) const
{
    return hasStoredRecord(id) ? std::get<Job>(cluster.store.rows.at(jobKey(id)).record) : Job{};
}

bool ClusterTest::hasStoredRecord(const JobId &id) const
{
    return cluster.store.rows.contains(jobKey(id));
}

bool ClusterTest::isStored(const JobId &id, JobState state) const
{
    return hasStoredRecord(id) && storedJob(id).state == state;
}

std::vector<CallerReply> ClusterTest::repliesTo(CallId call) const
{
    std::vector<CallerReply> found;
    for (const auto &[at, reply] : cluster.replies) {
        if (reply.id == call) {
            found.push_back(reply);
        }
    }
    return found;
}

std::string ClusterTest::owners()
{
    std::string found;
    for (const auto &[id, board] : cluster.hosts) {
        if (!m_dead.contains(id.value) && board.epoch > 0) {
            found += id.value;
        }
    }
    return found;
}

int ClusterTest::startsOf(const JobId &id) const
{
    const auto found = m_starts.find(id);
    return found == m_starts.end() ? 0 : found->second;
}

int ClusterTest::runningTasksOf(const JobId &id) const
{
    int running = 0;
    for (const auto &[target, model] : targets) {
        running += static_cast<int>(std::ranges::count_if(model.tasks, [&id](const auto &row) {
            return row.first.first.job == id && row.second.reported.state == TaskState::Running && !row.second.endedAt;
        }));
    }
    return running;
}

JobSpecification ClusterTest::specification(const std::string &request, int tasks)
{
    JobSpecification result;
    result.id = {{"kask"}, {request}};
    result.taskCount = tasks;
    result.isIdempotent = true;
    result.declaredRunTime = Duration{1'000};
    result.payload = payload(1'000);
    return result;
}

std::string ClusterTest::payload(int runMs, const std::string &outcome)
{
    return R"({"runMs": )" + std::to_string(runMs) + R"(, "outcome": ")" + outcome + R"(", "result": "pressed"})";
}

}
