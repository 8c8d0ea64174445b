"""Stand-ins for the cases in review/11 to review/15: the platform's store and its cloud interface, servers,
clients and the platform's supervision of the gateways. Python without dependencies.

The gateways are started with the command and the template of the deploy file. All addresses are loopback
addresses, and all ports are free ones. Every case writes what happened to `record.txt` in its folder.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of sites/wayfarer-dogwood.toml as the settings of a process give them.
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000,
    "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "partitionBoundMs": 5000,
    "revokePartitioned": False, "revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10,
    "retryAllowance": 58, "quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaAllowance": 140000,
    "fencingEnforced": True, "leaseMs": 3000, "freezeSlackMs": 300, "usageWindowS": 5, "usageTolerance": 0.05,
    "usageDelayS": 10, "canaryShare": 0.1, "canaryAllowance": 50, "rollbackMs": 5000, "recoveryS": 12,
    "eventDelayMs": 120, "retryAfterS": 10,
}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
HEARTBEAT_S = 1.2
MEMORY_MB = 260


class Record:
    """What was sent, answered and run, with the time since the start of the case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.began:9.3f} {text}\n")

    def say(self, text):
        self(text)
        self.file.flush()
        print(text, flush=True)


class Unable(Exception):
    """The case could not run."""


def read_toml(path):
    """Returns the text values of a file of the deploy folder, whose keys are unique."""
    with open(os.path.join(ROOT, path), encoding="utf-8") as file:
        return dict(re.findall(r'^(\w+) = "(.*)"$', file.read(), re.M))


def free_port(ip, udp=False):
    """Returns a port that is free for TCP and, if asked, for UDP."""
    while True:
        with socket.socket() as tcp:
            tcp.bind((ip, 0))
            port = tcp.getsockname()[1]
            if not udp:
                return port
            with socket.socket(type=socket.SOCK_DGRAM) as datagrams:
                try:
                    datagrams.bind((ip, port))
                except OSError:
                    continue
                return port


def render(template, fields, renamed):
    """Renders the part of the template language that deploy/settings.ini uses."""

    def find(scope, path):
        if path == ".":
            return scope[0].get(".")
        for layer in scope:
            value = layer
            for part in path.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return "true" if value else "false"
        if isinstance(value, list):
            return ",".join(text(part) for part in value)
        return renamed.get(value, str(value)) if isinstance(value, str) else str(value)

    def expand(part, scope):
        section = re.compile(r"\{\{#([\w.]+)\}\}\n?(.*?)\{\{/\1\}\}\n?", re.S)

        def one(match):
            value = find(scope, match.group(1))
            if value is None or value is False:
                return ""
            if isinstance(value, dict):
                entries = [{".": entry, "@": key} for key, entry in value.items()]
            elif isinstance(value, list):
                entries = [{".": entry, "@": index} for index, entry in enumerate(value)]
            else:
                entries = [{".": value}]
            return "".join(expand(match.group(2), [entry, *scope]) for entry in entries)

        part = section.sub(one, part)
        return re.sub(r"\{\{([\w.@]+)\}\}", lambda m: text(find(scope, m.group(1))), part)

    return expand(template, [fields])


class Store:
    """The platform's store, as PROTOCOL.md describes it, and the cloud interface beside it."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.fences = {}
        self.usage = {}
        self.cloud_calls = []

    async def start(self, ip="127.0.0.1"):
        server = await asyncio.start_server(self.serve, ip, 0)
        self.address = "%s:%d" % server.sockets[0].getsockname()[:2]
        cloud = await asyncio.start_server(self.serve_cloud, ip, 0)
        self.cloud_address = "%s:%d" % cloud.sockets[0].getsockname()[:2]

    # Writes of operators and servers.

    def put(self, kind, name, spec):
        stored = self.objects.get((kind, name))
        if stored and stored["spec"] == spec:
            return stored
        return self.save(kind, name, spec, stored["status"] if stored else None)

    def touch(self, kind, name, spec):
        """Changes an entry without an event, as a heartbeat that only raises `sequence` does."""
        if (kind, name) in self.objects:
            self.objects[kind, name] = {**self.objects[kind, name], "spec": spec}

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored:
            self.revision += 1
            self.note(kind, stored, True)

    def save(self, kind, name, spec, status):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1, "finalizers": [],
                    "deletionPending": False}
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[kind, name] = stored
        self.note(kind, stored, False)
        return stored

    def note(self, kind, stored, deleted):
        self.history.append((self.revision, kind, {"object": stored, "deleted": deleted}))
        del self.history[:-5000]
        self.changed.set()
        self.changed = asyncio.Event()

    # Calls.

    async def serve(self, reader, writer):
        await serve_http(reader, writer, self.call)

    async def call(self, method, target, headers, body):
        path, _, query = target.partition("?")
        query = dict(part.partition("=")[::2] for part in query.split("&") if part)
        parts = path.removeprefix("/-/objects/").split("/")
        if method == "GET" and len(parts) == 1 and "watch" in query:
            return await self.watch(parts[0], int(query["watch"]), float(query.get("waitMs", 0)) / 1000)
        if method == "GET" and len(parts) == 1:
            entries = [stored for (kind, _), stored in sorted(self.objects.items()) if kind == parts[0]]
            after = query.get("after", "")
            entries = [e for e in entries if e["metadata"]["name"] > after]
            return 200, {"entries": entries[:500], "more": len(entries) > 500, "at": self.revision}
        if method == "GET":
            stored = self.objects.get((parts[0], parts[1]))
            return (200, stored) if stored else (404, {})
        document = json.loads(body) if body else {}
        name = parts[1] if len(parts) > 1 else document["metadata"]["name"]
        stored = self.objects.get((parts[0], name))
        expected = document.get("metadata", {}).get("revision")
        if method == "DELETE":
            expected = int(query["revision"]) if "revision" in query else None
        if stored and expected is not None and expected != stored["metadata"]["revision"]:
            return 409, stored
        if method == "POST":
            return (409, stored) if stored else (200, self.save(parts[0], name, document.get("spec"), None))
        if not stored:
            return 404, {}
        if method == "DELETE":
            self.remove(parts[0], name)
            return 200, stored
        if len(parts) == 3:
            return 200, self.save(parts[0], name, stored["spec"], document.get("status"))
        return 200, self.save(parts[0], name, document.get("spec"), stored["status"])

    async def watch(self, kind, since, wait):
        until = time.monotonic() + wait
        while True:
            if since > self.revision or (self.history and since < self.history[0][0] - 1):
                return 410, {}
            changed = self.changed
            events = [event for at, of, event in self.history if at > since and of == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def serve_cloud(self, reader, writer):
        await serve_http(reader, writer, self.cloud_call)

    async def cloud_call(self, method, target, headers, body):
        document = json.loads(body)
        duty = target if target == "/usage" else f"{target} {document['service']} {document['zone']}"
        fence = int(headers["fencing-token"])
        self.cloud_calls.append((time.monotonic(), duty, headers["duty-owner"], fence, document))
        if fence < self.fences.get(duty, 0):
            self.record(f"cloud 409 {duty} by {headers['duty-owner']} with {fence}")
            return 409, {}
        self.fences[duty] = fence
        if target == "/usage":
            self.usage.setdefault(document["windowId"], []).append(document["counts"])
        self.record(f"cloud 200 {duty} by {headers['duty-owner']} with {fence}: {json.dumps(document)}")
        return 200, {}


async def read_head(reader):
    """Returns the first line and the headers in lower case, or None at the end of the connection."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = text.split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return bytes(body)
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", 0)))


async def serve_http(reader, writer, call):
    try:
        while (head := await read_head(reader)) is not None:
            method, target, _ = head[0].split(" ")
            body = await read_body(reader, head[1])
            status, document = await call(method, target, head[1], body)
            text = json.dumps(document).encode()
            writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                         % (status, len(text)) + text)
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


def reset(writer):
    """Ends a connection with a reset."""
    try:
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    except OSError:
        pass
    writer.transport.abort()


class Server:
    """A sound server. It echoes `Attempt-Id`, refuses requests for another instance with 421, runs as many
    requests at a time as it has slots, and lets the others wait."""

    def __init__(self, store, record, service, zone="salish-a", slots=64, work_s=0.02, version="v1"):
        self.store, self.record = store, record
        self.service, self.zone, self.work_s, self.version = service, zone, work_s, version
        self.id = "i-%010x" % random.getrandbits(40)
        self.slots = asyncio.Semaphore(slots)
        self.slot_count = slots
        self.state, self.sequence, self.born = "ready", 0, int(time.time() * 1000)
        self.runs = []
        self.answered = []
        self.running = 0

    async def start(self, ip="127.0.0.1"):
        self.listener = await asyncio.start_server(self.serve, ip, 0, limit=1 << 20)
        self.address = "%s:%d" % self.listener.sockets[0].getsockname()[:2]
        self.store.put("servers", self.id, self.entry())
        self.beat = asyncio.create_task(self.beats())
        return self

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": self.version,
                "slots": self.slot_count, "state": self.state, "warmupLeftMs": 0, "sequence": self.sequence,
                "born": self.born}

    async def beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.sequence += 1
            self.store.touch("servers", self.id, self.entry())

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                if not await self.handle(head, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def handle(self, head, reader, writer):
        first, headers = head
        request = headers.get("attempt-id", "")
        body = await read_body(reader, headers)
        if headers.get("expected-instance", self.id) != self.id:
            self.respond(writer, 421, request, b"", "Not-Executed: 1\r\n")
            return True
        async with self.slots:
            self.running += 1
            self.runs.append((time.monotonic(), request))
            self.record(f"server {self.id} runs {request} {first.split(' ')[1]} of {len(body)} bytes")
            try:
                await asyncio.sleep(self.work_s)
            finally:
                self.running -= 1
        self.answered.append(request)
        await self.answer(writer, request)
        return True

    async def answer(self, writer, request):
        self.respond(writer, 200, request, b"ok " + request.encode(), "")
        await writer.drain()

    def respond(self, writer, status, request, body, more):
        load = f"{self.running},0,{self.slot_count}"
        head = (f"HTTP/1.1 {status} X\r\nAttempt-Id: {request}\r\nInstance-Id: {self.id}\r\n"
                f"Response-Signature: {self.id}.{request}.{len(body)}\r\nServer-Load: {load}\r\n{more}"
                f"Keep-Alive: timeout=30\r\nContent-Length: {len(body)}\r\n\r\n")
        writer.write(head.encode() + body)


class Gateway:
    """A machine of the system, with the process that the platform runs there."""

    def __init__(self, record, folder, name, zone, store, number, first_start=True):
        deploy = read_toml("deploy/system.toml")
        self.command = deploy["run"].split(" ")
        self.record, self.name, self.zone, self.store = record, name, zone, store
        self.ip = f"127.{random.randrange(16, 250)}.{random.randrange(250)}.{number}"
        self.frontend = (self.ip, free_port(self.ip))
        self.ready = (self.ip, free_port(self.ip))
        self.peers = free_port(self.ip, udp=True)
        self.template = open(os.path.join(ROOT, deploy["template"]), encoding="utf-8").read()
        self.renamed = read_toml("deploy/wire.toml")
        self.file = os.path.join(folder, f"{name}.ini")
        self.log = open(os.path.join(folder, f"{name}.log"), "ab")
        self.first_start = first_start
        self.process = None
        self.starts = 0
        self.peak_mb = 0

    def settings(self):
        zones = {zone: "salish" for zone in ("salish-a", "salish-b", "salish-c")}
        return {
            "nodeName": self.name, "role": "gateway", "machineClass": "edge", "serves": ["edge"], "ip": self.ip,
            "zone": self.zone, "region": "salish", "zones": zones,
            "listen": {"frontend": "%s:%d" % self.frontend, "ready": "%s:%d" % self.ready},
            "internalPortRange": [self.peers, self.peers + 15], "seedNodes": [],
            "bootstrap": self.first_start, "failureCounted": False,
            "limits": {"cpuQuota": 0.25, "cpuCores": 1, "memoryMb": MEMORY_MB, "maxFileDescriptors": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "heartbeatMs": 1200, "bounds": BOUNDS, "platform": {"address": self.store.address},
            "cloudApi": {"address": self.store.cloud_address, "duties": ["usage", "autoscale"]},
        }

    async def start(self):
        with open(self.file, "w", encoding="utf-8") as file:
            file.write(render(self.template, self.settings(), self.renamed))
        env = {"PATH": os.environ["PATH"], "DOGWOODTURN_NODE_FILE": self.file}
        self.process = await asyncio.create_subprocess_exec(
            *self.command, cwd=ROOT, env=env, stdout=self.log, stderr=self.log)
        self.first_start = False
        self.starts += 1
        self.record(f"{self.name} starts at {self.frontend[0]}:{self.frontend[1]}")

    def is_up(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.is_up():
            self.record(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def memory_mb(self):
        try:
            status = open(f"/proc/{self.process.pid}/status", encoding="utf-8").read()
        except OSError:
            return 0
        found = re.search(r"VmRSS:\s*(\d+) kB", status)
        used = int(found.group(1)) / 1024 if found else 0
        self.peak_mb = max(self.peak_mb, used)
        return used

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*self.ready), 1)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: entry\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200 " in head[0]
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until or not self.is_up():
                raise Unable(f"{self.name} does not become ready")
            await asyncio.sleep(0.1)


def config(version, routes, services, tenants, limits=None):
    return {"version": version, "routes": routes, "services": services, "tenants": tenants,
            "limits": limits or LIMITS}


def route(name, service, kind, timeout_ms, target_ms, attempts=1, priority=1, **more):
    return {"name": name, "host": f"{name}.example", "pathPrefix": f"/{name}/", "routeKind": kind,
            "timeoutMs": timeout_ms, "targetLatencyMs": target_ms, "maxAttempts": attempts,
            "priority": priority, "service": service, **more}


async def main(case, folder, limit_s):
    """Runs a case, ends what it started and returns its exit status."""
    record = Record(folder)
    gateways = []
    try:
        broken = await asyncio.wait_for(case(record, gateways), limit_s)
        record.say("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0
    except (Unable, asyncio.TimeoutError, OSError) as error:
        record.say(f"the case could not run: {error!r}")
        return 2
    finally:
        for gateway in gateways:
            if gateway.is_up():
                gateway.process.kill()
                await gateway.process.wait()
        record.file.close()


def run(case, limit_s=110):
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    with tempfile.TemporaryDirectory(prefix="review-") as scratch:
        loop = asyncio.new_event_loop()
        status = loop.run_until_complete(main(lambda *more: case(*more, scratch), folder, limit_s))
        if "KEEP_LOGS" in os.environ:
            shutil.copytree(scratch, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    sys.stdout.flush()
    # Connections that are still open would be reported one by one.
    os._exit(status)
