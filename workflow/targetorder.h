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

/// Keeps what runs on the target running and asks for its lists.
struct HoldRuns
{
    std::optional<TargetClock> deadline; ///< Until when everything on the target may run without another hold; none: only look.
    long long acknowledgedEnd = 0;       ///< Number of the newest end that the store holds; the target forgets ends up to it.
    Duration wait{0};                    ///< How long the target may hold back its answer until a run ends.

    friend bool operator==(const HoldRuns &, const HoldRuns &) = default;
};

struct StartRun
{
    TaskId task;
    int run = 0;
    std::shared_ptr<const Workflow> workflow; ///< Its payload goes to the target.
    TargetClock deadline{0};                  ///< The target refuses the order after this time.
    std::string checkpoint;                   ///< From which the run resumes; empty: from the beginning.
    std::string ticket;                       ///< Of the queue's adviser; empty where there is none.

    friend bool operator==(const StartRun &, const StartRun &) = default;
};

struct StopRun
{
    TaskId task;
    int run = 0;

    friend bool operator==(const StopRun &, const StopRun &) = default;
};

/// Lets a run work, and disturb others on its target, at a share of its full speed; it begins with all of it.
struct PaceRun
{
    TaskId task;
    int run = 0;
    int percent = 100;

    friend bool operator==(const PaceRun &, const PaceRun &) = default;
};

using TargetOrderRequest = std::variant<HoldRuns, StartRun, StopRun, PaceRun>;

/// A call to a target.
struct TargetOrder
{
    CallId id;
    TargetId target;
    std::string address;
    Revision token = 0; ///< Fencing token of the sender; a target refuses orders with a lower one than it has seen.
    TargetOrderRequest request;
    Duration timeout{0};
    bool keepsConnection = true; ///< False: the next order to the target is so far off that its connection would only have to be watched.

    friend bool operator==(const TargetOrder &, const TargetOrder &) = default;
};

enum class OrderOutcome
{
    Accepted,
    Refused,
    NotSent,
    Unknown, ///< The answer was lost; the order may be carried out even seconds later.
};

/// Why a target refused an order.
enum class OrderRefusal
{
    None,
    Fenced,  ///< It has seen a higher fencing token.
    OldRun,  ///< A run of that number or a higher one has ended or was stopped there.
    TooLate, ///< The order's deadline had passed.
    NoRoom,
    NoTicket,
    Unhealthy,
    OtherInstance, ///< Another life of the target, or another target, has the address.
    Invalid,
};

/// How a run ended.
enum class RunEnd
{
    Finished,
    Failed,
    Stopped,
    Lapsed, ///< The target's deadline passed without another hold.
    Broken, ///< Another member of its gang ended.
    Alone,  ///< It waited too long for the other members of its gang.
};

std::string_view name(OrderRefusal refusal);
std::string_view name(RunEnd end);

/// A run that is at work on a target.
struct ListedRun
{
    TaskId task;
    int run = 0;
    std::string checkpoint;
    int percent = 0; ///< Of its work that is done.
    int load = 0;    ///< Of the last half second: for a task that serves the tail of its response times in ms, for others the milli-CPUs in use.

    friend bool operator==(const ListedRun &, const ListedRun &) = default;
};

/// A run that ended on a target and that `acknowledgedEnd` has not reached.
struct EndedRun
{
    long long number = 0; ///< Rises with every end in one life of the target.
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
    std::optional<TargetLists> lists; ///< With every answer to a hold.

    friend bool operator==(const TargetOrderReply &, const TargetOrderReply &) = default;
};

}
