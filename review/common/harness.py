"""Stand-ins for the platform, its servers and clients, and the processes under test.

Everything runs on loopback addresses and the real clock. The stand-ins follow PROTOCOL.md; a case
changes their behaviour only by the disruptions that its claim quotes.
"""

import asyncio
import copy
import itertools
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

# The bounds of the sheet of the site that the claims name.
BOUNDS = {
    "seedLagS": 3, "addressReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "partitionBoundMs": 5000, "revokePartitioned": False,
    "revokeMs": 5000, "retryBudgetRatio": 0.2, "retryWindowS": 10, "retryAllowance": 58,
    "quotaWindowS": 8, "quotaOvershoot": 0.1, "quotaAllowance": 140000, "fencingEnforced": True,
    "leaseMs": 3000, "freezeSlackMs": 300, "usageWindowS": 5, "usageTolerance": 0.05,
    "usageDelayS": 10, "canaryShare": 0.1, "canaryAllowance": 50, "rollbackMs": 5000,
    "recoveryS": 12, "eventDelayMs": 120, "retryAfterS": 10,
}
HEARTBEAT_S = 1.2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """The lines of record.txt, each with the seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


# --- messages -----------------------------------------------------------------------------------


async def read_head(reader):
    """Reads the start line and the headers, or returns None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += data[:-2]


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


def encode(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def lost_at_exit(world, server, since):
    """Counts the requests that ran at a server since then and were not answered with success."""
    ran = [request for request, at in server.ran if at > since]
    unanswered = [request for request in ran
                  if request in world.clients.sent
                  and world.clients.sent[request]["status"] != 200]
    return len(ran), len(unanswered)


async def wait_for_close(reader):
    """Ignores what arrives until the other end closes the connection."""
    try:
        while await reader.read(4096):
            pass
    except ConnectionError:
        pass


# --- the platform's store -----------------------------------------------------------------------


class LostAnswer(Exception):
    """The answer to a call is lost, and its connection returns nothing further."""


class Store:
    """The platform's metadata store.

    While `silent` is set, no call is answered. The answer to a call that arrives meanwhile is lost, and
    its connection returns nothing further. Watches that wait already are answered afterwards.
    """

    def __init__(self, record):
        self.record = record
        self.revision = 10
        self.objects = {}
        self.history = []
        self.changed = asyncio.Event()
        self.silent = False
        # Rises each time that the store comes back from a copy.
        self.era = 1
        self.writers = set()

    async def start(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port, limit=1 << 22)
        self.address = self.server.sockets[0].getsockname()

    def copy(self):
        return self.revision, copy.deepcopy(self.objects), list(self.history)

    async def restore(self, saved, away_s):
        """Is away for a moment and comes back from a copy."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(away_s)
        self.revision, self.objects, self.history = saved
        self.era += 1
        await self.start(*self.address)

    def save(self, kind, name, spec, status):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": 1, "finalizers": [],
                    "deletionPending": False}
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self.objects[(kind, name)] = stored
        self.add_event(kind, stored, False)
        return stored

    def put(self, kind, name, spec):
        """Writes an object as the operator or a server does, and returns the time of the answer."""
        stored = self.objects.get((kind, name))
        if stored is None or stored["spec"] != spec:
            self.save(kind, name, spec, stored["status"] if stored else None)
        return self.record.now()

    def delete(self, kind, name):
        stored = self.objects.pop((kind, name), None)
        if stored is not None:
            self.revision += 1
            self.add_event(kind, stored, True)

    def add_event(self, kind, stored, deleted):
        self.history.append((self.revision, kind, {"object": stored, "deleted": deleted}))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                method, target, _ = head[0].split(" ")
                if self.silent:
                    raise LostAnswer
                status, answer = await self.call(method, target, body)
                while self.silent:
                    await asyncio.sleep(0.01)
                # The stand-in holds bytes that are no text as this word.
                text = json.dumps(answer).encode().replace(b"UNREADABLE", b"\xff\xfe\x80")
                headers = [("Content-Type", "application/json"), ("Store-Era", self.era)]
                writer.write(encode(status, headers, text))
                await writer.drain()
        except LostAnswer:
            await wait_for_close(reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def call(self, method, target, body):
        parts = urlsplit(target)
        path = [unquote(part) for part in parts.path.removeprefix("/-/objects/").split("/")]
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        document = json.loads(body) if body else {}
        if method == "GET" and "watch" in query:
            return await self.watch(path[0], int(query["watch"]), int(query["waitMs"]))
        return self.perform(method, path, query, document)

    def perform(self, method, path, query, document):
        kind = path[0]
        if method == "GET" and len(path) == 1:
            found = [stored for (of, name), stored in sorted(self.objects.items())
                     if of == kind and name > query.get("after", "")]
            return 200, {"entries": found[:500], "more": len(found) > 500, "at": self.revision}
        metadata = document.get("metadata", {})
        name = path[1] if len(path) > 1 else metadata["name"]
        stored = self.objects.get((kind, name))
        if method == "GET":
            return (200, stored) if stored else (404, {})
        expected = metadata.get("revision", query.get("revision"))
        if method == "POST":
            if stored:
                return 409, stored
            return 200, self.save(kind, name, document.get("spec"), None)
        if stored is None:
            return 404, {}
        if expected is not None and int(expected) != stored["metadata"]["revision"]:
            return 409, stored
        if method == "DELETE":
            self.delete(kind, name)
            return 200, stored
        if len(path) == 3:
            return 200, self.save(kind, name, stored["spec"], document.get("status"))
        return 200, self.save(kind, name, document.get("spec"), stored["status"])

    async def watch(self, kind, since, wait_ms):
        end = time.monotonic() + wait_ms / 1000
        while True:
            if since > self.revision:
                return 410, {}
            events = [event for at, of, event in self.history if at > since and of == kind]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


# --- the platform's API for duties --------------------------------------------------------------


class Cloud:
    """The platform's API for duties. Checks fencing tokens when a call is carried out."""

    def __init__(self, record):
        self.record = record
        self.highest = {}
        # Window number, counts and fencing token of each report that was accepted.
        self.accepted = []
        # Returns "answer", "lose" (carried out without an answer) or "silent" (not carried out).
        self.decide = lambda path, headers, document: "answer"

    async def start(self, ip):
        self.server = await asyncio.start_server(self.serve, ip, 0)
        self.address = self.server.sockets[0].getsockname()

    def carry_out(self, path, headers, document):
        token = int(headers["fencing-token"])
        subject = "usage" if path == "/usage" else (document["service"], document["zone"])
        if token < self.highest.get(subject, 0):
            return 409
        self.highest[subject] = token
        if path == "/usage":
            self.accepted.append((document["windowId"], document["counts"], token))
            self.record.write(f"platform accepts usage {json.dumps(document)} token {token}")
        return 200

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                document = json.loads(await read_body(reader, head[1]))
                path = head[0].split(" ")[1]
                decision = self.decide(path, head[1], document)
                if decision == "silent":
                    self.record.write(f"platform is silent to {path} {json.dumps(document)}")
                    return await wait_for_close(reader)
                status = self.carry_out(path, head[1], document)
                if decision == "lose":
                    self.record.write(f"platform loses the answer to {path} {json.dumps(document)}")
                    return await wait_for_close(reader)
                writer.write(encode(status, []))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


# --- servers ------------------------------------------------------------------------------------


class Server:
    """A server of a plain service. It works on `slots` requests at a time and queues a few more."""

    def __init__(self, record, store, service, instance, zone, work_s=0.015, slots=6):
        self.record, self.store = record, store
        self.service, self.instance, self.zone = service, instance, zone
        self.work_s, self.slots = work_s, slots
        self.born = int(time.time() * 1000)
        self.state = "ready"
        self.running = 0
        # (request, time) of each request that arrived, and of each that ran.
        self.arrived, self.ran = [], []
        self.writers = set()

    async def start(self, ip):
        self.listener = await asyncio.start_server(self.serve, ip, 0)
        self.address = self.listener.sockets[0].getsockname()

    def entry(self):
        host, port = self.address
        return {"service": self.service, "address": f"{host}:{port}", "zone": self.zone,
                "version": "v1", "slots": self.slots, "state": self.state, "warmupLeftMs": 0,
                "sequence": 1, "born": self.born}

    def register(self):
        return self.store.put("servers", self.instance, self.entry())

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                writer.write(await self.answer(method, target, head[1], body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body):
        if target == "/healthz":
            return encode(200, [("Instance-Id", self.instance)])
        request = headers.get("attempt-id", "")
        echo = [("Attempt-Id", request)]
        if headers.get("expected-instance", self.instance) != self.instance:
            return encode(421, echo + [("Not-Executed", "1")])
        at = self.record.now()
        self.arrived.append((request, at))
        if self.running >= self.slots * 3:
            return encode(503, echo + [("Not-Executed", "1")])
        self.running += 1
        self.ran.append((request, at))
        self.record.write(f"server {self.instance} runs {request} {method} {target}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        signature = ("Response-Signature", f"sig.{self.instance}.{request}")
        return encode(200, echo + [signature], f"{request}:{self.instance}".encode())

    def exit(self):
        """Ends the server: nothing listens any more, and open connections are closed."""
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()


# --- processes under test -----------------------------------------------------------------------


def read_role():
    """Returns the command and the template of the role in the deploy file, which has only one."""
    text = (ROOT / "deploy/system.toml").read_text()
    return {key: re.search(f'^{key} = "(.*)"$', text, re.M)[1] for key in ("run", "template")}


def render(template, fields):
    """Renders the template of the settings as DEPLOY.md describes."""

    def find(stack, name):
        if name == ".":
            return stack[-1]
        for scope in reversed(stack):
            value = scope
            for part in name.split("."):
                if isinstance(value, dict) and part in value:
                    value = value[part]
                elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
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
        return json.dumps(value) if isinstance(value, dict) else str(value)

    section = re.compile(r"\{\{([#^])([\w.]+)\}\}\n?(.*?)\{\{/\2\}\}\n?", re.S)

    def expand(source, stack, key):
        def replace(match):
            kind, name, inner = match.groups()
            value = find(stack, name)
            present = value is not None and value is not False
            if kind == "^":
                return "" if present else expand(inner, stack, key)
            if not present:
                return ""
            if isinstance(value, dict):
                return "".join(expand(inner, stack + [entry], at) for at, entry in value.items())
            if isinstance(value, list):
                return "".join(expand(inner, stack + [entry], at)
                               for at, entry in enumerate(value))
            return expand(inner, stack + [value], key)

        source = section.sub(replace, source)
        return re.sub(r"\{\{([\w.@]+)\}\}",
                      lambda match: text(key if match[1] == "@" else find(stack, match[1])), source)

    return expand(template, [fields], "")


class Gateway:
    """One process of the deploy file on a loopback address of its own."""

    def __init__(self, world, name, ip, zone):
        self.world, self.name, self.ip, self.zone = world, name, ip, zone
        self.frontend, self.ready = (ip, 8360), (ip, 8365)
        self.process = None
        self.starts = 0

    def write_settings(self):
        world = self.world
        fields = {
            "nodeName": self.name, "role": "gateway", "machineClass": "edge", "serves": ["edge"],
            "ip": self.ip, "zone": self.zone, "region": "salish",
            "zones": {zone: "salish" for zone in ("salish-a", "salish-b", "salish-c")},
            "listen": {"frontend": f"{self.ip}:8360", "ready": f"{self.ip}:8365"},
            "internalPortRange": [7500, 7515], "seedNodes": [], "bootstrap": self.starts == 0,
            "limits": {"cpuQuota": 0.25, "cpuCores": 1, "memoryMb": 260,
                       "maxFileDescriptors": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "heartbeatMs": int(HEARTBEAT_S * 1000), "bounds": BOUNDS,
            "platform": {"address": "%s:%d" % world.store.address},
            "cloudApi": {"address": "%s:%d" % world.cloud.address, "duties": ["usage"]},
        }
        template = (ROOT / world.role["template"]).read_text()
        self.settings = world.folder / f"{self.name}.ini"
        self.settings.write_text(render(template, fields))

    def start(self):
        self.write_settings()
        self.starts += 1
        log = open(self.world.folder / f"{self.name}.log", "ab")
        command = self.world.role["run"].split()
        command[0] = str(ROOT / command[0])
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                       if key in os.environ}
        environment["DOGWOODTURN_NODE_FILE"] = str(self.settings)
        self.process = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                                        stdin=subprocess.DEVNULL)
        self.world.record.write(f"{self.name} starts")

    def signal(self, number):
        self.world.record.write(f"{self.name} receives {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            answer = await asyncio.wait_for(exchange(self.ready, "GET", "/-/readyz", {}, b""), 1)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer[0] == 200

    def log_text(self):
        return (self.world.folder / f"{self.name}.log").read_text(errors="replace")


# --- clients ------------------------------------------------------------------------------------


async def exchange(address, method, target, headers, body, timeout=None):
    """Sends one request on a new connection. Returns status, headers and body, or None if the
    connection ends without a complete answer."""

    async def run():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {target} HTTP/1.1", "Host: shop.example"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                return None
            return int(head[0].split(" ")[1]), head[1], await read_body(reader, head[1])
        except (ConnectionError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()

    return await asyncio.wait_for(run(), timeout)


class Clients:
    """Sends requests and keeps what became of each."""

    def __init__(self, world):
        self.world = world
        # By request: gateway, path, times of sending and answer, status or None.
        self.sent = {}
        self.numbers = itertools.count(1)

    async def send(self, gateway, method, path, key, deadline_ms=600, body=b"", more=None):
        record = self.world.record
        request = f"{next(self.numbers):08x}{random.getrandbits(32):08x}"
        headers = {"Attempt-Id": request, "Deadline-Ms": deadline_ms,
                   "Authorization": f"Bearer {key}", **(more or {})}
        entry = {"gateway": gateway.name, "path": path, "key": key, "at": record.now(),
                 "status": None}
        self.sent[request] = entry
        record.write(f"client sends {request} {method} {path} to {gateway.name}")
        try:
            answer = await exchange(gateway.frontend, method, path, headers, body,
                                    deadline_ms / 1000 + 1.5)
            entry["status"] = answer[0] if answer else None
        except asyncio.TimeoutError:
            entry["status"] = "no answer"
        except OSError:
            entry["status"] = "not connected"
        entry["answered"] = record.now()
        record.write(f"client gets {entry['status']} for {request}")
        return request, entry

    async def load(self, gateway, method, path, key, interval_s, until, **more):
        """Sends requests at a fixed rate, whatever becomes of them, until the record's time."""
        pending = set()
        while self.world.record.now() < until:
            task = asyncio.create_task(self.send(gateway, method, path, key, **more))
            pending.add(task)
            task.add_done_callback(pending.discard)
            await asyncio.sleep(interval_s)
        if pending:
            await asyncio.wait(pending)


# --- a case -------------------------------------------------------------------------------------


class World:
    def __init__(self, case):
        self.case = Path(case).resolve().parent
        self.record = Record(self.case / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="dogwoodturn-review-"))
        self.role = read_role()
        if not (ROOT / self.role["run"].split()[0]).exists():
            raise CannotRun("the program of the deploy file is not built")
        # An address range of its own, so that fixed ports are free.
        self.network = f"127.{64 + os.getpid() % 128}.{os.getpid() // 128 % 250 + 1}"
        self.hosts = itertools.count(1)
        self.store, self.cloud = Store(self.record), Cloud(self.record)
        self.gateways, self.servers = [], []
        self.clients = Clients(self)

    def next_ip(self):
        return f"{self.network}.{next(self.hosts)}"

    async def start(self, gateways, config):
        await self.store.start(self.next_ip())
        await self.cloud.start(self.next_ip())
        for server in self.servers:
            await server.start(self.next_ip())
            server.register()
        self.store.put("config", "main", config)
        zones = itertools.cycle(("salish-a", "salish-b", "salish-c"))
        for number in range(1, gateways + 1):
            self.add_gateway(f"edge-salish-{number}", next(zones)).start()
        for gateway in self.gateways:
            await self.wait_until_ready(gateway)
        self.record.write("all gateways are ready")

    def add_gateway(self, name, zone):
        gateway = Gateway(self, name, self.next_ip(), zone)
        self.gateways.append(gateway)
        return gateway

    async def wait_until_ready(self, gateway):
        for _ in range(150):
            if await gateway.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{gateway.name} does not become ready")

    async def until(self, at):
        await asyncio.sleep(max(0, at - self.record.now()))

    def stop(self):
        for gateway in self.gateways:
            if gateway.process is not None:
                gateway.process.kill()
                gateway.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, **more):
    return {"name": name, "host": "shop.example", "pathPrefix": f"/{name}/", "routeKind": kind,
            "timeoutMs": 600, "targetLatencyMs": 100, "priority": 2, "service": service,
            "maxAttempts": 2, "anonymous": False, "sessionAffinity": False,
            "streamResumption": False, **more}


def config(version, routes, services, tenants):
    return {"version": version, "routes": routes,
            "services": [{"name": name, "healthPath": "/healthz", "maxConnections": 110,
                          "protocol": "h1", "tls": False} for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": name, "apiKeys": keys, "priority": 1}
                        for name, keys in tenants.items()]}


def play(file, case):
    """Runs a case and exits with its result: the case returns the faults that it saw."""
    world = None
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        world = World(file)
        world.record.write(f"disruption: {TROUBLE}")
        faults = asyncio.run(asyncio.wait_for(case(world), 115))
    except CannotRun as error:
        print(f"could not run: {error}")
        sys.exit(COULD_NOT_RUN)
    except Exception as error:  # Nothing is known about the rule.
        print(f"could not run: {error!r}")
        if world is not None:
            world.record.write(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    finally:
        if world is not None:
            world.stop()
    for fault in faults:
        world.record.write(f"BROKEN {fault}")
    result = "broken" if faults else "held"
    world.record.write(f"result: {result}")
    print(f"{result}: {len(faults)} findings" + (f", first: {faults[0]}" if faults else ""))
    sys.exit(BROKEN if faults else HELD)
