#include "targetsservice.h"

#include "wire/jsonfields.h"
#include "wire/targetjson.h"

#include <algorithm>
#include <bit>
#include <ranges>

namespace sequoiastand
{

namespace
{

StandInResponse errorResponse(const absl::Status &status)
{
    return {absl::IsNotFound(status) ? 404 : 400, toText({{"error", std::string{status.message()}}})};
}

void armTimer(TargetsService &service)
{
    service.timer->stop();
    if (!service.due.empty()) {
        service.timer->startAt(service.due.begin()->first);
    }
}

/// Applies a step of one model: sends the answers to their exchanges and arms the timer for the next change.
template<typename Step>
void applyStep(TargetsService &service, const TargetId &id, const Step &makeStep)
{
    auto &model = service.models.at(id);
    if (const auto due = nextChange(model)) {
        service.due.erase({*due, id});
    }
    auto step = makeStep(std::move(model));
    model = std::move(step.model);
    if (const auto due = nextChange(model)) {
        service.due.emplace(*due, id);
    }
    for (auto &answer : step.answers) {
        // Call ids are unique within a host only, so the model uses the exchange's id.
        const ExchangeId exchange = answer.reply.id.value;
        if (const auto waiting = service.waiting.extract(exchange)) {
            answer.reply.id = waiting.mapped().id;
            const int status = answer.reply.outcome == TargetOutcome::Accepted ? 200 : 409;
            respondLater(service.server, exchange, {status, encodeTargetReply(answer.reply)}, service.delay);
        }
    }
    armTimer(service);
}

void onTimer(TargetsService &service)
{
    const auto now = EventLoop::now();
    while (!service.due.empty() && service.due.begin()->first <= now) {
        const auto id = service.due.begin()->second;
        applyStep(service, id, [now](TargetModel model) { return advance(std::move(model), now); });
    }
    armTimer(service);
}

/// The selected workers: those named and those in the named racks and zones, or all workers without a selection.
std::vector<TargetId> selectedTargets(const TargetsService &service,
                                      const std::vector<std::string> &targets,
                                      const std::vector<std::string> &racks,
                                      const std::vector<std::string> &zones)
{
    const bool isAll = targets.empty() && racks.empty() && zones.empty();
    const auto contains = [](const std::vector<std::string> &names, const std::string &name) { return std::ranges::find(names, name) != names.end(); };
    std::vector<TargetId> selected;
    for (const auto &[id, place] : service.places) {
        if (isAll || contains(targets, id.value) || contains(racks, place.rack.value) || contains(zones, place.availabilityZone.value)) {
            selected.push_back(id);
        }
    }
    return selected;
}

absl::StatusOr<std::string> nameFromJson(const nlohmann::json &value, const std::string &path)
{
    return value.is_string() ? absl::StatusOr<std::string>{value.get<std::string>()} : absl::InvalidArgumentError(path + ": must be a string");
}

absl::Status readFaults(FieldReader &reader, TargetFaults &faults)
{
    readField(reader, "failEverything", faults.failsEverything);
    readField(reader, "pause", faults.isPaused);
    readField(reader, "silent", faults.isSilent);
    readField(reader, "loseAnswers", faults.losesAnswers);
    readField(reader, "leaving", faults.isLeaving);
    readField(reader, "lagMs", faults.lag);
    return reader.status;
}

/// Applies the faults in the request body. Settings that are absent keep their values; actions are executed if they are true.
absl::Status switchServiceFaults(TargetsService &service, const nlohmann::json &body, ExchangeId exchange)
{
    std::vector<std::string> targets;
    std::vector<std::string> racks;
    std::vector<std::string> zones;
    bool isSilencing = false;
    bool isRestarting = false;
    auto isOut = service.isOut;
    auto delay = service.delay;
    auto reader = makeFieldReader(body, "fault");
    readArray(reader, "targets", targets, nameFromJson);
    readArray(reader, "racks", racks, nameFromJson);
    readArray(reader, "zones", zones, nameFromJson);
    readField(reader, "silentConnections", isSilencing);
    readField(reader, "restart", isRestarting);
    readField(reader, "outage", isOut);
    readField(reader, "delayMs", delay);
    TargetFaults unused;
    if (auto status = readFaults(reader, unused); !status.ok()) {
        return status;
    }
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    const auto selected = selectedTargets(service, targets, racks, zones);
    if (selected.empty()) {
        return absl::NotFoundError("fault: no worker has these names");
    }
    service.isOut = isOut;
    service.delay = delay;
    if (isSilencing) {
        silenceConnections(service.server, exchange);
    }
    const auto now = EventLoop::now();
    for (const auto &id : selected) {
        applyStep(service, id, [&](TargetModel model) {
            auto faults = model.faults;
            auto fields = makeFieldReader(body, "fault");
            readFaults(fields, faults).IgnoreError();
            return switchFaults(isRestarting ? restarted(std::move(model)) : std::move(model), faults, now);
        });
    }
    return absl::OkStatus();
}

nlohmann::json statusToJson(const TargetsService &service)
{
    auto targets = nlohmann::json::object();
    for (const auto &[id, model] : service.models) {
        int running = 0;
        int failed = 0;
        AcceleratorMask used = 0;
        for (const auto &task : model.tasks | std::views::values) {
            running += task.reported.state == TaskState::Running ? 1 : 0;
            failed += task.reported.state == TaskState::Failed ? 1 : 0;
            used |= task.endedAt ? 0 : task.reported.accelerators;
        }
        const auto &faults = model.faults;
        targets[id.value] = {{"holder", model.holder.value},
                             {"epoch", model.epoch},
                             {"running", running},
                             {"failedUnacknowledged", failed},
                             {"usedAccelerators", std::popcount(used)},
                             {"failEverything", faults.failsEverything},
                             {"pause", faults.isPaused},
                             {"silent", faults.isSilent},
                             {"loseAnswers", faults.losesAnswers},
                             {"leaving", faults.isLeaving},
                             {"lagMs", faults.lag.count()}};
    }
    return {{"outage", service.isOut}, {"delayMs", service.delay.count()}, {"calls", service.calls}, {"targets", std::move(targets)}};
}

void answerFault(TargetsService &service, const StandInRequest &request)
{
    if (request.method != "GET") {
        const auto body = parseJson(request.body, "fault");
        if (const auto status = body.ok() ? switchServiceFaults(service, *body, request.id) : body.status(); !status.ok()) {
            respond(service.server, request.id, errorResponse(status));
            return;
        }
    }
    respond(service.server, request.id, {200, toText(statusToJson(service)) + "\n"});
}

void answerCall(TargetsService &service, const StandInRequest &request)
{
    const auto end = request.path.find('/', 1);
    const TargetId id{request.path.substr(1, end == std::string::npos ? end : end - 1)};
    if (end == std::string::npos || !service.models.contains(id)) {
        respond(service.server, request.id, errorResponse(absl::NotFoundError("target " + id.value + " does not exist")));
        return;
    }
    auto call = decodeTargetCall(request.path.substr(end), request.body);
    if (call.ok() && !call->target.value.empty() && call->target != id) {
        call = absl::InvalidArgumentError("targetCall.target: is not " + id.value);
    }
    if (!call.ok()) {
        respond(service.server, request.id, errorResponse(call.status()));
        return;
    }
    ++service.calls;
    service.waiting[request.id] = {id, call->id};
    call->id.value = request.id;
    call->target = id;
    const auto now = EventLoop::now();
    applyStep(service, id, [&](TargetModel model) { return receiveCall(std::move(model), *call, now); });
    if (service.models.at(id).faults.losesAnswers) {
        drop(service.server, request.id);
    }
}

void onRequest(TargetsService &service, const StandInRequest &request)
{
    if (request.path == "/fault") {
        answerFault(service, request);
    } else if (service.isOut) {
        drop(service.server, request.id);
    } else {
        answerCall(service, request);
    }
}

}

absl::Status startTargetsService(TargetsService &service, const Layout &layout)
{
    for (const auto &worker : workersOf(layout)) {
        const TargetId id{worker.id};
        service.places.emplace(id, worker);
        auto &model = service.models[id];
        model.id = id;
        model.acceleratorCount = worker.acceleratorCount;
        model.milliCpu = worker.milliCpu;
        model.memoryMb = worker.memoryMb;
    }
    service.server.onRequest = [&service](const StandInRequest &request) { onRequest(service, request); };
    service.server.onClosed = [&service](ExchangeId id) { service.waiting.erase(id); };
    service.timer = std::make_unique<Timer>(service.server.loop, [&service] { onTimer(service); });
    return startServer(service.server, layout.port);
}

void stopTargetsService(TargetsService &service)
{
    stopServer(service.server);
    service.timer->stop();
}

}
