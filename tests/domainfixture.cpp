#include "domainfixture.h"

#include "standins/samplequeues.h"

#include <absl/strings/match.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace sequoiastand
{

namespace
{

constexpr int targetsPerRack = 4;
constexpr Duration heartbeatPeriod{1'500};

}

DomainTest::DomainTest()
{
    settings.availabilityZones = {{"a"}, {"b"}};
    settings.limits.holdMax = Duration{10'000};
    configuration.version = 0;
    configuration.services.emplace(ServiceId{"press"}, Service{{"press"}, false, false, "/health"});
    configuration.organisations.emplace(OrganisationId{"tailors"}, OrganisationShare{{"tailors"}, 16});
    configuration.organisations.emplace(OrganisationId{"hotels"}, OrganisationShare{{"hotels"}, 16});
    configuration.keys = {{"key-tailors", {"tailors"}}, {"key-hotels", {"hotels"}}};
    std::ranges::for_each(sampleQueues(), [this](const Queue &queue) { setQueue(queue); });
    m_nextHeartbeat = now;
}

void DomainTest::TearDown()
{
    for (const auto &objection : fleet.violations) {
        ADD_FAILURE() << objection;
    }
    if (fleet.violations.empty()) {
        return;
    }
    // An objection reads "TWICE: 0000000000000007.0.0.1: what". Prints the lines of the history about the first objection's task, the
    // actions of the test, and lines that contain the value of DOMAIN_HISTORY.
    const std::vector<std::string> parts = absl::StrSplit(fleet.violations.front(), ": ");
    const char *wanted = std::getenv("DOMAIN_HISTORY");
    for (const auto &line : history) {
        const bool isWanted = wanted != nullptr && absl::StrContains(line, wanted);
        if (isWanted || absl::StrContains(line, parts.at(1)) || absl::StrContains(line, " -- ")) {
            std::cerr << line << '\n';
        }
    }
}

void DomainTest::note(const std::string &what)
{
    history.push_back(absl::StrCat(now.time_since_epoch().count(), " -- ", what));
}

void DomainTest::addHost(const std::string &id, const std::string &zone)
{
    m_hosts[id].zone = zone;
    start(id);
}

void DomainTest::addTargets(int count)
{
    for (int number = 1; number <= count; ++number) {
        const int rack = (number - 1) / targetsPerRack + 1;
        TargetRegistration registration;
        registration.instance = {{absl::StrCat("t", number)}, 1'000};
        registration.service = {"press"};
        registration.address = absl::StrCat("10.0.0.", number, ":80");
        registration.availabilityZone = {rack % 2 == 1 ? "a" : "b"};
        registration.rack = {absl::StrCat("r", rack)};
        registration.labels = {"kind", registration.rack.value};
        registration.capacity = {32'000, 131'072, 8};
        addTarget(fleet, registration, now);
        registerAgain(registration.instance.target.value);
    }
}

void DomainTest::setQueue(const Queue &queue)
{
    configuration.queues.insert_or_assign(queue.id, queue);
    writeConfiguration();
}

void DomainTest::setGuarantee(const std::string &organisation, int accelerators)
{
    configuration.organisations.at({organisation}).guaranteedAccelerators = accelerators;
    writeConfiguration();
}

void DomainTest::setCap(const std::string &organisation, const ResourceCap &cap)
{
    const bool isFirst = m_hosts.empty();
    configuration.organisations.at({organisation}).cap = cap;
    sequoiastand::setCap(fleet, {organisation}, cap, isFirst ? now : now + settings.limits.maxProofAge + tick);
    writeConfiguration();
}

void DomainTest::setKey(const std::string &key, const std::string &organisation)
{
    configuration.keys.insert_or_assign(key, OrganisationId{organisation});
    writeConfiguration();
}

void DomainTest::removeKey(const std::string &key)
{
    configuration.keys.erase(key);
    writeConfiguration();
}

void DomainTest::writeConfiguration()
{
    ++configuration.version;
    putRow(store, queueConfigurationKey(), configuration, now);
}

void DomainTest::evacuate(const std::string &zone)
{
    putRow(store, zoneEvacuationKey({zone}), ZoneEvacuation{}, now);
}

void DomainTest::returnZone(const std::string &zone)
{
    removeRow(store, zoneEvacuationKey({zone}), now);
}

void DomainTest::drain(const std::string &target)
{
    auto &registration = fleet.targets.at({target}).registration;
    registration.isDraining = true;
    putRow(store, targetRegistrationKey({target}), registration, now);
}

void DomainTest::unregister(const std::string &target)
{
    m_unregistered.insert({target});
    removeRow(store, targetRegistrationKey({target}), now);
}

void DomainTest::registerAgain(const std::string &target)
{
    m_unregistered.erase({target});
    putRow(store, targetRegistrationKey({target}), fleet.targets.at({target}).registration, now);
}

void DomainTest::crash(const std::string &target)
{
    note("crash " + target);
    restartTarget(fleet, {target}, now);
    registerAgain(target);
}

void DomainTest::refuseHoldsOfFormerInstances()
{
    for (const auto &hold : std::exchange(m_holds, {})) {
        if (fleet.targets.at(hold.order.target).registration.instance.startTimeMs == hold.startTimeMs) {
            m_holds.push_back(hold);
            continue;
        }
        TargetOrderReply refusal;
        refusal.id = hold.order.id;
        refusal.target = hold.order.target;
        refusal.outcome = OrderOutcome::Refused;
        refusal.refusal = OrderRefusal::OtherInstance;
        refusal.error = "status 421";
        reply(hold.host, refusal);
    }
}

void DomainTest::kill(const std::string &host)
{
    note("kill " + host);
    auto &process = m_hosts.at(host);
    process.isUp = false;
    process.inbox.clear();
    process.storeCalls.clear();
    closeWatches(store, {host});
    std::erase_if(store.deliveries, [&](const FakeDelivery &delivery) { return delivery.host == HostId{host}; });
    std::erase_if(m_holds, [&](const WaitingHold &hold) { return hold.host == host; });
    std::erase_if(m_questions, [&](const OpenQuestion &question) { return question.host == host; });
}

void DomainTest::start(const std::string &host)
{
    note("start " + host);
    auto &process = m_hosts.at(host);
    process.isUp = true;
    process.isPaused = false;
    DomainSettings own = settings;
    own.id = {host};
    own.availabilityZone = {process.zone};
    own.incarnation = ++process.starts;
    own.randomSeed = std::hash<std::string>{}(host) + static_cast<unsigned long long>(process.starts);
    process.board = makeWorkflowBoard(own, now, wallNow);
    // Call ids must differ between the incarnations of a process, or the answer to an old call would match a new one.
    process.board.nextCallId = static_cast<unsigned long long>(process.starts) * 10'000'000;
}

void DomainTest::startIfDown(const std::string &host)
{
    if (!m_hosts.at(host).isUp) {
        start(host);
    }
}

void DomainTest::pause(const std::string &host)
{
    note("pause " + host);
    m_hosts.at(host).isPaused = true;
}

void DomainTest::resume(const std::string &host)
{
    note("resume " + host);
    m_hosts.at(host).isPaused = false;
}

void DomainTest::requestStop(const std::string &host)
{
    m_hosts.at(host).inbox.emplace_back(StopRequested{});
}

void DomainTest::slowDown(const std::string &host, Duration pause)
{
    m_hosts.at(host).pause = pause;
}

void DomainTest::cutOff(const std::string &target)
{
    note("cutOff " + target);
    m_cutOff.insert({target});
}

void DomainTest::reconnect(const std::string &target)
{
    note("reconnect " + target);
    m_cutOff.erase({target});
}

void DomainTest::run(Duration duration)
{
    const TimePoint end = now + duration;
    while (now < end) {
        tickOnce();
    }
}

void DomainTest::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const TimePoint end = now + limit;
    while (!condition()) {
        if (now >= end) {
            FAIL() << "the condition does not hold after " << limit.count() << " ms";
        }
        tickOnce();
    }
}

RequestId DomainTest::id(int number)
{
    return {absl::StrFormat("%016x", number)};
}

void DomainTest::writeHeartbeats()
{
    if (now < m_nextHeartbeat) {
        return;
    }
    m_nextHeartbeat = now + heartbeatPeriod;
    for (const auto &[id, target] : fleet.targets) {
        if (!m_unregistered.contains(id)) {
            putRow(store, targetRegistrationKey(id), target.registration, now);
        }
    }
}

void DomainTest::tickOnce()
{
    now += tick;
    wallNow += tick;
    advance(fleet, now);
    writeHeartbeats();
    deliverLateOrders();
    deliverDelayedReplies();
    answerHolds();
    answerQuestions();
    for (auto &[id, host] : m_hosts) {
        if (host.isUp && !host.isPaused) {
            stepHost(id, host);
        }
    }
}

void DomainTest::stepHost(const std::string &id, Host &host)
{
    for (const auto &beginning : takeBeginnings(store, {id}, now)) {
        // The store client keeps a call open while its answer arrives.
        if (const auto call = host.storeCalls.find(beginning.call); call != host.storeCalls.end()) {
            call->second = now + beginning.transferTime + tick;
            host.inbox.emplace_back(StoreAnswerBegun{beginning.call});
        }
    }
    for (auto &event : takeStoreEvents(store, {id}, now)) {
        // The store client drops answers to calls that have timed out.
        const auto *answer = std::get_if<StoreReply>(&event);
        if (answer != nullptr && host.storeCalls.erase(answer->id) == 0) {
            continue;
        }
        std::visit(
            [&](auto &alternative) {
                if constexpr (std::is_constructible_v<WorkflowEvent, decltype(std::move(alternative))>) {
                    host.inbox.emplace_back(std::move(alternative));
                }
            },
            event);
    }
    reportTimeouts(host);
    const auto due = nextDue(host.board.timers);
    if ((host.inbox.empty() && (!due || *due > now)) || now < host.nextStepAt) {
        return;
    }
    host.nextStepAt = now + host.pause;
    step(host.board, std::exchange(host.inbox, {}), now, wallNow);
    updateWatches(store, {id}, host.board.mirrors);
    for (const auto &message : std::exchange(host.board.outbox, {})) {
        if (const auto *call = std::get_if<StoreCall>(&message)) {
            host.storeCalls.emplace(call->id, now + call->timeout);
            submitCall(store, {id}, *call, now);
        } else if (const auto *order = std::get_if<TargetOrder>(&message)) {
            deliverOrder(id, *order);
        } else if (const auto *request = std::get_if<AdviceRequest>(&message)) {
            ask(id, *request);
        } else if (const auto *check = std::get_if<ReadinessCheck>(&message)) {
            checkReadiness(id, *check);
        } else {
            const auto &answer = std::get<CallerAnswer>(message);
            m_answers.insert_or_assign(answer.id, answer);
        }
    }
    for (const auto &entry : std::exchange(host.board.log, {})) {
        history.push_back(absl::StrCat(now.time_since_epoch().count(), " ", id, " ", entry.step, " ", entry.peer, " ", entry.job, " ", entry.message));
    }
    host.board.counters.samples.clear();
}

/// Reports calls that time out now, as the store client does.
void DomainTest::reportTimeouts(Host &host)
{
    std::erase_if(host.storeCalls, [&](const auto &row) {
        if (row.second > now) {
            return false;
        }
        StoreReply timeout;
        timeout.id = row.first;
        timeout.error = "timeout";
        host.inbox.emplace_back(timeout);
        return true;
    });
}

void DomainTest::reply(const std::string &host, const TargetOrderReply &answer)
{
    m_hosts.at(host).inbox.emplace_back(answer);
}

Duration DomainTest::delayOf(const TargetOrder &order) const
{
    if (std::holds_alternative<StartRun>(order.request)) {
        return startDelay;
    }
    if (std::holds_alternative<PaceRun>(order.request)) {
        return paceDelay;
    }
    return std::holds_alternative<HoldRuns>(order.request) ? holdDelay : Duration{0};
}

void DomainTest::deliverOrder(const std::string &host, const TargetOrder &order)
{
    sentOrders.push_back(order);
    TargetOrderReply unknown;
    unknown.id = order.id;
    unknown.target = order.target;
    unknown.error = "timeout";
    if (m_cutOff.contains(order.target)) {
        reply(host, unknown);
        return;
    }
    const bool isStart = std::holds_alternative<StartRun>(order.request);
    if (const auto delay = delayOf(order); delay > Duration{0}) {
        m_lateOrders.push_back({now + delay, order, fleet.targets.at(order.target).registration.instance.startTimeMs});
        reply(host, unknown);
        return;
    }
    if (unhealthyTargets.contains(order.target) && !std::holds_alternative<HoldRuns>(order.request)) {
        TargetOrderReply refusal = unknown;
        refusal.outcome = OrderOutcome::Refused;
        refusal.refusal = OrderRefusal::Unhealthy;
        refusal.error = "status 503";
        reply(host, refusal);
        return;
    }
    const auto answer = carryOut(fleet, order, now);
    if (isStart) {
        history.push_back(absl::StrCat(now.time_since_epoch().count(),
                                       " start ",
                                       order.target.value,
                                       " ",
                                       toString(std::get<StartRun>(order.request).task),
                                       " ",
                                       std::string(name(answer.refusal))));
    }
    if (isStart && losesStartAnswers) {
        reply(host, unknown);
        return;
    }
    if (slowTargets.contains(order.target)) {
        answerLate(host, order, answer);
        return;
    }
    const auto *hold = std::get_if<HoldRuns>(&order.request);
    if (hold != nullptr && hold->wait > Duration{0} && answer.outcome == OrderOutcome::Accepted && answer.lists->ended.empty()) {
        const auto &target = fleet.targets.at(order.target);
        m_holds.push_back({host, order, now + hold->wait, target.ends, target.registration.instance.startTimeMs});
        return;
    }
    reply(host, answer);
}

/// Delivers the answer of a slow target, or the timeout of the call if that comes first.
void DomainTest::answerLate(const std::string &host, const TargetOrder &order, const TargetOrderReply &answer)
{
    const auto *hold = std::get_if<HoldRuns>(&order.request);
    const auto needed = slowTargets.at(order.target) + (hold == nullptr ? Duration{0} : hold->wait);
    TargetOrderReply timeout;
    timeout.id = order.id;
    timeout.target = order.target;
    timeout.error = "timeout";
    m_delayedReplies.push_back({host, needed < order.timeout ? answer : timeout, now + std::min(needed, order.timeout)});
}

/// Answers a readiness check, or reports its timeout if that comes first.
void DomainTest::checkReadiness(const std::string &host, const ReadinessCheck &check)
{
    const auto checked = m_hosts.find(check.host.value);
    const bool isUp = checked != m_hosts.end() && checked->second.isUp && !checked->second.isPaused;
    const bool isReadyInTime =
        isUp && readinessDelay < check.timeout && (check.isForOwnership ? isFitToOwn(checked->second.board) : isReady(checked->second.board));
    const ReadinessReply answer{check.id, isReadyInTime};
    if (readinessDelay == Duration{0}) {
        m_hosts.at(host).inbox.emplace_back(answer);
    } else {
        m_delayedReadiness.push_back({host, answer, now + std::min(readinessDelay, check.timeout)});
    }
}

void DomainTest::deliverDelayedReplies()
{
    for (const auto &delayed : std::exchange(m_delayedReadiness, {})) {
        if (now >= delayed.due) {
            m_hosts.at(delayed.host).inbox.emplace_back(delayed.reply);
        } else {
            m_delayedReadiness.push_back(delayed);
        }
    }
    for (const auto &delayed : std::exchange(m_delayedReplies, {})) {
        if (now >= delayed.due) {
            reply(delayed.host, delayed.reply);
        } else {
            m_delayedReplies.push_back(delayed);
        }
    }
}

void DomainTest::ask(const std::string &host, const AdviceRequest &request)
{
    const auto &terms = *fleet.workflows.at(request.step.workflow).queue.advice;
    const auto needed = isAdviserUnresponsive ? request.timeout : terms.perCall + terms.perTarget * static_cast<int>(request.targets.size());
    m_questions.push_back({host, request, now + needed});
}

void DomainTest::answerQuestions()
{
    const auto open = std::exchange(m_questions, {});
    for (const auto &question : open) {
        if (now < question.answerAt) {
            m_questions.push_back(question);
            continue;
        }
        AdviceReply answer;
        answer.id = question.request.id;
        answer.error = "timeout";
        if (!isAdviserUnresponsive) {
            std::map<TargetId, TargetInstance> lives;
            for (const auto &[id, target] : fleet.targets) {
                lives.emplace(id, target.registration.instance);
            }
            const auto &terms = *fleet.workflows.at(question.request.step.workflow).queue.advice;
            answer = answerAdviceRequest(fleet.adviser, question.request, lives, terms.validity, now);
        }
        m_hosts.at(question.host).inbox.emplace_back(std::move(answer));
    }
}

void DomainTest::deliverLateOrders()
{
    const auto late = std::exchange(m_lateOrders, {});
    for (const auto &order : late) {
        const auto target = fleet.targets.find(order.order.target);
        const bool isSameInstance = target != fleet.targets.end() && target->second.registration.instance.startTimeMs == order.startTimeMs;
        if (!isSameInstance && !lateOrdersSurvive) {
            continue;
        }
        if (order.due <= now) {
            const auto answer = carryOut(fleet, order.order, now);
            const auto *start = std::get_if<StartRun>(&order.order.request);
            history.push_back(absl::StrCat(now.time_since_epoch().count(),
                                           start != nullptr ? " late start " : " -- late hold ",
                                           order.order.target.value,
                                           " ",
                                           start != nullptr ? toString(start->task) : "",
                                           " ",
                                           std::string(name(answer.refusal))));
        } else {
            m_lateOrders.push_back(order);
        }
    }
}

void DomainTest::answerHolds()
{
    const auto waiting = std::exchange(m_holds, {});
    for (const auto &hold : waiting) {
        const auto target = fleet.targets.find(hold.order.target);
        const bool isCut = m_cutOff.contains(hold.order.target) || target == fleet.targets.end();
        const bool hasEnded = target != fleet.targets.end() && target->second.ends != hold.knownEnds;
        if (now < hold.answerAt && !hasEnded) {
            m_holds.push_back(hold);
        } else if (isCut) {
            TargetOrderReply unknown;
            unknown.id = hold.order.id;
            unknown.target = hold.order.target;
            unknown.error = "timeout";
            reply(hold.host, unknown);
        } else {
            TargetOrder probe = hold.order;
            auto &request = std::get<HoldRuns>(probe.request);
            request.deadline.reset();
            reply(hold.host, carryOut(fleet, probe, now));
        }
    }
}

}
