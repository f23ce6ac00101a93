#include "historychecker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace sequoiastand
{

namespace
{

using Violations = std::vector<HistoryViolation>;

/// Calls the visitor with the time and the change of every event of one kind.
template<typename Change, typename Visitor>
void forEach(const std::vector<HistoryEvent> &history, const Visitor &visitor)
{
    for (const auto &event : history) {
        if (const auto *change = std::get_if<Change>(&event.change)) {
            visitor(event.at, *change);
        }
    }
}

std::map<JobId, JobSpecification> specificationsOf(const std::vector<HistoryEvent> &history)
{
    std::map<JobId, JobSpecification> found;
    forEach<JobSent>(history, [&found](TimePoint, const JobSent &submission) { found.emplace(submission.specification.id, submission.specification); });
    return found;
}

/// Invariant 6: no member of a job that is not idempotent starts more than once.
void checkRunsOnce(const std::vector<HistoryEvent> &history, Violations &violations)
{
    const auto specifications = specificationsOf(history);
    std::set<std::pair<JobId, int>> started;
    forEach<TaskStarted>(history, [&](TimePoint, const TaskStarted &start) {
        const auto job = specifications.find(start.attempt.job);
        const bool isFirst = started.emplace(start.attempt.job, start.member).second;
        if (job != specifications.end() && !job->second.isIdempotent && !isFirst) {
            violations.push_back({6, toString(start.attempt.job) + " is not idempotent and member " + std::to_string(start.member) + " started again"});
        }
    });
}

struct GangSpan
{
    TimePoint firstStart;
    std::set<int> started;
    std::set<int> running;
};

/// Invariant 2: a gang must not keep running for longer than the time limit while some of its members have not started.
void checkGangs(const std::vector<HistoryEvent> &history, const HistoryBounds &bounds, Violations &violations)
{
    const auto specifications = specificationsOf(history);
    std::map<AttemptId, GangSpan> incomplete;
    const auto report = [&](TimePoint now) {
        std::erase_if(incomplete, [&](const auto &entry) {
            const bool isTooLong = now - entry.second.firstStart > bounds.gangIncomplete;
            if (isTooLong) {
                violations.push_back({2, "part of " + toString(entry.first.job) + " ran without the rest of its gang"});
            }
            return isTooLong;
        });
    };
    for (const auto &event : history) {
        report(event.at);
        if (const auto *start = std::get_if<TaskStarted>(&event.change)) {
            const auto job = specifications.find(start->attempt.job);
            auto &span = incomplete.try_emplace(start->attempt, GangSpan{event.at, {}, {}}).first->second;
            span.started.insert(start->member);
            span.running.insert(start->member);
            if (job == specifications.end() || static_cast<int>(span.started.size()) >= job->second.taskCount) {
                incomplete.erase(start->attempt);
            }
        } else if (const auto *end = std::get_if<TaskEnded>(&event.change)) {
            const auto span = incomplete.find(end->attempt);
            if (span != incomplete.end() && span->second.running.erase(end->member) > 0 && span->second.running.empty()) {
                incomplete.erase(span);
            }
        }
    }
}

/// Invariants 3 and 7: no task starts in a zone (3) that has been out of service, or on a target (7) that has been leaving, for longer than the time limit.
void checkStarts(const std::vector<HistoryEvent> &history, const HistoryBounds &bounds, Violations &violations)
{
    std::map<AvailabilityZoneId, TimePoint> outSince;
    std::map<TargetId, TimePoint> leavingSince;
    const auto isLate = [](const auto &since, const auto &id, TimePoint at, Duration bound) {
        const auto found = since.find(id);
        return found != since.end() && at - found->second > bound;
    };
    for (const auto &event : history) {
        if (const auto *zone = std::get_if<ZoneChanged>(&event.change)) {
            if (zone->isOut) {
                outSince.emplace(zone->availabilityZone, event.at);
            } else {
                outSince.erase(zone->availabilityZone);
            }
        } else if (const auto *leaving = std::get_if<TargetLeaving>(&event.change)) {
            leavingSince.emplace(leaving->target, event.at);
        } else if (const auto *start = std::get_if<TaskStarted>(&event.change)) {
            if (isLate(outSince, start->availabilityZone, event.at, bounds.startAfterZoneOut)) {
                violations.push_back(
                    {3, toString(start->attempt.job) + " started in " + start->availabilityZone.value + " after the zone was taken out of service"});
            }
            if (isLate(leavingSince, start->target, event.at, bounds.startAfterTargetLeaves)) {
                violations.push_back({7, toString(start->attempt.job) + " started on the leaving target " + start->target.value});
            }
        }
    }
}

/// Invariant 4: each call has exactly one answer, and the answer is about the job of the call.
void checkAnswers(const std::vector<HistoryEvent> &history, Violations &violations)
{
    std::map<CallId, JobId> submitted;
    std::set<CallId> answered;
    forEach<JobSent>(history, [&submitted](TimePoint, const JobSent &submission) { submitted.emplace(submission.call, submission.specification.id); });
    forEach<CallAnswered>(history, [&](TimePoint, const CallAnswered &answer) {
        const auto call = submitted.find(answer.call);
        if (call != submitted.end() && call->second != answer.job) {
            violations.push_back({4, "the call for " + toString(call->second) + " was answered with " + toString(answer.job)});
        }
        if (!answered.insert(answer.call).second) {
            violations.push_back({4, "a call for " + toString(answer.job) + " was answered twice"});
        }
    });
    for (const auto &[call, job] : submitted) {
        if (!answered.contains(call)) {
            violations.push_back({4, "a call for " + toString(job) + " was not answered"});
        }
    }
}

/// Invariant 5: a job never starts if all of its submissions were refused with the statement that the job was not run.
void checkRefusals(const std::vector<HistoryEvent> &history, Violations &violations)
{
    std::set<CallId> submissions;
    forEach<JobSent>(history, [&submissions](TimePoint, const JobSent &submission) { submissions.insert(submission.call); });
    std::set<JobId> refusedJobs;
    std::set<JobId> possiblyRunJobs;
    forEach<CallAnswered>(history, [&](TimePoint, const CallAnswered &answer) {
        if (submissions.contains(answer.call)) {
            (answer.refusal && answer.refusal->run == RequestEffect::NotRun ? refusedJobs : possiblyRunJobs).insert(answer.job);
        }
    });
    std::set<JobId> reportedJobs;
    forEach<TaskStarted>(history, [&](TimePoint, const TaskStarted &start) {
        const JobId &job = start.attempt.job;
        if (refusedJobs.contains(job) && !possiblyRunJobs.contains(job) && reportedJobs.insert(job).second) {
            violations.push_back({5, toString(job) + " ran although its submission was refused as not run"});
        }
    });
}

/// Invariant 9: no host returns to an older configuration version.
void checkConfiguration(const std::vector<HistoryEvent> &history, Violations &violations)
{
    std::map<HostId, long long> versions;
    forEach<ConfigurationApplied>(history, [&](TimePoint, const ConfigurationApplied &applied) {
        auto &version = versions[applied.host];
        if (applied.version < version) {
            violations.push_back({9, applied.host.value + " returned from version " + std::to_string(version) + " to " + std::to_string(applied.version)});
        }
        version = std::max(version, applied.version);
    });
}

}

std::vector<HistoryViolation> checkHistory(const std::vector<HistoryEvent> &history, const HistoryBounds &bounds)
{
    Violations violations;
    checkRunsOnce(history, violations);
    checkGangs(history, bounds, violations);
    checkStarts(history, bounds, violations);
    checkAnswers(history, violations);
    checkRefusals(history, violations);
    checkConfiguration(history, violations);
    return violations;
}

}
