"""Clients cancel jobs whose acceptance was not answered. See claim.txt."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standin import call, has_trouble, job, monotonic_ms, new_id, route, run_case, tenant, with_key

CLIENTS = 60
LATE_SHARE = 0.35
LATE_FOR_S = 4.5
DUE_AFTER_S = 20.0
CANCEL_MS = 3000


async def client(world, record, number, results):
    """Hands in one job that is due later. If it isn't told that the job is accepted, it cancels the job."""
    ident = new_id()
    body = job(500, 1)
    body.update(times=1, startAtMs=int((time.time() + DUE_AFTER_S) * 1000), intervalMs=1000)
    answer = await call(world.hosts[number % len(world.hosts)].front, "POST", "/profiles/" + ident, body, with_key("key-tailor"))
    record("POST /profiles/%s: %s" % (ident, answer[0]))
    if answer[0] == 200:
        results[ident] = None
        return
    for attempt in range(1, 30):
        host = world.hosts[(number + attempt) % len(world.hosts)]
        answer = await call(host.front, "DELETE", "/profiles/" + ident, None, with_key("key-tailor"))
        record("DELETE /profiles/%s at %s: %s" % (ident, host.id, answer[0]))
        if answer[0] in (200, 410):
            results[ident] = (monotonic_ms(), answer[0])
            return
        await asyncio.sleep(0.3)


async def play(world, record):
    await world.start([route("profiles", "/profiles/")], [tenant("tailor", "key-tailor")])
    if not await world.ready():
        raise RuntimeError("the hosts did not get ready")
    results = {}
    clients = []
    if has_trouble():
        record("%.0f in a hundred of the writes are done 1 to 6 s later and not answered, for %.1f s" % (100 * LATE_SHARE, LATE_FOR_S))
        world.store.late_share = LATE_SHARE
    begin = monotonic_ms()
    for number in range(CLIENTS):
        clients.append(asyncio.create_task(client(world, record, number, results)))
        await asyncio.sleep(LATE_FOR_S / CLIENTS)
    await asyncio.sleep(max(0.0, LATE_FOR_S - (monotonic_ms() - begin) / 1000))
    world.store.late_share = 0.0
    record("the store answers again")
    await asyncio.gather(*clients)
    await asyncio.sleep(DUE_AFTER_S + 4)
    cancelled = {ident: result for ident, result in results.items() if result}
    broken = []
    for at, task, run, minion in world.starts:
        ident = task.split(".")[0]
        if ident in cancelled and at > cancelled[ident][0] + CANCEL_MS:
            broken.append(ident)
            record("UNASKED: run %d of %s begins %.1f s after DELETE was answered %d" % (run, task, (at - cancelled[ident][0]) / 1000, cancelled[ident][1]))
    record("%d jobs, %d cancelled, %d of these were started over %d ms later" % (CLIENTS, len(cancelled), len(broken), CANCEL_MS))
    if not has_trouble() and len({task for _, task, _, _ in world.starts}) != CLIENTS:
        raise RuntimeError("not all jobs were run without trouble")
    return not broken


run_case(play, __file__)
