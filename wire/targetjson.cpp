#include "targetjson.h"

#include "jobjson.h"
#include "jsonfields.h"

#include <algorithm>
#include <array>
#include <optional>
#include <type_traits>

namespace sequoiastand
{

namespace
{

constexpr std::array<std::string_view, 5> taskStateNames{"reserved", "running", "finished", "failed", "stopped"};
constexpr std::array<std::string_view, 4> outcomeNames{"accepted", "refused", "notSent", "unknown"};

/// The paths of the request types, in the order of the alternatives of TargetRequest.
constexpr std::array<std::string_view, 6> paths{"/v1/lease", "/v1/release", "/v1/reserve", "/v1/start", "/v1/stop", "/v1/throttle"};

template<typename Enum, std::size_t size>
auto fromName(const std::array<std::string_view, size> &names)
{
    return [&names](std::string_view text) -> std::optional<Enum> {
        const auto found = std::ranges::find(names, text);
        return found == names.end() ? std::nullopt : std::optional{static_cast<Enum>(found - names.begin())};
    };
}

void putAttempt(nlohmann::json &value, const AttemptId &attempt)
{
    value["organisation"] = attempt.job.organisation.value;
    value["requestId"] = attempt.job.request.value;
    value["attempt"] = attempt.number;
}

void readAttempt(FieldReader &reader, AttemptId &attempt)
{
    requireField(reader, "requestId");
    requireField(reader, "attempt");
    readField(reader, "organisation", attempt.job.organisation);
    readField(reader, "requestId", attempt.job.request);
    readField(reader, "attempt", attempt.number);
}

absl::StatusOr<AttemptId> attemptFromJson(const nlohmann::json &value, const std::string &path)
{
    AttemptId attempt;
    auto reader = makeFieldReader(value, path);
    readAttempt(reader, attempt);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return attempt;
}

template<typename Request>
void putMember(nlohmann::json &value, const Request &request)
{
    putAttempt(value, request.attempt);
    value["member"] = request.member;
}

template<typename Request>
void readMember(FieldReader &reader, Request &request)
{
    readAttempt(reader, request.attempt);
    requireField(reader, "member");
    readField(reader, "member", request.member);
}

void putRequest(nlohmann::json &value, const LeaseTarget &request)
{
    value["durationMs"] = request.duration.count();
    value["waitMs"] = request.wait.count();
    value["knownTasksVersion"] = request.knownTasksVersion;
    auto &acknowledged = value["acknowledged"] = nlohmann::json::array();
    for (const auto &attempt : request.acknowledged) {
        putAttempt(acknowledged.emplace_back(), attempt);
    }
}

void putRequest(nlohmann::json &, const ReleaseTarget &)
{
}

void putRequest(nlohmann::json &value, const ReserveTask &request)
{
    putMember(value, request);
    value["accelerators"] = request.accelerators;
    value["milliCpu"] = request.milliCpu;
    value["memoryMb"] = request.memoryMb;
    value["expiryMs"] = request.expiry.count();
}

void putRequest(nlohmann::json &value, const StartTask &request)
{
    putMember(value, request);
    value["specification"] = toJson(request.specification);
    value["checkpointedWorkMs"] = request.checkpointedWork.count();
}

void putRequest(nlohmann::json &value, const StopTask &request)
{
    putMember(value, request);
    value["takesCheckpoint"] = request.takesCheckpoint;
}

void putRequest(nlohmann::json &value, const ThrottleTask &request)
{
    putMember(value, request);
    value["percent"] = request.percent;
}

void readRequest(FieldReader &reader, LeaseTarget &request)
{
    requireField(reader, "durationMs");
    readField(reader, "durationMs", request.duration);
    readField(reader, "waitMs", request.wait);
    readField(reader, "knownTasksVersion", request.knownTasksVersion);
    readArray(reader, "acknowledged", request.acknowledged, attemptFromJson);
}

void readRequest(FieldReader &, ReleaseTarget &)
{
}

void readRequest(FieldReader &reader, ReserveTask &request)
{
    readMember(reader, request);
    readField(reader, "accelerators", request.accelerators);
    readField(reader, "milliCpu", request.milliCpu);
    readField(reader, "memoryMb", request.memoryMb);
    requireField(reader, "expiryMs");
    readField(reader, "expiryMs", request.expiry);
}

void readRequest(FieldReader &reader, StartTask &request)
{
    readMember(reader, request);
    requireField(reader, "specification");
    readNested(reader, "specification", request.specification, jobSpecificationFromJson);
    readField(reader, "checkpointedWorkMs", request.checkpointedWork);
}

void readRequest(FieldReader &reader, StopTask &request)
{
    readMember(reader, request);
    readField(reader, "takesCheckpoint", request.takesCheckpoint);
}

void readRequest(FieldReader &reader, ThrottleTask &request)
{
    readMember(reader, request);
    requireField(reader, "percent");
    readField(reader, "percent", request.percent);
}

/// Creates a request with default values of the alternative at the index.
template<std::size_t index = 0>
TargetRequest defaultRequest(std::size_t alternative)
{
    if constexpr (index + 1 < std::variant_size_v<TargetRequest>) {
        return alternative == index ? TargetRequest{std::in_place_index<index>} : defaultRequest<index + 1>(alternative);
    } else {
        return TargetRequest{std::in_place_index<index>};
    }
}

nlohmann::json toJson(const ReportedTask &task)
{
    nlohmann::json value;
    putMember(value, task);
    value["state"] = taskStateNames.at(static_cast<std::size_t>(task.state));
    value["accelerators"] = task.accelerators;
    value["checkpointedWorkMs"] = task.checkpointedWork.count();
    value["result"] = task.result;
    if (task.specification) {
        value["specification"] = toJson(*task.specification);
    }
    return value;
}

absl::StatusOr<ReportedTask> reportedTaskFromJson(const nlohmann::json &value, const std::string &path)
{
    ReportedTask task;
    auto reader = makeFieldReader(value, path);
    readMember(reader, task);
    requireField(reader, "state");
    readEnum(reader, "state", task.state, fromName<TaskState>(taskStateNames));
    readField(reader, "accelerators", task.accelerators);
    readField(reader, "checkpointedWorkMs", task.checkpointedWork);
    readField(reader, "result", task.result);
    readNested(reader, "specification", task.specification, jobSpecificationFromJson);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return task;
}

nlohmann::json toJson(const TargetReport &report)
{
    auto tasks = nlohmann::json::array();
    for (const auto &task : report.tasks) {
        tasks.push_back(toJson(task));
    }
    return {{"holder", report.holder.value},
            {"epoch", report.epoch},
            {"leaseRemainingMs", report.leaseRemaining.count()},
            {"leaving", report.isLeaving},
            {"tasks", std::move(tasks)},
            {"tasksVersion", report.tasksVersion},
            {"unchanged", report.isUnchanged}};
}

absl::StatusOr<TargetReport> targetReportFromJson(const nlohmann::json &value, const std::string &path)
{
    TargetReport report;
    auto reader = makeFieldReader(value, path);
    readField(reader, "holder", report.holder);
    readField(reader, "epoch", report.epoch);
    readField(reader, "leaseRemainingMs", report.leaseRemaining);
    readField(reader, "leaving", report.isLeaving);
    readArray(reader, "tasks", report.tasks, reportedTaskFromJson);
    readField(reader, "tasksVersion", report.tasksVersion);
    readField(reader, "unchanged", report.isUnchanged);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return report;
}

}

TargetHttpCall encodeTargetCall(const TargetCall &call)
{
    nlohmann::json value{{"callId", call.id.value}, {"target", call.target.value}, {"host", call.host.value}, {"epoch", call.epoch}};
    std::visit([&value](const auto &request) { putRequest(value, request); }, call.request);
    return {std::string{paths.at(call.request.index())}, toText(value)};
}

absl::StatusOr<TargetCall> decodeTargetCall(std::string_view path, std::string_view body)
{
    const auto found = std::ranges::find(paths, path);
    if (found == paths.end()) {
        return absl::NotFoundError("targetCall: unknown path " + std::string{path});
    }
    const auto value = parseJson(body, "targetCall");
    if (!value.ok()) {
        return value.status();
    }
    TargetCall call;
    call.request = defaultRequest(static_cast<std::size_t>(found - paths.begin()));
    auto reader = makeFieldReader(*value, "targetCall");
    requireField(reader, "host");
    requireField(reader, "epoch");
    readField(reader, "callId", call.id.value);
    readField(reader, "target", call.target);
    readField(reader, "host", call.host);
    readField(reader, "epoch", call.epoch);
    std::visit([&reader](auto &request) { readRequest(reader, request); }, call.request);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return call;
}

std::string encodeTargetReply(const TargetReply &reply)
{
    nlohmann::json value{{"callId", reply.id.value},
                         {"target", reply.target.value},
                         {"outcome", outcomeNames.at(static_cast<std::size_t>(reply.outcome))},
                         {"reason", reply.reason}};
    if (reply.report) {
        value["report"] = toJson(*reply.report);
    }
    return toText(value);
}

absl::StatusOr<TargetReply> decodeTargetReply(std::string_view body)
{
    const auto value = parseJson(body, "targetReply");
    if (!value.ok()) {
        return value.status();
    }
    TargetReply reply;
    auto reader = makeFieldReader(*value, "targetReply");
    requireField(reader, "outcome");
    readField(reader, "callId", reply.id.value);
    readField(reader, "target", reply.target);
    readEnum(reader, "outcome", reply.outcome, fromName<TargetOutcome>(outcomeNames));
    readField(reader, "reason", reply.reason);
    readNested(reader, "report", reply.report, targetReportFromJson);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return reply;
}

}
