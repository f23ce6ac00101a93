#pragma once

#include "standins/fleetmodel.h"
#include "tests/fakestore.h"
#include "workflow/workflowstep.h"

#include <gtest/gtest.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sequoiastand
{

/// Simulates the hosts of a service domain, its targets and a store in virtual time with steps of 5 ms.
struct DomainTest : testing::Test
{
    static constexpr Duration tick{5};

    DomainTest();

    void addHost(const std::string &id, const std::string &zone = "a");

    /// Targets named t1, t2, ... with 8 accelerators, 32 cores and 128 GB, four to a rack, spread over the zones a and b by rack.
    void addTargets(int count);
    void setQueue(const Queue &queue);
    void setGuarantee(const std::string &organisation, int accelerators);

    /// The former cap counts as in force for as long as a host may act on a proof of it and a start may be under way.
    void setCap(const std::string &organisation, const ResourceCap &cap);
    void setKey(const std::string &key, const std::string &organisation);
    void removeKey(const std::string &key);
    void evacuate(const std::string &zone);
    void returnZone(const std::string &zone);
    void drain(const std::string &target);

    /// Ends the host's process without notice. start() runs it again as a new incarnation.
    void kill(const std::string &host);
    void start(const std::string &host);
    void startIfDown(const std::string &host);
    void pause(const std::string &host);
    void resume(const std::string &host);
    void requestStop(const std::string &host);

    /// Delays the host's steps by at least this pause, as on a host without processor time. Zero removes the delay.
    void slowDown(const std::string &host, Duration pause);

    /// Drops all orders to the target and all its answers.
    void cutOff(const std::string &target);
    void reconnect(const std::string &target);

    /// Removes the target's registration. Its process may continue to run.
    void unregister(const std::string &target);
    void registerAgain(const std::string &target);
    void crash(const std::string &target);

    /// Refuses the holds that were sent to former instances of targets and are not answered yet, as other instances do.
    void refuseHoldsOfFormerInstances();

    void run(Duration duration);

    /// Advances the time until the condition holds. Fails the test after the limit.
    void runUntil(const std::function<bool()> &condition, Duration limit);

    /// Submits a workflow at the host, and tells the targets how its tasks behave.
    CallId submit(const RequestId &id,
                  const WorkflowSpecification &specification,
                  const TaskBehaviour &behaviour = {},
                  const std::string &host = "h1",
                  const std::string &prefix = "/urgent/");
    CallId query(const RequestId &id, const std::string &host = "h1", const std::string &prefix = "/urgent/");
    CallId cancel(const RequestId &id, const std::string &host = "h1", const std::string &prefix = "/urgent/");
    CallId countWaiting(const std::string &prefix, const std::string &host = "h1");

    /// Advances the time until the call is answered, and returns the answer.
    CallerAnswer answerTo(CallId call, Duration limit = Duration{5'000});
    bool isAnswered(CallId call) const;

    WorkflowBoard &board(const std::string &host);

    /// The host that owns the domain; empty if none does.
    std::string owner();
    std::optional<WorkflowState> storedState(const RequestId &id) const;

    /// A workflow with a single step, which is a gang.
    static WorkflowSpecification gang(int tasks, Resources perTask, Duration estimate = Duration{1'000});
    static WorkflowSpecification batch(int tasks, Resources perTask, Duration estimate = Duration{1'000});
    static RequestId id(int number);

    DomainSettings settings; ///< Settings of hosts that are started from now on.
    FakeStore store;
    FleetModel fleet;
    QueueConfiguration configuration;
    TimePoint now{Duration{1'000'000}};
    WallTime wallNow{Duration{1'700'000'000'000}};
    std::string callerKey = "key-tailors";    ///< API key of the following calls.
    Duration callerTimeout{3'000};            ///< Time for which the callers of the following calls wait.
    Duration readinessDelay{0};               ///< Time in which hosts answer readiness checks.
    bool losesStartAnswers = false;           ///< Starts take effect, but their answers are lost.
    Duration startDelay{0};                   ///< Delay after which starts are executed; delayed starts are not answered.
    Duration paceDelay{0};                    ///< Delay after which pace orders are executed; delayed pace orders are not answered.
    Duration holdDelay{0};                    ///< Delay after which holds are executed; delayed holds are not answered.
    bool lateOrdersSurvive = false;           ///< Delayed orders arrive even if the target has crashed meanwhile, as if the network had delayed them.
    std::set<TargetId> unhealthyTargets;      ///< Targets that refuse all orders except holds as unhealthy, without any effect.
    std::map<TargetId, Duration> slowTargets; ///< Targets that execute orders at once and answer them after this delay.
    bool isAdviserUnresponsive = false;       ///< The adviser answers no questions.
    std::vector<TargetOrder> sentOrders;
    std::vector<std::string> history; ///< Log lines of the hosts and actions of the test, in order. Printed for tasks that break a rule of the model.

protected:
    void TearDown() override;

private:
    struct Host
    {
        std::string zone;
        WorkflowBoard board;
        std::vector<WorkflowEvent> inbox;
        std::map<CallId, TimePoint> storeCalls; ///< Timeout of each store call under way.
        bool isUp = true;
        bool isPaused = false;
        Duration pause{0}; ///< Shortest time between two steps.
        TimePoint nextStepAt;
        int starts = 0;
    };

    struct LateOrder
    {
        TimePoint due;
        TargetOrder order;
        long long startTimeMs = 0; ///< Instance of the target when the order was sent.
    };

    struct DelayedReply
    {
        std::string host;
        TargetOrderReply reply;
        TimePoint due;
    };

    struct DelayedReadiness
    {
        std::string host;
        ReadinessReply reply;
        TimePoint due;
    };

    struct OpenQuestion
    {
        std::string host;
        AdviceRequest request;
        TimePoint answerAt;
    };

    struct WaitingHold
    {
        std::string host;
        TargetOrder order;
        TimePoint answerAt;
        long long knownEnds = 0;
        long long startTimeMs = 0; ///< Instance of the target when the hold was sent.
    };

    void note(const std::string &what);
    void tickOnce();
    void stepHost(const std::string &id, Host &host);
    void deliverOrder(const std::string &host, const TargetOrder &order);
    Duration delayOf(const TargetOrder &order) const;
    void reportTimeouts(Host &host);
    void deliverLateOrders();
    void answerLate(const std::string &host, const TargetOrder &order, const TargetOrderReply &answer);
    void deliverDelayedReplies();
    void checkReadiness(const std::string &host, const ReadinessCheck &check);
    void answerHolds();
    void answerQuestions();
    void ask(const std::string &host, const AdviceRequest &request);
    void reply(const std::string &host, const TargetOrderReply &reply);
    void writeConfiguration();
    void writeHeartbeats();
    CallId post(const std::string &host, CallerRequest request);

    std::map<std::string, Host> m_hosts;
    std::map<CallId, CallerAnswer> m_answers;
    std::set<TargetId> m_cutOff;
    std::set<TargetId> m_unregistered;
    std::vector<LateOrder> m_lateOrders;
    std::vector<WaitingHold> m_holds;
    std::vector<DelayedReply> m_delayedReplies;
    std::vector<DelayedReadiness> m_delayedReadiness;
    std::vector<OpenQuestion> m_questions;
    TimePoint m_nextHeartbeat;
    unsigned long long m_nextCall = 1'000'000;
};

}
