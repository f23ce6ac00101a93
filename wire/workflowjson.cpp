#include "workflowjson.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace sequoiastand
{

namespace
{

using Json = nlohmann::json;

template<typename Value>
void putUnlessDefault(Json &json, const char *key, const Value &value, const Value &defaultValue)
{
    if (value != defaultValue) {
        json[key] = value;
    }
}

Json millisecondsOf(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime wallTimeOf(const Json &json)
{
    return WallTime{Duration{json.get<long long>()}};
}

Duration durationAt(const Json &json, const char *key)
{
    return Duration{json.value(key, 0LL)};
}

Json toJson(const StepSpecification &step)
{
    const StepSpecification defaults;
    Json json = Json::object();
    putUnlessDefault(json, "tasks", step.taskCount, defaults.taskCount);
    putUnlessDefault(json, "milliCpu", step.perTask.milliCpu, 0);
    putUnlessDefault(json, "memoryMb", step.perTask.memoryMb, 0);
    putUnlessDefault(json, "accelerators", step.perTask.accelerators, 0);
    putUnlessDefault(json, "estimateMs", static_cast<long long>(step.estimate.count()), 0LL);
    putUnlessDefault(json, "after", step.after, defaults.after);
    putUnlessDefault(json, "checkpointable", step.isCheckpointable, false);
    putUnlessDefault(json, "gang", step.isGang, false);
    putUnlessDefault(json, "oneRack", step.needsOneRack, false);
    putUnlessDefault(json, "requiredLabel", step.requiredLabel, defaults.requiredLabel);
    putUnlessDefault(json, "dataRack", step.dataRack.value, defaults.dataRack.value);
    putUnlessDefault(json, "maxPerTarget", step.maxPerTarget, 0);
    putUnlessDefault(json, "speculative", step.isSpeculative, false);
    putUnlessDefault(json, "lasting", step.isLasting, false);
    putUnlessDefault(json, "image", step.image, defaults.image);
    putUnlessDefault(json, "latencyTargetMs", static_cast<long long>(step.latencyTarget.count()), 0LL);
    putUnlessDefault(json, "filler", step.isFiller, false);
    putUnlessDefault(json, "maxUnavailable", step.maxUnavailable, 0);
    return json;
}

StepSpecification stepFromJson(const Json &json)
{
    StepSpecification step;
    step.taskCount = json.value("tasks", 1);
    step.perTask = {json.value("milliCpu", 0), json.value("memoryMb", 0), json.value("accelerators", 0)};
    step.estimate = durationAt(json, "estimateMs");
    step.after = json.value("after", std::vector<int>{});
    step.isCheckpointable = json.value("checkpointable", false);
    step.isGang = json.value("gang", false);
    step.needsOneRack = json.value("oneRack", false);
    step.requiredLabel = json.value("requiredLabel", std::string{});
    step.dataRack = {json.value("dataRack", std::string{})};
    step.maxPerTarget = json.value("maxPerTarget", 0);
    step.isSpeculative = json.value("speculative", false);
    step.isLasting = json.value("lasting", false);
    step.image = json.value("image", std::string{});
    step.latencyTarget = durationAt(json, "latencyTargetMs");
    step.isFiller = json.value("filler", false);
    step.maxUnavailable = json.value("maxUnavailable", 0);
    return step;
}

/// Encodes a task as [finished, last run, failed runs, checkpoint, target, start time of the target instance]; trailing defaults are omitted.
Json toJson(const TaskProgress &task)
{
    Json row = Json::array({task.isFinished ? 1 : 0, task.lastRun, task.failedRuns});
    if (!task.checkpoint.empty() || task.place) {
        row.push_back(task.checkpoint);
    }
    if (task.place) {
        row.push_back(task.place->target.value);
        row.push_back(task.place->startTimeMs);
    }
    return row;
}

TaskProgress taskFromJson(const Json &row)
{
    TaskProgress task;
    task.isFinished = row.at(0).get<int>() != 0;
    task.lastRun = row.at(1).get<int>();
    task.failedRuns = row.at(2).get<int>();
    if (row.size() > 3) {
        task.checkpoint = row.at(3).get<std::string>();
    }
    if (row.size() > 4) {
        task.place = TargetInstance{{row.at(4).get<std::string>()}, row.at(5).get<long long>()};
    }
    return task;
}

Json toJson(const OccurrenceProgress &occurrence)
{
    Json steps = Json::array();
    for (const auto &step : occurrence.steps) {
        Json rows = Json::array();
        std::ranges::transform(step, std::back_inserter(rows), [](const TaskProgress &task) { return toJson(task); });
        steps.push_back(std::move(rows));
    }
    return steps;
}

OccurrenceProgress occurrenceFromJson(const Json &json)
{
    OccurrenceProgress occurrence;
    for (const auto &rows : json) {
        StepProgress step;
        std::ranges::transform(rows, std::back_inserter(step), [](const Json &row) { return taskFromJson(row); });
        occurrence.steps.push_back(std::move(step));
    }
    return occurrence;
}

Json toJson(const TargetShape &shape)
{
    return {{"service", shape.service.value},
            {"milliCpu", shape.capacity.milliCpu},
            {"memoryMb", shape.capacity.memoryMb},
            {"accelerators", shape.capacity.accelerators},
            {"labels", shape.labels},
            {"seenAtMs", millisecondsOf(shape.seenAt)}};
}

TargetShape shapeFromJson(const Json &json)
{
    return {{json.at("service").get<std::string>()},
            {json.value("milliCpu", 0), json.value("memoryMb", 0), json.value("accelerators", 0)},
            json.value("labels", std::vector<std::string>{}),
            wallTimeOf(json.at("seenAtMs"))};
}

}

namespace
{

Json toJson(const Queue &queue)
{
    Json json{{"id", queue.id.value},
              {"host", queue.host},
              {"prefix", queue.prefix},
              {"service", queue.service.value},
              {"priority", queue.priority},
              {"maxAttempts", queue.maxAttempts},
              {"stretch", queue.stretch},
              {"latencyTargetMs", queue.latencyTarget.count()},
              {"timeoutMs", queue.timeout.count()}};
    putUnlessDefault(json, "anonymous", queue.isAnonymous, false);
    if (queue.advice) {
        json["adviceMs"] = Json::array({queue.advice->perCall.count(), queue.advice->perTarget.count(), queue.advice->validity.count()});
    }
    return json;
}

Queue queueFromJson(const Json &json)
{
    Queue queue;
    queue.id = {json.at("id").get<std::string>()};
    queue.host = json.at("host").get<std::string>();
    queue.prefix = json.at("prefix").get<std::string>();
    queue.service = {json.at("service").get<std::string>()};
    queue.priority = json.value("priority", 0);
    queue.maxAttempts = json.value("maxAttempts", 1);
    queue.stretch = json.value("stretch", 1.0);
    queue.latencyTarget = durationAt(json, "latencyTargetMs");
    queue.timeout = durationAt(json, "timeoutMs");
    queue.isAnonymous = json.value("anonymous", false);
    if (json.contains("adviceMs")) {
        const auto &advice = json.at("adviceMs");
        queue.advice = AdviceTerms{Duration{advice.at(0).get<long long>()}, Duration{advice.at(1).get<long long>()}, Duration{advice.at(2).get<long long>()}};
    }
    return queue;
}

}

nlohmann::json toJson(const Workflow &record)
{
    Json steps = Json::array();
    std::ranges::transform(record.specification.steps, std::back_inserter(steps), [](const StepSpecification &step) { return toJson(step); });
    Json json{{"id", record.id.value},
              {"queue", toJson(record.queue)},
              {"organisation", record.organisation.value},
              {"acceptedAtMs", millisecondsOf(record.acceptedAt)},
              {"payload", record.specification.payload},
              {"steps", std::move(steps)}};
    if (const auto &schedule = record.specification.schedule; schedule.count > 0) {
        json["times"] = schedule.count;
        json["firstDueMs"] = millisecondsOf(schedule.firstDue);
        json["intervalMs"] = schedule.interval.count();
    }
    return json;
}

Workflow workflowFromJson(const nlohmann::json &json)
{
    Workflow record;
    record.id = {json.at("id").get<std::string>()};
    record.queue = queueFromJson(json.at("queue"));
    record.organisation = {json.at("organisation").get<std::string>()};
    record.acceptedAt = wallTimeOf(json.at("acceptedAtMs"));
    record.specification.payload = json.at("payload").get<std::string>();
    std::ranges::transform(json.at("steps"), std::back_inserter(record.specification.steps), [](const Json &step) { return stepFromJson(step); });
    if (json.contains("times")) {
        record.specification.schedule = {json.at("times").get<int>(), wallTimeOf(json.at("firstDueMs")), durationAt(json, "intervalMs")};
    }
    return record;
}

nlohmann::json toJson(const WorkflowProgress &record)
{
    Json json{{"state", name(record.state)}};
    Json occurrences = Json::array();
    for (const auto &[number, occurrence] : record.occurrences) {
        occurrences.push_back(Json::array({number, toJson(occurrence)}));
    }
    if (!occurrences.empty()) {
        json["occurrences"] = std::move(occurrences);
    }
    putUnlessDefault(json, "organisation", record.organisation.value, std::string{});
    putUnlessDefault(json, "queue", record.queue.value, std::string{});
    putUnlessDefault(json, "finished", record.finishedOccurrences, 0);
    putUnlessDefault(json, "finishedLater", record.finishedOutOfOrder, std::vector<int>{});
    for (const auto &lost : record.lostRuns) {
        json["lostRuns"].push_back({lost.occurrence, lost.step, lost.index, lost.run});
    }
    if (record.endedAt) {
        json["endedAtMs"] = millisecondsOf(*record.endedAt);
    }
    return json;
}

WorkflowProgress workflowProgressFromJson(const nlohmann::json &json)
{
    WorkflowProgress record;
    const auto state = json.at("state").get<std::string>();
    const auto known = workflowStateFromName(state);
    if (!known) {
        throw Json::other_error::create(501, "unknown state \"" + state + "\"", &json);
    }
    record.state = *known;
    record.organisation = {json.value("organisation", std::string{})};
    record.queue = {json.value("queue", std::string{})};
    if (json.contains("occurrences")) {
        for (const auto &row : json.at("occurrences")) {
            record.occurrences.emplace(row.at(0).get<int>(), occurrenceFromJson(row.at(1)));
        }
    }
    record.finishedOccurrences = json.value("finished", 0);
    record.finishedOutOfOrder = json.value("finishedLater", std::vector<int>{});
    if (json.contains("lostRuns")) {
        for (const auto &row : json.at("lostRuns")) {
            record.lostRuns.insert({row.at(0).get<int>(), row.at(1).get<int>(), row.at(2).get<int>(), row.at(3).get<int>()});
        }
    }
    if (json.contains("endedAtMs")) {
        record.endedAt = wallTimeOf(json.at("endedAtMs"));
    }
    return record;
}

nlohmann::json toJson(const WorkflowCancellation &record)
{
    return {{"requestedAtMs", millisecondsOf(record.requestedAt)}};
}

WorkflowCancellation workflowCancellationFromJson(const nlohmann::json &json)
{
    return {wallTimeOf(json.at("requestedAtMs"))};
}

nlohmann::json toJson(const WorkflowTombstone &record)
{
    return {{"requestedAtMs", millisecondsOf(record.requestedAt)}};
}

WorkflowTombstone workflowTombstoneFromJson(const nlohmann::json &json)
{
    return {wallTimeOf(json.at("requestedAtMs"))};
}

nlohmann::json toJson(const DomainOwner &record)
{
    return {{"host", record.host.value}, {"incarnation", record.incarnation}};
}

DomainOwner domainOwnerFromJson(const nlohmann::json &json)
{
    return {{json.at("host").get<std::string>()}, json.at("incarnation").get<long long>()};
}

nlohmann::json toJson(const CommitMark &record)
{
    return {{"token", record.token}, {"batch", record.batch}};
}

CommitMark commitMarkFromJson(const nlohmann::json &json)
{
    return {json.at("token").get<Revision>(), json.at("batch").get<long long>()};
}

nlohmann::json toJson(const AccessFence &record)
{
    return {{"configuration", record.configuration}};
}

AccessFence accessFenceFromJson(const nlohmann::json &json)
{
    return {json.at("configuration").get<Revision>()};
}

nlohmann::json toJson(const DomainSummary &record)
{
    Json waiting = Json::object();
    for (const auto &[queue, count] : record.waiting) {
        waiting[queue.value] = count;
    }
    Json shapes = Json::array();
    std::ranges::transform(record.shapes, std::back_inserter(shapes), [](const TargetShape &shape) { return toJson(shape); });
    return {{"waiting", std::move(waiting)}, {"shapes", std::move(shapes)}};
}

DomainSummary domainSummaryFromJson(const nlohmann::json &json)
{
    DomainSummary record;
    for (const auto &[queue, count] : json.at("waiting").items()) {
        record.waiting.emplace(QueueId{queue}, count.get<int>());
    }
    std::ranges::transform(json.at("shapes"), std::back_inserter(record.shapes), [](const Json &shape) { return shapeFromJson(shape); });
    return record;
}

}
