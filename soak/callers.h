#pragma once

#include "soakworld.h"

namespace sequoiastand
{

/// The largest number of accelerators that a step of the workflow needs at a time.
int acceleratorsOf(const WorkflowSpecification &specification);

/// Sends new workflows, queries their states, and retries calls that were refused or not answered. To be called every few milliseconds.
void runCallers(SoakWorld &world);

/// Sends the given number of workflows at once.
void sendBurst(SoakWorld &world, int count);

/// Submits a workflow whose task lasts until it is cancelled, and whose runs end by themselves after a while.
void sendLastingWork(SoakWorld &world);

/// Submits a workflow of many short tasks, which fit on one target together.
RequestId sendManyTasks(SoakWorld &world);

/// Notes which lasting workflows are at work. Returns true if each of them that has been accepted was at work at some call.
bool noteLastingWork(SoakWorld &world);

/// Cancels all lasting workflows.
void cancelLastingWork(SoakWorld &world);

/// Cancels about the given percentage of the workflows that have not ended.
void cancelSome(SoakWorld &world, int percent);

/// Sends one urgent gang for each organisation, within the organisation's guarantee.
void sendUrgentGangs(SoakWorld &world);

/// True if, as far as the callers know, every workflow has ended, was never accepted, or lasts until it is cancelled.
bool haveAllEnded(const SoakWorld &world);

}
