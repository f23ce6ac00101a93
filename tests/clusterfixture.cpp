#include "tests/clusterfixture.h"

#include <algorithm>
#include <utility>

namespace sequoiastand
{

Cluster::Cluster()
{
    configuration.version = 1;
    configuration = withItem(configuration, Organisation{.id = {"kask"}});
    configuration = withItem(configuration, AvailabilityZone{.id = {"a"}, .region = "harju"});
}

void Cluster::addHost(const std::string &id, const std::string &zone)
{
    HostSettings settings;
    settings.id = {id};
    settings.availabilityZone = {zone};
    settings.incarnation = 1;
    settings.randomSeed = 7;
    hosts[id].board = makeBlackboard(settings, now, wallNow);
    hosts[id].arriving.emplace_back(HostListRead{listed});
}

void Cluster::addTarget(const std::string &id, const std::string &rack, const std::string &zone)
{
    listed.push_back({ListedKind::Target, id, {rack}, {zone}, "127.0.0.1:9000", 8, 32'000, 131'072, false});
    TargetModel model;
    model.id = {id};
    targets.insert_or_assign(model.id, model);
    for (auto &[name, host] : hosts) {
        host.arriving.emplace_back(HostListRead{listed});
    }
}

/// Stands for updateConfiguration, updateMembership and updatePermit, which have tests of their own.
void Cluster::refreshSurroundings(SimulatedHost &host)
{
    Blackboard &board = host.board;
    board.configuration = configuration;
    if (store.isUp) {
        board.store.lastReadSent = now;
        board.store.isLoaded = true;
    }
    board.permit = permitsStarts ? StartPermit{now + Duration{3'000}, PermitSource::StoreRead, now, false} : StartPermit{};
    for (const auto &[id, other] : hosts) {
        if (id == board.self.id.value) {
            continue;
        }
        const Peer *present = board.peers.find({id});
        Peer peer = present == nullptr ? Peer{} : *present;
        peer.id = {id};
        peer.availabilityZone = other.board.self.availabilityZone;
        if (!other.isDown && !other.isPaused) {
            peer.state = PeerState::Alive;
            peer.lastHeard = now;
            peer.ownedEpoch = other.board.epoch;
            peer.isLeaving = other.board.isStopping;
        } else if (peer.lastHeard) {
            const Duration silence = now - *peer.lastHeard;
            peer.state = silence >= Duration{10'000} ? PeerState::Gone : silence >= Duration{3'000} ? PeerState::Suspect : PeerState::Alive;
        }
        board.peers.put({id}, peer);
    }
}

/// Stands for syncStore: writes what is queued and shows what changed.
void Cluster::exchangeWithStore(SimulatedHost &host)
{
    StoreSession &session = host.board.store;
    session.results.clear();
    if (!store.isUp) {
        return;
    }
    for (const PendingWrite &pending : std::exchange(session.writes, {})) {
        session.results.push_back(writeRow(store, pending.write));
    }
    for (; host.watchedChanges < store.history.size(); ++host.watchedChanges) {
        host.arriving.emplace_back(store.history[host.watchedChanges]);
    }
}

void Cluster::deliver(const std::vector<TargetAnswer> &answers)
{
    for (const TargetAnswer &answer : answers) {
        const auto host = hosts.find(answer.to.value);
        if (host != hosts.end() && !host->second.isDown) {
            host->second.arriving.emplace_back(answer.reply);
        }
    }
}

void Cluster::carryTargetCall(const TargetCall &call)
{
    sentCalls.push_back(call);
    const auto target = targets.find(call.target);
    const auto *start = std::get_if<StartTask>(&call.request);
    const bool isLost = start != nullptr && losesStarts;
    std::vector<TargetAnswer> answers;
    if (target != targets.end() && !isLost) {
        const auto before = target->second.tasks;
        TargetModelStep result = receiveCall(std::move(target->second), call, now);
        target->second = std::move(result.model);
        answers = std::move(result.answers);
        if (start != nullptr) {
            const TaskKey key{start->attempt, start->member};
            const auto old = before.find(key);
            const auto task = target->second.tasks.find(key);
            const bool hasStarted = task != target->second.tasks.end() && task->second.reported.state != TaskState::Reserved
                                    && (old == before.end() || old->second.reported.state == TaskState::Reserved);
            starts[start->attempt.job] += hasStarted ? 1 : 0;
        }
    }
    if (start != nullptr && (losesStarts || losesStartAnswers)) {
        answers = {{call.host, {call.id, call.target, TargetOutcome::Unknown, "answer lost", std::nullopt}}};
    }
    deliver(answers);
}

void Cluster::carry(SimulatedHost &host)
{
    for (const OutgoingMessage &message : std::exchange(host.board.outbox, {})) {
        if (const auto *call = std::get_if<TargetCall>(&message)) {
            carryTargetCall(*call);
        } else if (const auto *reply = std::get_if<CallerReply>(&message)) {
            host.replies.push_back(*reply);
        } else if (const auto *sent = std::get_if<PeerSend>(&message)) {
            const auto peer = hosts.find(sent->peer.value);
            if (peer != hosts.end() && !peer->second.isDown) {
                peer->second.arriving.emplace_back(PeerHeard{host.board.self.id, sent->message});
            }
        } else if (const auto *storeCall = std::get_if<StoreCall>(&message)) {
            if (const auto answer = answerCall(store, *storeCall)) {
                host.arriving.emplace_back(*answer);
            }
        }
    }
}

void Cluster::tickOnce()
{
    now += tick;
    wallNow += tick;
    for (auto &[id, model] : targets) {
        TargetModelStep result = advance(std::move(model), now);
        model = std::move(result.model);
        deliver(result.answers);
    }
    for (auto &[id, host] : hosts) {
        if (host.isDown || host.isPaused) {
            continue;
        }
        refreshSurroundings(host);
        exchangeWithStore(host);
        step(host.board, std::exchange(host.arriving, {}), now, wallNow);
        carry(host);
    }
}

void Cluster::run(Duration duration)
{
    for (Duration passed{0}; passed < duration; passed += tick) {
        tickOnce();
    }
}

void Cluster::runUntil(const std::function<bool()> &condition, Duration limit)
{
    for (Duration passed{0}; passed < limit && !condition(); passed += tick) {
        tickOnce();
    }
    EXPECT_TRUE(condition()) << "condition did not come true within " << limit.count() << " ms";
}

CallId Cluster::submit(const JobSpecification &specification, const std::string &host)
{
    const CallId id{m_nextCall++};
    hosts.at(host).arriving.emplace_back(SubmitRequest{id, specification});
    return id;
}

CallId Cluster::cancel(const JobId &job, const std::string &host)
{
    const CallId id{m_nextCall++};
    hosts.at(host).arriving.emplace_back(CancelRequest{id, job});
    return id;
}

CallId Cluster::askStatus(const JobId &job, Duration wait, const std::string &host)
{
    const CallId id{m_nextCall++};
    hosts.at(host).arriving.emplace_back(StatusRequest{id, job, wait});
    return id;
}

const Job *Cluster::job(const JobId &id, const std::string &host) const
{
    return hosts.at(host).board.jobs.find(id);
}

JobState Cluster::stateOf(const JobId &id, const std::string &host) const
{
    const Job *found = job(id, host);
    return found == nullptr ? JobState::Refused : found->state;
}

bool Cluster::isStored(const JobId &id, JobState state) const
{
    const Job *stored = storedJob(store, id);
    return stored != nullptr && stored->state == state;
}

std::vector<CallerReply> Cluster::repliesTo(CallId call, const std::string &host) const
{
    std::vector<CallerReply> found;
    std::ranges::copy_if(hosts.at(host).replies, std::back_inserter(found), [call](const CallerReply &reply) { return reply.id == call; });
    return found;
}

Blackboard &Cluster::board(const std::string &host)
{
    return hosts.at(host).board;
}

int Cluster::startsOf(const JobId &id) const
{
    const auto found = starts.find(id);
    return found == starts.end() ? 0 : found->second;
}

int Cluster::runningTasksOf(const JobId &id) const
{
    int running = 0;
    for (const auto &[target, model] : targets) {
        running += static_cast<int>(std::ranges::count_if(model.tasks, [&id](const auto &row) {
            return row.first.first.job == id && row.second.reported.state == TaskState::Running && !row.second.endedAt;
        }));
    }
    return running;
}

JobSpecification Cluster::specification(const std::string &request, int tasks)
{
    JobSpecification result;
    result.id = {{"kask"}, {request}};
    result.taskCount = tasks;
    result.isIdempotent = true;
    result.declaredRunTime = Duration{1'000};
    result.payload = payload(1'000);
    return result;
}

std::string Cluster::payload(int runMs, const std::string &outcome)
{
    return R"({"runMs": )" + std::to_string(runMs) + R"(, "outcome": ")" + outcome + R"(", "result": "pressed"})";
}

}
