"""Stand-ins and tools that the cases 6 to 9 share: upstreams, discovery, clients, a record and the program's process.

Everything listens on free ports of 127.0.0.1 and lives in one event loop. Times in the record are seconds since the
case began, on the monotonic clock.
"""

import asyncio
import json
import os
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
START = time.monotonic()
MAX_SECONDS = 115


class CannotRun(Exception):
    """The case could not be played; says nothing of the program."""


def now():
    return time.monotonic() - START


class Record:
    """What was sent, answered and run, one event a line."""

    def __init__(self, folder):
        self.path = Path(folder) / "record.txt"
        self.file = self.path.open("w")

    def note(self, who, text):
        self.file.write(f"{now():9.4f} {who}: {text}\n")
        self.file.flush()


# ---------------------------------------------------------------- ports and messages


_handed_out = set()


def free_port():
    """A port that is free now and was not handed out before."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _handed_out:
            _handed_out.add(port)
            return port
    raise CannotRun("no free port")


class Message:
    def __init__(self, start, fields, body):
        self.start, self.fields, self.body = start, fields, body

    def field(self, name):
        return self.fields.get(name.lower())


async def read_message(reader, until_close=False):
    """Reads one HTTP message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    try:
        if "content-length" in fields:
            body = await reader.readexactly(int(fields["content-length"]))
        elif until_close:
            body = await reader.read()
        else:
            body = b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], fields, body)


def encode_response(status, body=b"", fields=()):
    head = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *fields]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def encode_request(request_id, kind, deadline_ms, method="GET", body=b""):
    fields = ["Host: backend.local", f"Req-Id: {request_id}", f"Req-Kind: {kind}", f"Req-Deadline: {deadline_ms}m"]
    if method != "GET":
        fields.append(f"Content-Length: {len(body)}")
    return ("\r\n".join([f"{method} /api HTTP/1.1", *fields]) + "\r\n\r\n").encode() + body


# ---------------------------------------------------------------- upstreams


class Attempt:
    """A request that has come whole to an upstream."""

    def __init__(self, request_id, at, told_s):
        self.request_id, self.at, self.told_s = request_id, at, told_s


class Upstream:
    """An upstream of the protocol page: answers 200 with a body made for the request, after its service time."""

    def __init__(self, record, name, service_s, one_core=False):
        self.record, self.name, self.service_s = record, name, service_s
        self.core = asyncio.Lock() if one_core else None
        self.attempts = []
        self.port = free_port()
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=256)
        return self

    def answer_body(self, request_id):
        return f"answer of {self.name} to {request_id}".encode()

    async def serve(self, reader, writer):
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.writers.add(writer)
        try:
            while await self.serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, reader, writer):
        message = await read_message(reader)
        if message is None:
            return False
        request_id = message.field("Req-Id")
        if request_id is None:
            writer.write(encode_response("404 Not Found"))
            return True
        told = message.field("Req-Deadline") or "0u"
        told_s = float(told[:-1]) / (1e6 if told.endswith("u") else 1e3)
        attempt = Attempt(request_id, now(), told_s)
        self.attempts.append(attempt)
        self.record.note(self.name, f"{request_id} has come, told to be awaited for {told_s:.3f} s")
        return await self.answer(message, attempt, writer)

    async def work(self):
        if self.core is None:
            return await asyncio.sleep(self.service_s)
        async with self.core:
            await asyncio.sleep(self.service_s)

    async def answer(self, message, attempt, writer):
        await self.work()
        writer.write(encode_response("200 OK", self.answer_body(attempt.request_id)))
        await writer.drain()
        self.record.note(self.name, f"{attempt.request_id} is answered")
        return True

    def entry(self, state="active", group=1, zone="a", kind="m"):
        return {"uid": self.name, "endpoint": f"127.0.0.1:{self.port}", "az": zone, "model": kind,
                "pod_group": group, "state": state, "capacity_hint": 1.0, "boot_ms": 0}


# ---------------------------------------------------------------- discovery


class Discovery:
    """Discovery of the protocol page. A call waits `wait_s` in its queue before it is worked through."""

    def __init__(self, record, entries, rev=41):
        self.record, self.rev, self.port = record, rev, free_port()
        self.entries = {entry["uid"]: entry for entry in entries}
        self.changed_at = {entry["uid"]: rev for entry in entries}
        self.changed = asyncio.Condition()
        self.wait_s = 0.0
        self.server = None
        self.writers = set()
        self.calls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        return self

    async def stop(self):
        """Goes down: connections are reset, and new ones are refused."""
        self.record.note("discovery", "is down")
        self.server.close()
        for writer in list(self.writers):
            abort(writer)
        await asyncio.sleep(0)

    async def change(self, uid, **values):
        async with self.changed:
            self.rev += 1
            self.entries[uid] = {**self.entries[uid], **values}
            self.changed_at[uid] = self.rev
            self.record.note("discovery", f"rev {self.rev}: {uid} {values}")
            self.changed.notify_all()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                await self.answer(message, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, message, writer):
        self.calls += 1
        number, target = self.calls, message.start.split(" ")[1]
        self.record.note("discovery", f"call {number}: {target}")
        if self.wait_s:
            await asyncio.sleep(self.wait_s)
        path, _, query = target.partition("?")
        values = dict(pair.split("=") for pair in query.split("&") if "=" in pair)
        if "from" in values:
            since = int(values["from"])
            hold_s = min(int(values.get("hold_ms", 0)), 60_000) / 1000
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.rev > since), hold_s)
                except asyncio.TimeoutError:
                    pass
            targets = [entry for uid, entry in self.entries.items() if self.changed_at[uid] > since]
            listing = {"rev": self.rev, "all": False, "targets": targets}
        else:
            targets = [entry for entry in self.entries.values() if entry["state"] != "left"]
            listing = {"rev": self.rev, "all": True, "targets": targets}
        writer.write(encode_response("200 OK", json.dumps(listing).encode()))
        await writer.drain()
        states = {entry["uid"]: entry["state"] for entry in targets}
        self.record.note("discovery", f"call {number} is answered: rev {self.rev} {states}")

    def listing(self):
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}


def abort(writer):
    """Resets a connection, as a process that dies does."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        # Without this the transport would end its sending as if it had sent everything.
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


# ---------------------------------------------------------------- the program


def run_command():
    """The command `run` of the deploy file."""
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return tomllib.load(file)["run"]


class Program:
    """One balancer, started by the command of the deploy file, with the configuration as its file."""

    def __init__(self, record, folder, name, config):
        self.record, self.name, self.config = record, name, config
        self.config_path = Path(folder) / f"{name}.json"
        self.log_path = Path(folder) / f"{name}.log"
        self.process = None
        self.port = int(config["listen"].rsplit(":", 1)[1])

    def write_config(self):
        self.config_path.write_text(json.dumps(self.config))

    async def start(self):
        self.write_config()
        environment = {**os.environ, "RELAY_CONFIG": str(self.config_path)}
        environment.setdefault("RUST_LOG", "info")
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log, start_new_session=True)
        self.record.note(self.name, f"is started, pid {self.process.pid}")
        return self

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
            writer.write(b"GET /_health HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
            message = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return message is not None and message.start.split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False

    async def wait_until_ready(self, within_s=30):
        end = now() + within_s
        while not await self.is_ready():
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            if now() > end:
                raise CannotRun(f"{self.name} is not ready after {within_s} s")
            await asyncio.sleep(0.05)
        self.record.note(self.name, "health is good")

    async def kill(self):
        self.record.note(self.name, "SIGKILL")
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            try:
                os.killpg(self.process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            await self.process.wait()


# ---------------------------------------------------------------- clients


class Answer:
    def __init__(self, status, body, at):
        self.status, self.body, self.at = status, body, at


class Client:
    """A client of the protocol page: one request at a time on a connection, more connections when all are busy."""

    def __init__(self, record, port, name="client"):
        self.record, self.port, self.name = record, port, name
        self.idle = []
        self.answers = {}
        self.sent_at = {}

    async def ask(self, request_id, kind, deadline_ms, method="GET", body=b"", extra_s=0.5):
        """Sends a request and waits for its answer until `extra_s` after its time, then closes."""
        request = encode_request(request_id, kind, deadline_ms, method, body)
        for is_again in (False, True):
            kept = bool(self.idle) and not is_again
            try:
                reader, writer = self.idle.pop() if kept else await asyncio.open_connection("127.0.0.1", self.port)
            except OSError as error:
                self.record.note(self.name, f"{request_id}: no connection: {error}")
                return self.end(request_id, Answer("unreachable", b"", now()))
            writer.write(request)
            self.sent_at[request_id] = now()
            self.record.note(self.name, f"{request_id} is sent: {kind}, {deadline_ms} ms")
            try:
                message = await asyncio.wait_for(read_message(reader), deadline_ms / 1000 + extra_s)
            except asyncio.TimeoutError:
                writer.close()
                return self.end(request_id, Answer("none", b"", now()))
            if message is None:
                writer.close()
                if kept:
                    continue
                return self.end(request_id, Answer("closed", b"", now()))
            if (message.field("Connection") or "").lower() == "close":
                writer.close()
            else:
                self.idle.append((reader, writer))
            return self.end(request_id, Answer(message.start.split(" ")[1], message.body, now()))

    def end(self, request_id, answer):
        self.answers[request_id] = answer
        self.record.note(self.name, f"{request_id} ends: {answer.status} {answer.body[:60].decode('latin-1')!r}")
        return answer

    def close(self):
        for _, writer in self.idle:
            writer.close()
        self.idle.clear()


async def steady_load(client, kind, deadline_ms, rate, until, method="GET", prefix="q"):
    """Sends `rate` requests a second until that time, and waits for their ends."""
    tasks, count, begin = [], 0, now()
    while now() < until:
        count += 1
        tasks.append(asyncio.create_task(client.ask(f"{prefix}{count:05d}", kind, deadline_ms, method)))
        await asyncio.sleep(max(0.0, begin + count / rate - now()))
    await asyncio.gather(*tasks)
    return count


# ---------------------------------------------------------------- a case


def run_case(folder, play):
    """Plays a case: `play(record, temporary_folder, with_trouble, programs)` returns the list of breaks that were
    seen. Ends every process that it started, whatever happens."""
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    programs = []

    async def limited(temporary):
        try:
            return await asyncio.wait_for(play(record, temporary, with_trouble, programs), MAX_SECONDS)
        finally:
            for program in programs:
                await program.end()

    try:
        with tempfile.TemporaryDirectory() as temporary:
            try:
                breaks = asyncio.run(limited(temporary))
            finally:
                for program in programs:
                    if program.log_path.exists():
                        for line in program.log_path.read_text(errors="replace").splitlines()[-400:]:
                            record.file.write(f"log of {program.name}: {line}\n")
    except (CannotRun, OSError, asyncio.TimeoutError) as error:
        record.note("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    for text in breaks:
        record.note("case", f"broken: {text}")
    verdict = f"{len(breaks)} breaks of the rule" if breaks else "the rule held"
    record.note("case", verdict + ("" if with_trouble else " (TROUBLE=0)"))
    for text in breaks[:10]:
        print(text)
    print(verdict)
    sys.exit(BROKEN if breaks else HELD)


def settings(schemes, **changes):
    """Settings of a small deployment; `changes` replace whole sections or their keys."""
    values = {
        "Balancers": 1, "SelfIndex": 0, "MyZone": 0, "Zones": ["a"], "MachineTypes": ["m"], "Discovery": "ask",
        "ExcessValue": 0.1, "Realms": [], "Reporting": {"Fields": [], "How": "silent"},
        "Limits": {"Cancelling": True, "ConnIdleNs": 15_000_000_000, "DialTimeoutNs": 250_000_000, "MaxOpen": 20000,
                   "MaxPostings": 3, "MaxRetryAfterNs": 2_000_000_000, "RetryAfter": True, "SecondCopies": True,
                   "Probing": False},
        "Rules": {"AnswerSlackNs": 20_000_000, "ColdShare": 0.31, "DrainGraceNs": 500_000_000, "FallMultiple": 4.0,
                  "FallNs": 2_000_000_000, "MustAskInNs": 10_000_000_000, "WarmWithinNs": 8_900_000_000},
        "Schemes": schemes,
    }
    for key, value in changes.items():
        values[key] = {**values[key], **value} if isinstance(value, dict) else value
    return values


def config(listen_port, discovery, scheme_settings, known=None, **more):
    return {"name": "n0", "listen": f"127.0.0.1:{listen_port}", "discovery": f"127.0.0.1:{discovery.port}",
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": known or discovery.listing(), "settings": scheme_settings, **more}


BROWSE = {"Name": "browse", "Effect": "idempotent", "SlaTimeNs": 2_500_000_000, "ExpiryNs": 6_000_000_000,
          "LateValue": 0.2, "Value": 3.0}
HISTORY = {"Name": "history", "Effect": "idempotent", "SlaTimeNs": 2_000_000_000, "ExpiryNs": 6_000_000_000,
           "LateValue": 0.3, "Value": 1.0}
PLACE_ORDER = {"Name": "place-order", "Effect": "at_most_once", "SlaTimeNs": 1_500_000_000,
               "ExpiryNs": 4_000_000_000, "LateValue": 0.2, "Value": 8.0}
