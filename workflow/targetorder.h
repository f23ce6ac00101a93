#pragma once

#include "core/storerecord.h"
#include "core/workflowprogress.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sequoiastand
{

/// Time on a target's own steady clock.
using TargetClock = Duration;

/// Extends the lease of all runs on the target and asks for the target's lists.
struct HoldRuns
{
    std::optional<TargetClock> deadline; ///< Time until which all runs may continue without another hold; without a value the hold only asks for the lists.
    long long acknowledgedEnd = 0;       ///< The target discards ends up to this number; zero discards none.
    Duration wait{0};                    ///< Longest time for which the target may delay its answer until a run ends.

    friend bool operator==(const HoldRuns &, const HoldRuns &) = default;
};

struct StartRun
{
    TaskId task;
    int run = 0;
    std::shared_ptr<const Workflow> workflow; ///< The workflow, whose payload is sent to the target.
    TargetClock deadline{0};                  ///< The target refuses the order after this time.
    std::string checkpoint;                   ///< Checkpoint from which the run resumes; empty to start from the beginning.
    std::string ticket;                       ///< Ticket of the queue's adviser; empty for queues without an adviser.

    friend bool operator==(const StartRun &, const StartRun &) = default;
};

struct StopRun
{
    TaskId task;
    int run = 0;

    friend bool operator==(const StopRun &, const StopRun &) = default;
};

/// Limits a run to a share of its full speed, which also limits how much it disturbs other runs on its target. A run begins at full speed.
struct PaceRun
{
    TaskId task;
    int run = 0;
    int percent = 100;

    friend bool operator==(const PaceRun &, const PaceRun &) = default;
};

using TargetOrderRequest = std::variant<HoldRuns, StartRun, StopRun, PaceRun>;

/// A call that sends an order to a target.
struct TargetOrder
{
    CallId id;
    TargetId target;
    std::string address;
    Revision token = 0; ///< Fencing token of the sender; a target refuses an order with a lower token than it has accepted before.
    TargetOrderRequest request;
    Duration timeout{0};
    std::optional<TimePoint> sendBefore; ///< The order is not sent from this time on, because the sender may no longer be the owner.
    bool keepsConnection = true;         ///< False if the next order to the target is so far off that an open connection would only cost processor time.

    friend bool operator==(const TargetOrder &, const TargetOrder &) = default;
};

enum class OrderOutcome
{
    Accepted,
    Refused,
    NotSent,
    Unknown, ///< The answer was lost; the order may be executed even seconds later.
};

/// Reason why a target refused an order.
enum class OrderRefusal
{
    None,
    Fenced,  ///< The target has accepted a higher fencing token.
    OldRun,  ///< A run of the task with this or a higher number has ended or was stopped on the target.
    TooLate, ///< The order's deadline had passed.
    NoRoom,
    NoTicket,
    Unhealthy,
    OtherInstance, ///< The address belongs to another instance of the target or to another target.
    Invalid,
};

/// How a run ended.
enum class RunEnd
{
    Finished,
    Failed,
    Stopped,
    Lapsed, ///< The deadline of the lease passed without another hold.
    Broken, ///< Another member of the run's gang ended.
    Alone,  ///< The run waited too long for the other members of its gang.
};

std::string_view name(OrderRefusal refusal);
std::string_view name(RunEnd end);

/// An entry for a running run in the lists of a target.
struct ListedRun
{
    TaskId task;
    int run = 0;
    std::string checkpoint;
    int percent = 0; ///< Percentage of the run's work that is done.
    int load = 0;    ///< For a serving task the tail of response times in ms, for any other task the milli-CPUs in use; both over the last half second.

    friend bool operator==(const ListedRun &, const ListedRun &) = default;
};

/// A run that ended on a target and whose end has not been acknowledged by a hold.
struct EndedRun
{
    long long number = 0; ///< Number that increases with every end in one instance of the target.
    TaskId task;
    int run = 0;
    RunEnd end = RunEnd::Finished;
    std::string checkpoint;

    friend bool operator==(const EndedRun &, const EndedRun &) = default;
};

struct TargetLists
{
    long long startTimeMs = 0;
    std::vector<ListedRun> running;
    std::vector<EndedRun> ended;
    bool isEndListFull = false; ///< The target may have more ends to list, which it lists once those in `ended` have been acknowledged.

    friend bool operator==(const TargetLists &, const TargetLists &) = default;
};

struct TargetOrderReply
{
    CallId id;
    TargetId target;
    OrderOutcome outcome = OrderOutcome::Unknown;
    OrderRefusal refusal = OrderRefusal::None;
    std::string error;
    std::optional<TargetClock> clock;
    std::optional<TargetLists> lists; ///< Lists of the target's runs; set in every answer to a hold.

    friend bool operator==(const TargetOrderReply &, const TargetOrderReply &) = default;
};

}
