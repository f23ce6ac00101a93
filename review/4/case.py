"""The runs of a lasting job end as done. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin import call, has_trouble, job, monotonic_ms, new_id, route, run_case, tenant, with_key

TASKS = 2
HOW = os.environ.get("HOW", "done")  # HOW=failed shows that the tasks are restarted after any other end.


async def play(world, record):
    await world.start([route("desk", "/desk/")], [tenant("hotel", "key-hotel")])
    if not await world.ready():
        raise RuntimeError("the hosts did not get ready")
    ident = new_id()
    answer = await call(world.hosts[0].front, "POST", "/desk/" + ident, job(600000, TASKS, longRunning=True), with_key("key-hotel"))
    record("POST /desk/%s with %d tasks that last: %s" % (ident, TASKS, answer))
    await asyncio.sleep(3)
    if answer[0] != 200 or len(world.starts) != TASKS:
        raise RuntimeError("the job did not begin")
    ended = []
    if has_trouble():
        for task in sorted(task for _, task, _, _ in world.starts):
            minion = next(minion for minion in world.minions if task in minion.runs)
            minion.end(task, HOW)
            ended.append((monotonic_ms(), task))
            await asyncio.sleep(1)
    await asyncio.sleep(12)
    state = await call(world.hosts[1].front, "GET", "/desk/" + ident, None, with_key("key-hotel"))
    record("GET /desk/%s, which nobody has cancelled: %s" % (ident, state))
    held = True
    for at, task in ended:
        # From 6 s after its last run, a task that lasts must not be without a run for 3 s. The days before were calm and the minions are empty.
        again = [when for when, name, _, _ in world.starts if name == task and when > at]
        if not again or again[0] - at > 9000:
            record("LOST: %s has not been started for 9 s after its last run, with %d of 96 accelerators in use"
                   % (task, sum(len(minion.runs) for minion in world.minions)))
            held = False
    return held


run_case(play, __file__)
