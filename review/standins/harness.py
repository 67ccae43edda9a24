"""Stand-ins for clients, upstreams and discovery, and the start and end of the project's own programs.

Everything runs on 127.0.0.1 and on ports that the system hands out. A case is a coroutine that returns True if the
rule held. `main` ends with 0 if it held and with 10 if it was broken; review/standins/run turns 10 into 1 and all else,
such as a failure of Python itself, into 2.
"""

import asyncio
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SECOND_NS = 1_000_000_000


class CannotRun(Exception):
    """The case could not be played, so it says nothing of the program."""


class Record:
    """record.txt: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def write(self, text):
        self.file.write(f"{self.now():9.4f} {text}\n")
        self.file.flush()

    def verdict(self, text):
        self.write(text)
        print(text)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


def reset(writer):
    """Closes a connection with a reset, as a process that is killed does."""
    raw = writer.get_extra_info("socket")
    try:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    writer.transport.abort()


def close_quietly(writer):
    """Closes a connection, also while the loop is being closed."""
    try:
        writer.close()
    except RuntimeError:
        pass


async def read_message(reader):
    """Reads a request or an answer whose body has a Content-Length: (start line, fields, body)."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


class Upstream:
    """A server as the protocol page describes it. `service` is a coroutine that is given the request's id and fields,
    and returns "serve", "reset" or "silent"."""

    def __init__(self, record, name, service, pod=0, zone="taoyuan", kind="std-1c"):
        self.record, self.name, self.service = record, name, service
        self.pod, self.zone, self.kind = pod, zone, kind
        self.state = "active"
        self.boot_ms = 0
        self.runs = []
        self.writers = set()
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, state=None):
        return {"uid": self.name, "endpoint": f"127.0.0.1:{self.port}", "az": self.zone, "model": self.kind,
                "pod_group": self.pod, "state": state or self.state, "capacity_hint": 1.0,
                "boot_ms": self.boot_ms}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                _, fields, _ = await read_message(reader)
                request = fields.get("req-id")
                if request is None:
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                begun = self.record.now()
                self.runs.append((begun, request, fields))
                self.record.write(f"{self.name} begins {request}, told to answer within {fields.get('req-deadline')}")
                outcome = await self.service(request, fields)
                if outcome == "silent":
                    continue
                if outcome == "reset":
                    self.record.write(f"{self.name} resets the connection of {request}")
                    return reset(writer)
                body = f"{request} by {self.name}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.record.write(f"{self.name} has served {request}")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            close_quietly(writer)

    def crash(self):
        """The process crashes: open connections are reset, new ones are refused."""
        self.record.write(f"{self.name} crashes: its connections are reset, new ones are refused")
        self.server.close()
        for writer in list(self.writers):
            reset(writer)


class CallQueue:
    """The queue of a discovery that works through calls in turn. A call that has waited for too long fails."""

    def __init__(self, seconds_per_call, timeout):
        self.seconds_per_call, self.timeout = seconds_per_call, timeout
        self.waiting = asyncio.Queue()
        self.served = self.failed = 0

    async def work(self):
        """The one worker, which takes the calls in turn."""
        while True:
            turn = await self.waiting.get()
            if turn.cancelled():
                continue
            turn.set_result(None)
            self.served += 1
            await asyncio.sleep(self.seconds_per_call)

    async def wait(self):
        """Waits for a call's turn; returns False where the call has waited for too long."""
        turn = asyncio.get_running_loop().create_future()
        self.waiting.put_nowait(turn)
        try:
            await asyncio.wait_for(turn, self.timeout)
            return True
        except asyncio.TimeoutError:
            self.failed += 1
            return False


class Discovery:
    """Discovery as the protocol page describes it: whole lists and watches, and a queue for first calls."""

    def __init__(self, record, upstreams, queue=None):
        self.record, self.upstreams, self.queue = record, upstreams, queue
        self.version = 41
        self.changed = asyncio.Event()
        self.changes = []
        self.writers = set()
        self.server = None
        self.port = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def set_state(self, upstreams, state):
        self.version += 1
        for upstream in upstreams:
            upstream.state = state
            self.changes.append((self.version, upstream.entry()))
        names = ", ".join(upstream.name for upstream in upstreams)
        self.record.write(f"discovery lists {names} as {state}, version {self.version}")
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def whole_list(self):
        listed = [upstream.entry() for upstream in self.upstreams if upstream.state != "left"]
        return {"rev": self.version, "all": True, "targets": listed}

    async def answer(self, query):
        if "from" not in query:
            return self.whole_list()
        known, until = int(query["from"]), time.monotonic() + int(query.get("hold_ms", "0")) / 1000
        while self.version <= known:
            left = until - time.monotonic()
            if left <= 0:
                return {"rev": self.version, "all": False, "targets": []}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
        return {"rev": self.version, "all": False,
                "targets": [entry for version, entry in self.changes if version > known]}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        answered_at = None
        try:
            while True:
                start_line, _, _ = await read_message(reader)
                query = dict(part.split("=") for part in start_line.split(" ")[1].partition("?")[2].split("&") if part)
                # The next call of a watch comes within 0.2 s of the last answer; any other is a first call.
                goes_on = "from" in query and answered_at is not None and time.monotonic() - answered_at < 0.2
                if self.queue is not None and not goes_on and not await self.queue.wait():
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    continue
                body = json.dumps(await self.answer(query)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(body) + body)
                await writer.drain()
                answered_at = time.monotonic()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            close_quietly(writer)

    def reset_watches(self):
        self.record.write(f"discovery resets all open watches, {len(self.writers)} of them by the balancers here")
        for writer in list(self.writers):
            reset(writer)


class Client:
    """A client with one connection on which it sends one request at a time."""

    def __init__(self, record, port):
        self.record, self.port = record, port
        self.reader = self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def ask(self, request, kind, deadline_ms, method="GET", body=b"", patience=30.0):
        """Returns (status, body, seconds), or (None, b"", seconds) where the connection ended without an answer."""
        if self.writer is None:
            await self.connect()
        sent = self.record.now()
        self.record.write(f"client sends {request} ({kind}, deadline {deadline_ms} ms)")
        self.writer.write(encode_request(request, kind, deadline_ms, method, body))
        try:
            start_line, fields, body = await asyncio.wait_for(read_message(self.reader), patience)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.TimeoutError) as error:
            self.close()
            self.record.write(f"client gets no answer to {request}: {type(error).__name__}")
            return None, b"", self.record.now() - sent
        took = self.record.now() - sent
        status = int(start_line.split(" ")[1])
        self.record.write(f"client gets {status} for {request} after {took:.3f} s: {body.decode(errors='replace')}")
        if fields.get("connection", "").lower() == "close":
            self.close()
        return status, body, took


def encode_request(request, kind, deadline_ms, method="GET", body=b""):
    length = f"Content-Length: {len(body)}\r\n" if method != "GET" else ""
    return (f"{method} /api HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {request}\r\nReq-Kind: {kind}\r\n"
            f"Req-Deadline: {deadline_ms}m\r\n{length}\r\n").encode() + body


class Program:
    """A program of the project, in a process group of its own."""

    def __init__(self, record, name, command, environment, log):
        self.record, self.name = record, name
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env={**os.environ, **environment},
                                        stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True)
        record.write(f"{name} is started: {command}")

    def signal(self, number):
        self.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def kill(self):
        if self.process.poll() is None:
            try:
                os.killpg(self.process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
        self.process.wait()


class Stage:
    """The temporary folder and the processes of a case."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="pondlb-review-"))
        self.programs = []
        self.logs = []

    def file(self, name, content):
        path = self.folder / name
        path.write_text(content if isinstance(content, str) else json.dumps(content), encoding="utf-8")
        return path

    def start(self, name, command, environment=None):
        log = open(self.folder / f"{name}.log", "wb")
        self.logs.append(log)
        program = Program(self.record, name, command, environment or {}, log)
        self.programs.append(program)
        return program

    def start_balancer(self, name, configuration):
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        path = self.file(f"{name}.json", configuration)
        scratch = self.folder / f"{name}.tmp"
        scratch.mkdir(exist_ok=True)
        return self.start(name, run, {"RELAY_CONFIG": str(path), "RELAY_NAME": name, "TMPDIR": str(scratch),
                                      "RUST_LOG": os.environ.get("RUST_LOG", "info")})

    def kill_programs(self):
        for program in self.programs:
            program.kill()

    def end(self):
        self.kill_programs()
        for log in self.logs:
            log.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(port, settings, **more):
    return {"name": "n0", "listen": f"127.0.0.1:{port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "settings": settings, **more}


async def wait_ready(record, port, seconds=10.0):
    """Asks `/_health` every 0.1 s, as the front does."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\n\r\n")
            start_line, _, _ = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            if " 200 " in start_line + " ":
                return record.write(f"the balancer at port {port} is ready")
        except (ConnectionError, OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            pass
        await asyncio.sleep(0.1)
    raise CannotRun("the balancer did not become ready")


def preorder_settings():
    """Settings in the form of the wire page, with the figures of the deployment preorder-tw."""
    schemes = [("browse", "idempotent", 2.5, 6.0, 3.0), ("history", "idempotent", 2.0, 6.0, 1.0),
               ("place-order", "at_most_once", 1.5, 4.0, 8.0)]
    return {
        "Balancers": 3, "SelfIndex": 0, "MyZone": 0, "Zones": ["taoyuan", "taichung", "kaohsiung"],
        "MachineTypes": ["fast-1c", "std-1c", "slow-1c"], "Discovery": "ask", "ExcessValue": 0.1, "Realms": [],
        "Extra": {"WarmKeys": False}, "Reporting": {"Fields": ["lat_ms", "rif"], "How": "piggyback"},
        "Limits": {"Cancelling": True, "ConnIdleNs": 15 * SECOND_NS, "DialTimeoutNs": SECOND_NS // 4,
                   "MaxOpen": 20000, "MaxPostings": 3, "MaxRetryAfterNs": 2 * SECOND_NS, "Probing": False,
                   "RetryAfter": True, "SecondCopies": True},
        "Rules": {"AnswerSlackNs": 20_000_000, "ColdShare": 0.31, "DrainGraceNs": SECOND_NS // 2,
                  "FallMultiple": 4.0, "FallNs": 2 * SECOND_NS, "MustAskInNs": 10 * SECOND_NS,
                  "WarmWithinNs": 8_900_000_000},
        "Schemes": [{"Name": name, "Effect": effect, "SlaTimeNs": int(sla * SECOND_NS),
                     "ExpiryNs": int(expiry * SECOND_NS), "KeyTtlNs": 5 * SECOND_NS, "DedupScope": "all",
                     "LateValue": 0.2, "Value": value, "Stream": False}
                    for name, effect, sla, expiry, value in schemes]}


def kumamoto_settings():
    """Settings in the form of the wire page, with the figures of the deployment kumamoto-main."""
    return {
        "Balancers": 3, "SelfIndex": 0, "MyZone": 0, "Zones": ["kumamoto-1"],
        "MachineTypes": ["large", "medium", "small"], "Discovery": "push", "ExcessValue": 0.2,
        "Realms": [{"QuotaRps": 60.0}], "Extra": {"WarmKeys": False},
        "Reporting": {"Fields": ["rif", "q"], "How": "piggyback"},
        "Limits": {"Cancelling": True, "ConnIdleNs": 5 * SECOND_NS, "DialTimeoutNs": SECOND_NS // 4,
                   "MaxOpen": 20000, "MaxPostings": 4, "MaxRetryAfterNs": 2 * SECOND_NS, "Probing": True,
                   "RetryAfter": True, "SecondCopies": False},
        "Rules": {"AnswerSlackNs": 20_000_000, "ColdShare": 0.12, "DrainGraceNs": SECOND_NS // 2,
                  "FallMultiple": 4.0, "FallNs": 3 * SECOND_NS, "MustAskInNs": 10 * SECOND_NS,
                  "WarmWithinNs": 22 * SECOND_NS},
        "Schemes": [
            {"Name": "hold-slot", "Effect": "at_most_once", "SlaTimeNs": 600_000_000, "ExpiryNs": 1_500_000_000,
             "DedupScope": "all", "KeyTtlNs": 5 * SECOND_NS, "LateValue": 0.3, "Value": 3.0, "Stream": False},
            {"Name": "confirm-visit", "Effect": "deduplicated", "SlaTimeNs": SECOND_NS, "ExpiryNs": 2 * SECOND_NS,
             "DedupScope": "cell", "KeyTtlNs": 1_200_000_000, "LateValue": 0.5, "Value": 9.0, "Stream": False}]}


async def play(case, record, stage):
    """Plays the case, and ends the programs before the stand-ins."""
    # Connections that are still open when the loop ends are of no interest.
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
    try:
        return await case(record, stage)
    finally:
        stage.kill_programs()


def main(case, record_path):
    """Runs `case(record, stage)`, which returns True if the rule held."""
    record = Record(record_path)
    stage = Stage(record)

    def interrupted(number, frame):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, interrupted)
    code = 2
    try:
        record.write(f"trouble: {'yes' if TROUBLE else 'no'}")
        held = asyncio.run(asyncio.wait_for(play(case, record, stage), 110))
        code = 0 if held else 10
        record.verdict("HELD" if held else "BROKEN")
    except CannotRun as reason:
        record.verdict(f"could not run: {reason}")
    except BaseException:
        record.verdict("could not run:\n" + traceback.format_exc())
    finally:
        stage.end()
    sys.exit(code)
