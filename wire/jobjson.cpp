#include "jobjson.h"

#include "jsonfields.h"

#include <optional>

namespace sequoiastand
{

namespace
{

template<typename Clock>
nlohmann::json milliseconds(const std::chrono::time_point<Clock, Duration> &time)
{
    return time.time_since_epoch().count();
}

nlohmann::json toJson(const HeldInterval &interval)
{
    return {{"attempt", interval.attempt},
            {"accelerators", interval.accelerators},
            {"fromMs", milliseconds(interval.from)},
            {"untilMs", milliseconds(interval.until)},
            {"borrowed", interval.isBorrowed},
            {"lostWorkMs", interval.lostWork.count()},
            {"end", name(interval.end)}};
}

absl::StatusOr<HeldInterval> heldIntervalFromJson(const nlohmann::json &value, const std::string &path)
{
    HeldInterval interval;
    auto reader = makeFieldReader(value, path);
    readField(reader, "attempt", interval.attempt);
    readField(reader, "accelerators", interval.accelerators);
    readField(reader, "fromMs", interval.from);
    readField(reader, "untilMs", interval.until);
    readField(reader, "borrowed", interval.isBorrowed);
    readField(reader, "lostWorkMs", interval.lostWork);
    readEnum(reader, "end", interval.end, holdEndFromName);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return interval;
}

std::optional<RefusalReason> refusalReasonFromName(std::string_view text)
{
    for (int number = 0; number <= static_cast<int>(RefusalReason::Internal); ++number) {
        const auto reason = static_cast<RefusalReason>(number);
        if (name(reason) == text) {
            return reason;
        }
    }
    return std::nullopt;
}

std::string_view name(RequestEffect run)
{
    return run == RequestEffect::NotRun ? "no" : "unknown";
}

std::optional<RequestEffect> requestEffectFromName(std::string_view text)
{
    if (text == "no") {
        return RequestEffect::NotRun;
    }
    return text == "unknown" ? std::optional{RequestEffect::Unknown} : std::nullopt;
}

}

nlohmann::json toJson(const JobSpecification &specification)
{
    nlohmann::json value{{"organisation", specification.id.organisation.value},
                         {"requestId", specification.id.request.value},
                         {"team", specification.team.value},
                         {"class", name(specification.jobClass)},
                         {"tasks", specification.taskCount},
                         {"acceleratorsPerTask", specification.acceleratorsPerTask},
                         {"adjacency", name(specification.adjacency)},
                         {"milliCpuPerTask", specification.milliCpuPerTask},
                         {"memoryMbPerTask", specification.memoryMbPerTask},
                         {"idempotent", specification.isIdempotent},
                         {"checkpointable", specification.isCheckpointable},
                         {"declaredRunTimeMs", specification.declaredRunTime.count()},
                         {"payload", specification.payload}};
    if (specification.deadline) {
        value["deadlineMs"] = milliseconds(*specification.deadline);
    }
    return value;
}

absl::StatusOr<JobSpecification> jobSpecificationFromJson(const nlohmann::json &value, const std::string &path)
{
    JobSpecification specification;
    auto reader = makeFieldReader(value, path);
    requireField(reader, "requestId");
    readField(reader, "organisation", specification.id.organisation);
    readField(reader, "requestId", specification.id.request);
    readField(reader, "team", specification.team);
    readEnum(reader, "class", specification.jobClass, jobClassFromName);
    readField(reader, "tasks", specification.taskCount, 1);
    readField(reader, "acceleratorsPerTask", specification.acceleratorsPerTask);
    readEnum(reader, "adjacency", specification.adjacency, adjacencyFromName);
    readField(reader, "milliCpuPerTask", specification.milliCpuPerTask);
    readField(reader, "memoryMbPerTask", specification.memoryMbPerTask);
    readField(reader, "idempotent", specification.isIdempotent);
    readField(reader, "checkpointable", specification.isCheckpointable);
    readField(reader, "declaredRunTimeMs", specification.declaredRunTime);
    readField(reader, "deadlineMs", specification.deadline);
    readField(reader, "payload", specification.payload);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return specification;
}

nlohmann::json toJson(const Job &job)
{
    nlohmann::json value{{"specification", toJson(job.specification)},
                         {"availabilityZone", job.availabilityZone.value},
                         {"state", name(job.state)},
                         {"attemptCount", job.attemptCount},
                         {"mayHaveStarted", job.mayHaveStarted},
                         {"cancelRequested", job.isCancelRequested},
                         {"failedAttempts", job.failedAttempts},
                         {"attemptOwner", job.attemptOwner.value},
                         {"acceptedAtMs", milliseconds(job.acceptedAt)},
                         {"checkpointedWorkMs", job.checkpointedWork.count()},
                         {"result", job.result},
                         {"explanation", job.explanation},
                         {"revision", job.revision}};
    if (job.startedAt) {
        value["startedAtMs"] = milliseconds(*job.startedAt);
    }
    if (job.finishedAt) {
        value["finishedAtMs"] = milliseconds(*job.finishedAt);
    }
    auto &held = value["held"] = nlohmann::json::array();
    for (const auto &interval : job.held) {
        held.push_back(toJson(interval));
    }
    return value;
}

absl::StatusOr<Job> jobFromJson(const nlohmann::json &value, const std::string &path)
{
    Job job;
    auto reader = makeFieldReader(value, path);
    requireField(reader, "specification");
    requireField(reader, "state");
    readNested(reader, "specification", job.specification, jobSpecificationFromJson);
    readField(reader, "availabilityZone", job.availabilityZone);
    readEnum(reader, "state", job.state, jobStateFromName);
    readField(reader, "attemptCount", job.attemptCount);
    readField(reader, "mayHaveStarted", job.mayHaveStarted);
    readField(reader, "cancelRequested", job.isCancelRequested);
    readField(reader, "failedAttempts", job.failedAttempts);
    readField(reader, "attemptOwner", job.attemptOwner);
    readField(reader, "acceptedAtMs", job.acceptedAt);
    readField(reader, "startedAtMs", job.startedAt);
    readField(reader, "finishedAtMs", job.finishedAt);
    readField(reader, "checkpointedWorkMs", job.checkpointedWork);
    readField(reader, "result", job.result);
    readField(reader, "explanation", job.explanation);
    readArray(reader, "held", job.held, heldIntervalFromJson);
    readField(reader, "revision", job.revision);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return job;
}

nlohmann::json toJson(const Refusal &refusal)
{
    return {{"reason", name(refusal.reason)}, {"run", name(refusal.run)}, {"retryAfterMs", refusal.retryAfter.count()}, {"message", refusal.message}};
}

absl::StatusOr<Refusal> refusalFromJson(const nlohmann::json &value, const std::string &path)
{
    Refusal refusal;
    auto reader = makeFieldReader(value, path);
    requireField(reader, "reason");
    requireField(reader, "run");
    readEnum(reader, "reason", refusal.reason, refusalReasonFromName);
    readEnum(reader, "run", refusal.run, requestEffectFromName);
    readField(reader, "retryAfterMs", refusal.retryAfter);
    readField(reader, "message", refusal.message);
    if (auto status = finishFields(reader); !status.ok()) {
        return status;
    }
    return refusal;
}

}
