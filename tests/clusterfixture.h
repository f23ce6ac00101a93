#pragma once

#include "standins/targetmodel.h"
#include "tests/fakecluster.h"
#include "tools/historychecker.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Simulates entry hosts, workers and a store on virtual time in steps of 10 ms.
struct ClusterTest : testing::Test
{
    static constexpr Duration tick{10};

    ClusterTest();

    void addEntryHost(const std::string &id, const std::string &zone);
    void addTarget(const std::string &id, const std::string &rack, const std::string &zone);
    void configure(const ConfigurationItem &item);
    void setStoreUp(bool isUp);
    /// Suspends or resumes task starts on the host, as an operator's hold request does.
    void holdStarts(const std::string &host, bool isHeld);
    void setFaults(const std::string &target, const TargetFaults &faults);

    /// Crashes the host; messages in transit to it are lost.
    void kill(const std::string &host);
    void pause(const std::string &host);
    void resume(const std::string &host);
    void send(const std::string &host, Event event);

    /// Advances virtual time.
    void run(Duration duration);
    /// Runs until the condition holds; fails the test if it does not hold within the limit.
    void runUntil(const std::function<bool()> &condition, Duration limit);

    CallId submit(const JobSpecification &specification, const std::string &host = "a1");
    CallId cancel(const JobId &job, const std::string &host = "a1");
    CallId askStatus(const JobId &job, Duration wait, const std::string &host = "a1");

    Blackboard &board(const std::string &host);
    const Job *job(const JobId &id, const std::string &host = "a1");
    JobState stateOf(const JobId &id, const std::string &host = "a1");
    Job storedJob(const JobId &id) const;
    bool hasStoredRecord(const JobId &id) const;
    bool isStored(const JobId &id, JobState state) const;
    std::vector<CallerReply> repliesTo(CallId call) const;
    /// Concatenated ids of the live hosts that consider themselves owner of their zone.
    std::string owners();

    /// Number of task starts of the job so far, over all targets.
    int startsOf(const JobId &id) const;
    int runningTasksOf(const JobId &id) const;

    static JobSpecification specification(const std::string &request, int tasks = 1);
    /// Payload that sets the task's true run time and outcome on the worker model.
    static std::string payload(int runMs, const std::string &outcome = "finish");

    FakeCluster cluster;
    std::map<TargetId, TargetModel> targets;
    std::vector<ListedHost> listed;
    bool losesStartAnswers = false; ///< Start calls take effect, but the host gets an unknown outcome as answer.
    bool losesStarts = false;       ///< Start calls take no effect, and the host gets an unknown outcome as answer.
    std::vector<TargetCall> sentCalls;
    bool recordsHistory = false; ///< Off by default, because recording inspects every task in every tick.

    /// The recorded events so far, with the answers that callers have received.
    std::vector<HistoryEvent> recordedHistory() const;

private:
    void record(HistoryChange change);
    void recordTick();
    void handleTargetCall(const TargetCall &call);
    void deliver(const std::vector<TargetAnswer> &answers);
    void tickOnce();

    std::map<JobId, int> m_starts;
    std::vector<HistoryEvent> m_history;
    std::set<TaskKey> m_running;
    std::map<HostId, long long> m_appliedVersions;
    std::set<std::string> m_dead;
    std::vector<ConfigurationItem> m_items;
    long long m_version = 0;
    unsigned long long m_nextCall = 1'000'000;
};

}
