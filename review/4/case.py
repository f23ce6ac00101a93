"""A job's data is on a rack of an evacuated zone. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin import call, has_trouble, job, monotonic_ms, new_id, route, run_case, tenant, with_key

FINISH_S = 14.0
WORK_MS = 11000
TASKS = 5


async def play(world, record):
    await world.start([route("profiles", "/profiles/")], [tenant("tailor", "key-tailor")])
    if not await world.ready():
        raise RuntimeError("the hosts did not get ready")
    if has_trouble():
        world.store.put_json("op/evacuate/a", {})
        record("zone a is evacuated; rack r0 with %d of %d minions is there"
               % (sum(minion.rack == "r0" for minion in world.minions), len(world.minions)))
    await asyncio.sleep(6)
    ident = new_id()
    body = job(WORK_MS, TASKS, cpu=13000, memMb=8192, gpu=2, affinity="r0")
    answer = await call(world.hosts[0].front, "POST", "/profiles/" + ident, body, with_key("key-tailor"))
    ended = monotonic_ms()
    record("POST /profiles/%s, %d tasks of %d ms, estimated as such, with their data on r0: %s; the traffic ends" % (ident, TASKS, WORK_MS, answer))
    if answer[0] != 200:
        raise RuntimeError("the job was not accepted")
    idle_since = None
    longest = 0
    asked = 0
    while monotonic_ms() - ended < (FINISH_S + 4.5) * 1000:
        now = monotonic_ms()
        if now - ended >= FINISH_S * 1000:
            running = sum(len(minion.runs) for minion in world.minions)
            ends = len({task for _, task, _, _, how, _ in world.ends if how == "done"})
            if running == 0 and ends < TASKS:
                idle_since = idle_since or now
                longest = max(longest, now - idle_since)
            else:
                idle_since = None
            if now - asked >= 1000:
                asked = now
                state = await call(world.hosts[1].front, "GET", "/profiles/" + ident, None, with_key("key-tailor"))
                record("GET /profiles/%s %.1f s after the end of the traffic: %s; %d tasks run, %d have ended" % (ident, (now - ended) / 1000, state, running, ends))
        await asyncio.sleep(0.02)
    free = sum(8 for minion in world.minions if minion.rack != "r0")
    record("from %.0f s after the end of the traffic on, the job had nothing running for %.0f ms; it needs %d accelerators, and %d of 96 are free off the zone"
           % (FINISH_S, longest, 2 * TASKS, free))
    if longest >= 3000:
        record("LOST: for 3 s the job had nothing running while its tasks' turn had come, on an empty fleet")
    return longest < 3000


run_case(play, __file__)
