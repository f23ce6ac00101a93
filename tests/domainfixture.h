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

/// Hosts of a service domain, targets and a store on virtual time in steps of 5 ms.
struct DomainTest : testing::Test
{
    static constexpr Duration tick{5};

    DomainTest();

    void addHost(const std::string &id, const std::string &zone = "a");

    /// Targets named t1, t2, ... with 8 accelerators, 32 cores and 128 GB, four to a rack, spread over the zones a and b by rack.
    void addTargets(int count);
    void setQueue(const Queue &queue);
    void setGuarantee(const std::string &organisation, int accelerators);
    void setKey(const std::string &key, const std::string &organisation);
    void removeKey(const std::string &key);
    void evacuate(const std::string &zone);
    void returnZone(const std::string &zone);
    void drain(const std::string &target);

    /// The process ends without a word; start() runs it again as a new incarnation.
    void kill(const std::string &host);
    void start(const std::string &host);
    void startIfDown(const std::string &host);
    void pause(const std::string &host);
    void resume(const std::string &host);
    void requestStop(const std::string &host);

    /// The host takes its steps only so often, as one without processor time does; zero: as often as it wants.
    void slowDown(const std::string &host, Duration pause);

    /// Orders to the target are not delivered, and nothing comes back from it.
    void cutOff(const std::string &target);
    void reconnect(const std::string &target);

    /// The target's registration disappears; its process may live on.
    void unregister(const std::string &target);
    void registerAgain(const std::string &target);
    void crash(const std::string &target);

    void run(Duration duration);

    /// Runs until the condition holds; fails the test after the limit.
    void runUntil(const std::function<bool()> &condition, Duration limit);

    /// Hands a workflow in at the host. The targets know from then on how its tasks behave.
    CallId submit(const RequestId &id,
                  const WorkflowSpecification &specification,
                  const TaskBehaviour &behaviour = {},
                  const std::string &host = "h1",
                  const std::string &prefix = "/urgent/");
    CallId query(const RequestId &id, const std::string &host = "h1", const std::string &prefix = "/urgent/");
    CallId cancel(const RequestId &id, const std::string &host = "h1", const std::string &prefix = "/urgent/");
    CallId countWaiting(const std::string &prefix, const std::string &host = "h1");

    /// Lets the time pass until the call is answered.
    CallerAnswer answerTo(CallId call, Duration limit = Duration{5'000});
    bool isAnswered(CallId call) const;

    WorkflowBoard &board(const std::string &host);

    /// The host that owns the domain; empty if none does.
    std::string owner();
    std::optional<WorkflowState> storedState(const RequestId &id) const;

    /// A workflow of one step.
    static WorkflowSpecification gang(int tasks, Resources perTask, Duration estimate = Duration{1'000});
    static WorkflowSpecification batch(int tasks, Resources perTask, Duration estimate = Duration{1'000});
    static RequestId id(int number);

    DomainSettings settings; ///< Of hosts that are started from now on.
    FakeStore store;
    FleetModel fleet;
    QueueConfiguration configuration;
    TimePoint now{Duration{1'000'000}};
    WallTime wallNow{Duration{1'700'000'000'000}};
    std::string callerKey = "key-tailors"; ///< With which the following calls are made.
    bool losesStartAnswers = false;        ///< Starts take effect, but the hosts hear nothing of it.
    Duration startDelay{0};                ///< Starts are carried out so much later, and not answered.
    bool lateStartsSurvive = false;        ///< Also if the target has crashed meanwhile, as if something in between had held them up.
    bool isAdviserUnresponsive = false;    ///< Questions to the adviser are not answered.
    std::vector<TargetOrder> sentOrders;
    std::vector<std::string> history; ///< Log lines of the hosts and what the test did, in order; printed for the tasks that the model objects to.

protected:
    void TearDown() override;

private:
    struct Host
    {
        std::string zone;
        WorkflowBoard board;
        std::vector<WorkflowEvent> inbox;
        std::map<CallId, TimePoint> storeCalls; ///< When each call under way times out.
        bool isUp = true;
        bool isPaused = false;
        Duration pause{0}; ///< Between two steps.
        TimePoint nextStepAt;
        int starts = 0;
    };

    struct LateOrder
    {
        TimePoint due;
        TargetOrder order;
        long long startTimeMs = 0; ///< Life of the target when the order was sent.
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
    };

    void note(const std::string &what);
    void tickOnce();
    void stepHost(const std::string &id, Host &host);
    void deliverOrder(const std::string &host, const TargetOrder &order);
    void endStoreCalls(Host &host);
    void carryLateOrders();
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
    std::vector<OpenQuestion> m_questions;
    TimePoint m_nextHeartbeat;
    unsigned long long m_nextCall = 1'000'000;
};

}
