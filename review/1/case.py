"""More than 500 runs end on a minion while it is cut off. See claim.txt."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin import call, find_twice, has_trouble, job, monotonic_ms, new_id, route, run_case, tenant, with_key

TASKS = 700
WORK_MS = 4000
CUT_S = 5.0


async def play(world, record):
    big = world.minions[0]
    big.label = "b"
    await world.start([route("batches", "/batches/")], [tenant("shop", "key-shop")])
    if not await world.ready():
        raise RuntimeError("the hosts did not get ready")
    ident = new_id()
    body = job(WORK_MS, TASKS, requiredLabel="b", cpu=40, memMb=16, gpu=0)
    answer = await call(world.hosts[0].front, "POST", "/batches/" + ident, body, with_key("key-shop"))
    record("POST /batches/%s with %d tasks of 0.04 cores and %d ms: %s" % (ident, TASKS, WORK_MS, answer))
    if answer[0] != 200:
        raise RuntimeError("the job was not accepted")
    begin = monotonic_ms()
    while len(world.starts) < TASKS and monotonic_ms() - begin < 3500:
        await asyncio.sleep(0.01)
    record("%d tasks run, %d have ended" % (len(world.starts), len(world.ends)))
    if len(world.starts) < TASKS or world.ends:
        raise RuntimeError("the tasks did not all run before the first one ended")
    if has_trouble():
        big.is_cut = True
        record("%s is cut off from the system for %.1f s and runs on" % (big.id, CUT_S))
    await asyncio.sleep(CUT_S)
    big.is_cut = False
    record("%s is in touch again; %d runs have ended" % (big.id, len(world.ends)))
    await asyncio.sleep(10)
    answer = await call(world.hosts[1].front, "GET", "/batches/" + ident, None, with_key("key-shop"))
    record("GET /batches/%s: %s" % (ident, answer))
    twice = find_twice(world, record)
    record("%d of %d tasks were started again after they were done" % (len(twice), TASKS))
    return not twice


run_case(play, __file__)
