"""Stand-ins of the users' platform, its minions, its clients and its proxy, for the scripts of this folder.

They follow the users' pages. Everything listens on 127.0.0.1 and uses the standard library only.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PROGRAM = os.path.join(ROOT, "target", "sequoiastand")


def monotonic_ms():
    return time.monotonic() * 1000.0


class Record:
    """Writes what was sent, answered and run, with the time since the start of the script."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.begin = monotonic_ms()

    def __call__(self, text):
        self.file.write("%8.0f ms  %s\n" % (monotonic_ms() - self.begin, text))
        self.file.flush()


async def read_message(reader):
    """Reads one HTTP/1.1 message: the first line, its headers in lower case, and its body."""
    first = await reader.readline()
    if not first:
        return None
    headers = {}
    while True:
        line = await reader.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "") == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
            body += chunk
    return first.decode("latin-1").strip(), headers, body


class HttpService:
    """An HTTP server whose handler is a coroutine of (method, path, query, headers, body) and gives (status, object), or None for no answer."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.tasks = set()
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    @property
    def address(self):
        return "127.0.0.1:%d" % self.port

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                url = urllib.parse.urlsplit(target)
                query = {key: values[0] for key, values in urllib.parse.parse_qs(url.query).items()}
                answer = await self.handler(method, urllib.parse.unquote(url.path), query, headers, body)
                if answer is None:  # The answer is lost: this connection returns nothing further.
                    await asyncio.sleep(3600)
                status, value = answer
                text = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(text)) + text)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(task)
            self.writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store. Calls take effect on arrival and are answered after `latency` seconds."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.latency = 0.004
        self.late_share = 0.0  # This share of the writes is done 1 to 6 s later, if their conditions still hold, and not answered.
        self.random = random.Random(1)
        self.service = HttpService(self.handle)

    def _emit(self, key, event):
        self.history.append((self.revision, key, event))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def put(self, key, value, lease=0, revision=None):
        if revision is None:
            self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": base64.b64encode(value).decode(), "revision": self.revision, "created": created, "lease": lease}
        self._emit(key, dict(self.items[key]))

    def put_json(self, key, value):
        self.put(key, json.dumps(value).encode())

    def remove(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
        del self.items[key]
        self._emit(key, {"key": key, "revision": self.revision, "tombstone": True})

    def get_json(self, key):
        return json.loads(base64.b64decode(self.items[key]["value"])) if key in self.items else None

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key, self.revision)

    async def run(self):
        while True:
            now = monotonic_ms()
            for lease in [lease for lease, (_, end) in self.leases.items() if end <= now]:
                self._end_lease(lease)
            await asyncio.sleep(0.01)

    def _transaction(self, body):
        current = []
        fails = False
        for row in body.get("precondition", []):
            item = self.items.get(row["key"])
            fails = fails or (item["revision"] if item else 0) != row["revision"]
            if item:
                current.append(item)
        if fails:
            return 412, {"items": [dict(item) for item in current], "revision": self.revision}
        puts = body.get("setKeys", [])
        for row in puts:
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        removals = [key for key in body.get("remove", []) if key in self.items]
        if puts or removals:
            self.revision += 1
        for row in puts:
            self.put(row["key"], base64.b64decode(row["value"]), row.get("lease", 0), self.revision)
        for key in removals:
            self.remove(key, self.revision)
        return 200, {"revision": self.revision}

    def _do_late(self, value):
        status, _ = self._transaction(value)
        self.record("a late write of %s is done: %d" % (", ".join(row["key"] for row in value.get("setKeys", []))[:120], status))

    async def handle(self, method, path, query, headers, body):
        name = path.rsplit("/sequoiastand/", 1)[-1]
        if name == "kv-watch":
            return await self._watch(query)
        delay = self.latency
        if name == "kv-key":
            item = self.items.get(query["key"])
            answer = (200, dict(item, currentRev=self.revision)) if item else (404, {"currentRev": self.revision})
        elif name == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("prefix", "")) and key > query.get("after", ""))
            page = [dict(self.items[key]) for key in keys[:500]]
            answer = 200, {"items": page, "hasMore": len(keys) > 500, "currentRev": self.revision}
        elif name == "kv-txn":
            value = json.loads(body)
            if (value.get("setKeys") or value.get("remove")) and self.random.random() < self.late_share:
                asyncio.get_running_loop().call_later(self.random.uniform(1.0, 6.0), self._do_late, value)
                return None
            answer = self._transaction(value)
        elif name == "kv-lease":
            ttl = max(1000, json.loads(body)["ttlMs"])
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = (ttl, monotonic_ms() + ttl)
            answer = 200, {"lease": lease, "ttlMs": ttl}
        elif name.startswith("kv-keep/"):
            lease = int(name.split("/")[1])
            if lease in self.leases:
                ttl = self.leases[lease][0]
                self.leases[lease] = (ttl, monotonic_ms() + ttl)
                answer = 200, {"lease": lease, "ttlMs": ttl}
            else:
                answer = 404, {}
        elif name.startswith("kv-lease-end/"):
            self._end_lease(int(name.split("/")[1]))
            answer = 200, {}
        else:
            answer = 404, {}
        await asyncio.sleep(delay)
        return answer

    async def _watch(self, query):
        end = monotonic_ms() + int(query.get("waitMs", "0"))
        after = int(query["after"])
        while True:
            events = [event for revision, key, event in self.history if revision > after and key.startswith(query["prefix"])]
            left = end - monotonic_ms()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left / 1000.0)
            except asyncio.TimeoutError:
                pass


class Minion:
    """One minion. A task works for the time in its `spec`, a JSON object with `ms`, and then ends `done`."""

    def __init__(self, world, ident, zone, rack, capacity, service):
        self.world = world
        self.id = ident
        self.zone = zone
        self.rack = rack
        self.capacity = capacity
        self.service_name = service
        self.service = HttpService(self.handle)
        self.state = "ready"
        self.seq = 0
        self.label = "a"
        self.is_cut = False         # Nothing passes between this minion and the system; what it runs goes on.
        self.refuses_starts = False  # It is unhealthy: it answers starts with 503 and does nothing.
        self.late_share = 0.0       # This share of the starts and stops is carried out 2 to 12 s later and not answered.
        self.random = random.Random(ident)
        self.begin_life()

    def begin_life(self):
        self.born = int(time.time() * 1000)
        self.life = "%s/%d" % (self.id, self.born)
        self.life_begin = monotonic_ms()
        self.fence = 0
        self.runs = {}
        self.ends = []
        self.next_end = 1
        self.highest = {}
        self.lease_until = 0
        self.last_seen = 0
        self.seq = 0
        self.changed = asyncio.Event()

    async def lose_power(self, seconds):
        """Ends this life with all that it runs, and begins another one under the same id and address after some time."""
        self.world.record("%s loses power with %d runs" % (self.id, len(self.runs)))
        for task in list(self.runs):
            self.world.note_crash(self, task, self.runs.pop(task)["run"])
        port = self.service.port
        await self.service.stop()
        await asyncio.sleep(seconds)
        self.begin_life()
        self.service = HttpService(self.handle)
        await self.service.start(port)
        self.register()
        self.world.record("%s is back with a new life" % self.id)

    def _do_late(self, name, body):
        if self.service.server is None:
            return
        status, answer = self.execute_start(body) if name == "run-start" else self.execute_stop(body)
        if status == 200 and name == "run-start":
            self.world.record("%s carries out late the start of run %d of %s" % (self.id, body["run"], body["task"]))

    def clock(self):
        return int(monotonic_ms() - self.life_begin) + 1000

    def entry(self):
        self.seq += 1
        return {"service": self.service_name, "address": self.service.address, "zone": self.zone, "version": "v1", "slots": 8, "state": self.state,
                "coldRemainingMs": 0, "seq": self.seq, "born": self.born, "capacity": self.capacity, "labels": [self.label, self.rack]}

    def register(self):
        self.world.store.put_json("servers/" + self.id, self.entry())

    def end(self, task, how):
        run = self.runs.pop(task)
        self.world.note_end(self, task, run["run"], how, self.next_end)
        self.ends.append([self.next_end, task, run["run"], how, ""])
        self.next_end += 1
        self.highest[task] = max(self.highest.get(task, 0), run["run"])
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def tick(self):
        now = monotonic_ms()
        if self.lease_until > 0 and self.clock() >= self.lease_until:
            self.lease_until = 0
            self.world.note_lapse(self)
            for task in list(self.runs):
                self.end(task, "lapsed")
        for task in [task for task, run in self.runs.items() if run["stop_at"] <= now]:
            self.end(task, "stopped")
        for task in [task for task, run in self.runs.items() if run["done_at"] <= now]:
            self.end(task, "done")

    def _extend(self, deadline):
        self.lease_until = max(self.lease_until, min(deadline, self.clock() + self.world.hold_max))

    def answer(self, status, **fields):
        return status, dict(fields, clockMs=self.clock(), born=self.born)

    def execute_start(self, body):
        if body.get("fenceToken", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fenceToken", 0)
        task, run = body["task"], body["run"]
        if task in self.runs and self.runs[task]["run"] == run:
            return self.answer(200)
        if body["deadlineMs"] < self.clock():
            return self.answer(409, reason="late")
        self._extend(body["deadlineMs"])
        if run <= self.highest.get(task, 0) or (task in self.runs and run <= self.runs[task]["run"]):
            return self.answer(409, reason="old")
        length = json.loads(body["spec"])["ms"]
        self.runs[task] = {"run": run, "since": monotonic_ms(), "done_at": monotonic_ms() + length, "length": length, "stop_at": float("inf")}
        self.world.note_start(self, task, run, body)
        return self.answer(200)

    def execute_stop(self, body):
        if body.get("fenceToken", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fenceToken", 0)
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.runs and self.runs[task]["run"] <= run:
            self.runs[task]["stop_at"] = min(self.runs[task]["stop_at"], monotonic_ms() + 50)
        return self.answer(200)

    def lists(self):
        now = monotonic_ms()
        running = [[task, run["run"], "", min(99, int(100 * (now - run["since"]) / run["length"])), 0] for task, run in self.runs.items()]
        return self.answer(200, running=running, endedRuns=self.ends[:500])

    async def execute_hold(self, body):
        if body.get("fenceToken", 0) < self.fence:
            return self.answer(409, reason="fence")
        self.fence = body.get("fenceToken", 0)
        if body["lastSeen"] > self.last_seen:
            self.last_seen = body["lastSeen"]
            self.world.note_last_seen(self, self.last_seen)
        self.ends = [end for end in self.ends if end[0] > body["lastSeen"]]
        if "deadlineMs" in body:
            self._extend(body["deadlineMs"])
        end = monotonic_ms() + body.get("waitMs", 0)
        while not self.ends and monotonic_ms() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), (end - monotonic_ms()) / 1000.0)
            except asyncio.TimeoutError:
                pass
        return self.lists()

    async def handle(self, method, path, query, headers, raw):
        if self.is_cut:
            return None
        answer = await self._handle(path, headers, raw)
        return None if self.is_cut else answer

    async def _handle(self, path, headers, raw):
        if path == "/health":
            return 200, {}
        if headers.get("target-instance", self.id) != self.id:
            return self.answer(421)
        body = json.loads(raw)
        name = path.rsplit("/", 1)[-1]
        if name == "hold":
            return await self.execute_hold(body)
        if name in ("run-start", "run-stop") and self.random.random() < self.late_share:
            asyncio.get_running_loop().call_later(self.random.uniform(2.0, 12.0), self._do_late, name, body)
            return None
        if name == "run-start":
            if self.refuses_starts:
                self.world.record("%s refuses the start of run %d of %s with 503" % (self.id, body["run"], body["task"]))
                return self.answer(503)
            return self.execute_start(body)
        if name == "run-stop":
            return self.execute_stop(body)
        return self.answer(200)


class Host:
    """A process of the program under test."""

    def __init__(self, world, number, zone):
        self.world = world
        self.id = "front-%s-%d" % (zone, number)
        self.zone = zone
        self.process = None
        self.take_ports()

    def take_ports(self):
        self.front, self.ready, self.metrics = (self.world.free_port() for _ in range(3))

    async def start(self):
        path = os.path.join(self.world.folder, self.id + ".json")
        settings = {
            "host": {"id": self.id, "availabilityZone": self.zone, "httpAddress": "127.0.0.1:%d" % self.front,
                     "readinessAddress": "127.0.0.1:%d" % self.ready, "metricsAddress": "127.0.0.1:%d" % self.metrics, "processorShare": 0.25},
            "serviceDomain": {
                "storeAddress": self.world.store.service.address, "availabilityZones": self.world.zones, "gracePeriodS": 6,
                "limits": {"holdMaxMs": 10000, "reclaimBoundMs": 2700, "stopGraceMs": 200, "gangWaitMs": 3000, "revokeBoundMs": 5000,
                           "statusRetentionS": 120, "remoteFactor": 3, "checkpointPeriodS": 0.5, "restoreTimeMs": 100, "harmBoundMs": 4000,
                           "minStoreLeaseMs": 1000}}}
        with open(path, "w", encoding="utf-8") as file:
            json.dump(settings, file)
        log = open(os.path.join(self.world.folder, self.id + ".log"), "ab")
        self.process = await asyncio.create_subprocess_exec(PROGRAM, "serve", "--settings", path, cwd=ROOT, stdout=log, stderr=log,
                                                            stdin=asyncio.subprocess.DEVNULL)
        self.world.record("%s started" % self.id)

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)
            self.world.record("%s gets %s" % (self.id, signal.Signals(number).name))


class World:
    """A small deployment: three zones, hosts, minions, a store and an operator's configuration."""

    def __init__(self, record, minions=12, hosts=6):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.zones = ["a", "b", "c"]
        self.hold_max = 10000
        self.store = Store(record)
        self.used_ports = set()
        self.minions = [Minion(self, "m%02d" % n, self.zones[n % 3], "r%d" % (n % 3), {"cpu": 32000, "memMb": 131072, "gpu": 8}, "press-desk")
                        for n in range(minions)]
        self.hosts = [Host(self, n, self.zones[n % 3]) for n in range(hosts)]
        self.starts = []  # (time, task, run, minion)
        self.ends = []    # (time, task, run, minion, how, number)
        self.noted = []   # (time, minion, lastSeen)
        self.lapses = []  # (time, minion)
        self.begun = []   # (time, task, run, life of the minion)
        self.over = []    # (time, task, run, life of the minion, how, number)
        self.seen = []    # (time, life of the minion, lastSeen)
        self.background = []

    def free_port(self):
        """A free port below the range from which the system takes the ports of outgoing connections."""
        while True:
            port = random.randint(12000, 30000)
            with socket.socket() as probe:
                try:
                    probe.bind(("127.0.0.1", port))
                except OSError:
                    continue
            if port not in self.used_ports:
                self.used_ports.add(port)
                return port

    def note_start(self, minion, task, run, body):
        self.starts.append((monotonic_ms(), task, run, minion.id))
        self.begun.append((monotonic_ms(), task, run, minion.life))
        self.record("%s begins run %d of %s, fence %d" % (minion.id, run, task, body.get("fenceToken", 0)))

    def note_end(self, minion, task, run, how, number):
        self.ends.append((monotonic_ms(), task, run, minion.id, how, number))
        self.over.append((monotonic_ms(), task, run, minion.life, how, number))
        self.record("%s ends run %d of %s: %s, end number %d" % (minion.id, run, task, how, number))

    def note_crash(self, minion, task, run):
        self.over.append((monotonic_ms(), task, run, minion.life, "crashed", 0))

    def note_last_seen(self, minion, number):
        self.seen.append((monotonic_ms(), minion.life, number))
        self.noted.append((monotonic_ms(), minion.id, number))
        self.record("%s is told that ends up to %d are taken note of" % (minion.id, number))

    def note_lapse(self, minion):
        self.lapses.append((monotonic_ms(), minion.id))
        self.record("the lease of %s lapses" % minion.id)

    def configure(self, version, routes, tenants):
        self.store.put_json("op/config", {
            "version": version, "routes": routes, "tenants": tenants,
            "services": [{"name": "press-desk", "healthPath": "/health", "maxConns": 64, "rejectsOverload": False}],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 5000, "idleTimeoutMs": 30000}})

    async def start(self, routes, tenants):
        await self.store.service.start()
        self.background.append(asyncio.create_task(self.store.run()))
        self.configure(1, routes, tenants)
        for minion in self.minions:
            await minion.service.start()
            minion.register()
        self.background.append(asyncio.create_task(self._beat()))
        self.background.append(asyncio.create_task(self._tick()))
        for host in self.hosts:
            await host.start()

    async def _beat(self):
        while True:
            await asyncio.sleep(1.5)
            for minion in self.minions:
                if minion.service.server is not None:
                    minion.register()

    async def _tick(self):
        while True:
            for minion in self.minions:
                minion.tick()
            await asyncio.sleep(0.005)

    def owner(self):
        holder = self.store.get_json("sequoiastand/domain/owner")
        return next((host for host in self.hosts if holder and host.id == holder["host"]), None)

    async def ready(self, seconds=20):
        """Waits until every host reports that it is ready and one owns the domain."""
        end = monotonic_ms() + seconds * 1000
        while monotonic_ms() < end:
            for host in self.hosts:
                if host.process.returncode is not None:  # Another program took one of its ports.
                    host.take_ports()
                    await host.start()
            answers = [await call(host.ready, "GET", "/sequoiastand/ready", timeout=1) for host in self.hosts]
            if all(answer[0] == 200 for answer in answers) and self.owner() is not None:
                await asyncio.sleep(1.5)
                return True
            await asyncio.sleep(0.1)
        return False

    async def stop(self):
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
                await host.process.wait()
        for task in self.background:
            task.cancel()
        for minion in self.minions:
            await minion.service.stop()
        await self.store.service.stop()
        if os.environ.get("KEEP_LOGS") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


def find_twice(world, record):
    """The starts that break TWICE: after a run of the task has ended `done`, if that end is taken note of and the minion's lease did not lapse between
    the two; or while another run of the task is at work."""
    done = {}
    noted_at = {}
    for when, life, number in world.seen:
        noted_at.setdefault(life, []).append((when, number))
    for at, task, run, life, how, number in world.over:
        noted = [when for when, seen in noted_at.get(life, []) if seen >= number]
        if how != "done" or not noted or any(who == life.split("/")[0] and at <= when <= noted[0] for when, who in world.lapses):
            continue
        done.setdefault(task, (at, run, noted[0]))
    ended = {(task, run, life): at for at, task, run, life, _, _ in world.over}
    runs = {}
    for at, task, run, life in world.begun:
        runs.setdefault(task, []).append((at, ended.get((task, run, life), float("inf")), run, life))
    twice = []
    for at, task, run, life in world.begun:
        if task in done and at > done[task][0]:
            twice.append(task)
            record("TWICE: run %d of %s begins on %s %.0f ms after run %d has ended done, which was taken note of %.0f ms after that end"
                   % (run, task, life, at - done[task][0], done[task][1], done[task][2] - done[task][0]))
        for begin, end, other, place in runs[task]:
            if begin < at < end and (other, place) != (run, life):
                twice.append(task)
                record("TWICE: run %d of %s begins on %s while run %d is at work on %s" % (run, task, life, other, place))
    return sorted(set(twice))


async def call(port, method, path, body=None, headers=None, timeout=3.0, half_close_after=None):
    """One call of a client on its own connection. Gives (status, object); status 0 means that no whole answer came.

    With `half_close_after` the client ends its sending side that many seconds after its request and goes on reading.
    """
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError:
        return 0, None
    try:
        data = json.dumps(body).encode() if body is not None else b""
        lines = ["%s %s HTTP/1.1" % (method, path), "Content-Length: %d" % len(data), "Content-Type: application/json"]
        lines += ["%s: %s" % item for item in (headers or {"Host": "desk.example"}).items()]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        if half_close_after is not None:
            await asyncio.sleep(half_close_after)
            writer.write_eof()
        message = await asyncio.wait_for(read_message(reader), timeout)
        if message is None:
            return 0, None
        first, _, text = message
        return int(first.split(" ")[1]), json.loads(text) if text else None
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, None
    finally:
        writer.close()


def route(name, prefix, service="press-desk", **fields):
    return dict({"name": name, "host": "desk.example", "prefix": prefix, "service": service, "kind": "non_idempotent", "timeoutMs": 3000,
                 "priority": 1, "maxAttempts": 3, "stretch": 3, "targetLatencyMs": 1000}, **fields)


def tenant(name, key, gpu=16):
    return {"name": name, "apiKeys": [key], "guaranteed": {"gpu": gpu}}


def job(milliseconds, count=1, **fields):
    return {"spec": json.dumps({"ms": milliseconds}),
            "steps": [dict({"count": count, "cpu": 1000, "memMb": 256, "gpu": 1, "estimateMs": milliseconds}, **fields)]}


def new_id():
    return "%016x" % random.getrandbits(64)


def with_key(key):
    return {"Host": "desk.example", "Authorization": "Bearer " + key, "Deadline-Ms": "3000"}


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(play, file):
    """Runs a case: a coroutine of (world, record) that gives True if the rule held. Exits with 0, 1 or 2."""
    record = Record(os.path.join(os.path.dirname(os.path.abspath(file)), "record.txt"))
    if not os.access(PROGRAM, os.X_OK):
        record("target/sequoiastand is missing; run the build of deploy/system.toml first")
        sys.exit(2)

    async def guarded():
        # A script that is ended early still ends the processes that it started.
        world = World(record)
        played = asyncio.ensure_future(asyncio.wait_for(play(world, record), 95))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, played.cancel)
        try:
            return await played
        finally:
            await world.stop()

    try:
        held = asyncio.run(guarded())
    except (Exception, asyncio.CancelledError) as error:  # The case could not run.
        record("the case could not run: %r" % error)
        sys.stdout.flush()
        os._exit(2)  # Without the event loop's complaints about connections that are still open.
    record("the rule held" if held else "the rule was BROKEN")
    print("the rule held" if held else "the rule was broken")
    sys.stdout.flush()
    os._exit(0 if held else 1)
