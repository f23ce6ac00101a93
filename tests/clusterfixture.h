#pragma once

#include "core/step.h"
#include "standins/targetmodel.h"
#include "tests/rowstore.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sequoiastand
{

/// One entry host with what is on its way to it.
struct SimulatedHost
{
    Blackboard board;
    std::vector<Event> arriving;
    std::vector<CallerReply> replies;
    std::size_t watchedChanges = 0;
    bool isDown = false;   ///< Crashed: does nothing and gets nothing.
    bool isPaused = false; ///< Does nothing, but what is sent to it waits.
};

/// Hosts, workers and a store on virtual time with one tick of latency each way.
struct Cluster : testing::Test
{
    static constexpr Duration tick{10};

    Cluster();

    void addHost(const std::string &id, const std::string &zone);
    void addTarget(const std::string &id, const std::string &rack, const std::string &zone);

    /// Lets the time pass.
    void run(Duration duration);
    /// Runs until the condition holds; fails the test after the limit.
    void runUntil(const std::function<bool()> &condition, Duration limit);

    CallId submit(const JobSpecification &specification, const std::string &host = "a1");
    CallId cancel(const JobId &job, const std::string &host = "a1");
    CallId askStatus(const JobId &job, Duration wait, const std::string &host = "a1");

    const Job *job(const JobId &id, const std::string &host = "a1") const;
    JobState stateOf(const JobId &id, const std::string &host = "a1") const;
    bool isStored(const JobId &id, JobState state) const;
    std::vector<CallerReply> repliesTo(CallId call, const std::string &host = "a1") const;
    Blackboard &board(const std::string &host);

    /// Tasks of the job that ever started, over all targets.
    int startsOf(const JobId &id) const;
    int runningTasksOf(const JobId &id) const;

    static JobSpecification specification(const std::string &request, int tasks = 1);
    /// Payload that makes the workers run the task that long.
    static std::string payload(int runMs, const std::string &outcome = "finish");

    std::map<std::string, SimulatedHost> hosts;
    std::map<TargetId, TargetModel> targets;
    std::vector<ListedHost> listed;
    RowStore store;
    Configuration configuration;
    TimePoint now{Duration{1'000'000}};
    WallTime wallNow{Duration{1'700'000'000'000}};
    bool permitsStarts = true;
    bool losesStartAnswers = false; ///< Starts have their effect, but the hosts hear nothing of it.
    bool losesStarts = false;       ///< Starts have no effect, and the hosts hear nothing of it.
    std::map<JobId, int> starts;
    std::vector<TargetCall> sentCalls;

private:
    void refreshSurroundings(SimulatedHost &host);
    void exchangeWithStore(SimulatedHost &host);
    void carry(SimulatedHost &host);
    void carryTargetCall(const TargetCall &call);
    void deliver(const std::vector<TargetAnswer> &answers);
    void tickOnce();

    unsigned long long m_nextCall = 1'000'000;
};

}
