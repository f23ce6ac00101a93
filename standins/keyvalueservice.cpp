#include "keyvalueservice.h"

#include "wire/jsonfields.h"

#include <algorithm>
#include <ranges>
#include <vector>

namespace sequoiastand
{

namespace
{

/// Number of changes kept before the oldest half is compacted, which bounds the memory of a long run.
constexpr std::size_t maxChanges = 100'000;

void writeMessage(KeyValueService &service, ExchangeId id, const nlohmann::json &message)
{
    writeStream(service.server, id, toText(message) + "\n");
}

void dropWatches(KeyValueService &service)
{
    for (const auto id : service.watches | std::views::keys) {
        drop(service.server, id);
    }
    service.watches.clear();
}

void sendProgress(KeyValueService &service, TimePoint now)
{
    if (!service.progressDue || *service.progressDue > now) {
        return;
    }
    service.progressDue = now + service.progressPeriod;
    for (const auto &[id, watch] : service.watches) {
        if (watch.wantsProgress) {
            writeMessage(service, id, watchProgressToJson(service.model.revision));
        }
    }
}

/// Sends new changes to the watches and arms the timer. To be called after every change of the model.
void publishChanges(KeyValueService &service)
{
    const auto now = EventLoop::now();
    service.model = expireLeases(std::move(service.model), now);
    for (auto &[id, watch] : service.watches) {
        const auto changes = changesFrom(service.model, watch.span, watch.nextRevision);
        if (changes.ok() && !changes->empty()) {
            writeMessage(service, id, watchChangesToJson(service.model.revision, *changes));
        }
        watch.nextRevision = std::max(watch.nextRevision, service.model.revision + 1);
    }
    if (service.model.changes.size() > maxChanges) {
        const KeyValueCompaction oldestHalf{service.model.changes.at(maxChanges / 2).modRevision};
        service.model = applyRequest(std::move(service.model), oldestHalf, now).model;
    }
    sendProgress(service, now);
    auto due = nextLeaseExpiry(service.model);
    if (service.progressDue && (!due || *service.progressDue < *due)) {
        due = service.progressDue;
    }
    service.timer->stop();
    if (due) {
        service.timer->startAt(*due);
    }
}

StandInResponse errorResponse(const absl::Status &status)
{
    return {httpStatus(status), toText(keyValueErrorToJson(status))};
}

void answerWatch(KeyValueService &service, const StandInRequest &request, const nlohmann::json &body)
{
    const auto wanted = keyValueWatchFromJson(body);
    if (!wanted.ok()) {
        respond(service.server, request.id, errorResponse(wanted.status()));
        return;
    }
    const auto &model = service.model;
    openStream(service.server, request.id);
    writeMessage(service, request.id, watchCreatedToJson(model.revision));
    if (wanted->startRevision > 0 && wanted->startRevision < model.compactedRevision) {
        writeMessage(service, request.id, watchCompactedToJson(model.revision, model.compactedRevision));
        return;
    }
    const auto next = wanted->startRevision > 0 ? wanted->startRevision : model.revision + 1;
    service.watches[request.id] = {wanted->span, next, wanted->wantsProgress};
    if (!service.progressDue) {
        service.progressDue = EventLoop::now() + service.progressPeriod;
    }
    publishChanges(service);
}

void answerCall(KeyValueService &service, const StandInRequest &request, const nlohmann::json &body)
{
    const auto call = keyValueRequestFromJson(request.path, body);
    if (!call.ok()) {
        respond(service.server, request.id, errorResponse(call.status()));
        return;
    }
    const bool isRead = std::holds_alternative<KeyValueRange>(*call);
    (isRead ? service.reads : service.writes) += 1;
    auto step = applyRequest(std::move(service.model), *call, EventLoop::now());
    service.model = std::move(step.model);
    publishChanges(service);
    if (service.faults.losesAnswers) {
        drop(service.server, request.id);
        return;
    }
    auto response = step.answer.ok() ? StandInResponse{200, toText(keyValueAnswerToJson(*call, *step.answer))} : errorResponse(step.answer.status());
    respondLater(service.server, request.id, std::move(response), service.faults.delay);
}

nlohmann::json statusToJson(const KeyValueService &service)
{
    return {{"outage", service.faults.isOut},
            {"loseAnswers", service.faults.losesAnswers},
            {"delayMs", service.faults.delay.count()},
            {"watches", service.watches.size()},
            {"keys", service.model.rows.size()},
            {"leases", service.model.leases.size()},
            {"revision", service.model.revision},
            {"compactedRevision", service.model.compactedRevision},
            {"reads", service.reads},
            {"writes", service.writes}};
}

/// Applies the faults in the request body. Settings that are absent keep their values; actions are executed if they are true.
absl::Status switchFaults(KeyValueService &service, const nlohmann::json &body, ExchangeId exchange)
{
    auto faults = service.faults;
    bool isDroppingWatches = false;
    bool isCompacting = false;
    bool isSilencing = false;
    bool isSaving = false;
    bool isRestoring = false;
    auto reader = makeFieldReader(body, "fault");
    readField(reader, "outage", faults.isOut);
    readField(reader, "loseAnswers", faults.losesAnswers);
    readField(reader, "delayMs", faults.delay);
    readField(reader, "dropWatches", isDroppingWatches);
    readField(reader, "compact", isCompacting);
    readField(reader, "silentConnections", isSilencing);
    readField(reader, "save", isSaving);
    readField(reader, "restore", isRestoring);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    if (isRestoring && !service.saved) {
        return absl::FailedPreconditionError("fault.restore: nothing was saved");
    }
    service.faults = faults;
    if (isSilencing) {
        silenceConnections(service.server, exchange);
    }
    if (isSaving) {
        service.saved = service.model;
    }
    if (isRestoring) {
        service.model = *service.saved;
    }
    if (isCompacting && service.model.revision > service.model.compactedRevision) {
        service.model = applyRequest(std::move(service.model), KeyValueCompaction{service.model.revision}, EventLoop::now()).model;
    }
    if (isDroppingWatches || isRestoring || faults.isOut) {
        dropWatches(service);
    }
    publishChanges(service);
    return absl::OkStatus();
}

void onRequest(KeyValueService &service, const StandInRequest &request)
{
    if (request.path == "/fault") {
        const auto body = parseJson(request.method == "GET" ? "{}" : request.body, "fault");
        const auto status = body.ok() ? switchFaults(service, *body, request.id) : body.status();
        respond(service.server, request.id, status.ok() ? StandInResponse{200, toText(statusToJson(service)) + "\n"} : errorResponse(status));
        return;
    }
    if (service.faults.isOut) {
        drop(service.server, request.id);
        return;
    }
    if (request.method != "POST") {
        respond(service.server, request.id, {405, R"({"error": "Method Not Allowed"})"});
        return;
    }
    const auto body = parseJson(request.body, "body");
    if (!body.ok()) {
        respond(service.server, request.id, errorResponse(body.status()));
    } else if (request.path == "/v3/watch") {
        answerWatch(service, request, *body);
    } else {
        answerCall(service, request, *body);
    }
}

}

absl::Status startKeyValueService(KeyValueService &service, int port)
{
    service.server.onRequest = [&service](const StandInRequest &request) { onRequest(service, request); };
    service.server.onClosed = [&service](ExchangeId id) { service.watches.erase(id); };
    service.timer = std::make_unique<Timer>(service.server.loop, [&service] { publishChanges(service); });
    return startServer(service.server, port);
}

void stopKeyValueService(KeyValueService &service)
{
    stopServer(service.server);
    service.timer->stop();
}

}
