"""Tasks that last fail now and then on the only minion that they may use. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin import call, has_trouble, job, monotonic_ms, new_id, route, run_case, tenant, with_key

TASKS = 4
FAILURE_EVERY_S = 5.0
LENGTH_S = 45.0
ALLOWED_MS = 9000  # For 3 s, from 6 s after its last run.


async def play(world, record):
    only = world.minions[0]
    only.label = "b"
    await world.start([route("desk", "/desk/")], [tenant("hotel", "key-hotel")])
    if not await world.ready():
        raise RuntimeError("the hosts did not get ready")
    ident = new_id()
    body = job(600000, TASKS, longRunning=True, requiredLabel="b")
    answer = await call(world.hosts[0].front, "POST", "/desk/" + ident, body, with_key("key-hotel"))
    record("POST /desk/%s with %d tasks that last and need a minion of kind b, which %s is: %s" % (ident, TASKS, only.id, answer))
    await asyncio.sleep(3)
    if answer[0] != 200 or len(only.runs) != TASKS:
        raise RuntimeError("the job did not begin")
    begin = monotonic_ms()
    next_failure = begin
    without_run = {}
    longest = {}
    while monotonic_ms() - begin < LENGTH_S * 1000:
        now = monotonic_ms()
        if has_trouble() and now >= next_failure:
            next_failure += FAILURE_EVERY_S * 1000
            if only.runs:
                only.end(min(only.runs, key=lambda task: only.runs[task]["since"]), "failed")
        for index in range(TASKS):
            task = "%s.0.0.%d" % (ident, index)
            if task in only.runs:
                without_run.pop(task, None)
            else:
                longest[task] = max(longest.get(task, 0), now - without_run.setdefault(task, now))
        await asyncio.sleep(0.02)
    record("GET /desk/%s: %s" % (ident, await call(world.hosts[1].front, "GET", "/desk/" + ident, None, with_key("key-hotel"))))
    for task, length in sorted(longest.items()):
        record("%s was without a run for up to %.0f ms; %s was up and at most half full all the time" % (task, length, only.id))
    broken = [task for task, length in longest.items() if length > ALLOWED_MS + 300]
    for task in sorted(broken):
        record("LOST: %s had no run for 3 s from 6 s after its last run on" % task)
    return not broken


run_case(play, __file__)
