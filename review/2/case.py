"""A keyed request is retried in another pod, when its upstream is replaced in the list before its connection breaks."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))
from harness import (TROUBLE, CannotRun, Client, Upstream, configuration, free_port, kumamoto_settings, main,
                     read_message, wait_ready)

# Two of six upstreams are replaced, and each of these crashes so long after it was taken off the list.
REPLACED = 2
CRASHES_AFTER = 0.1
# REPLACE=0 leaves the upstreams that crash in the list; it shows what the fault depends on.
REPLACES = os.environ.get("REPLACE") != "0"
# A client process that carries much of the traffic: 17 to 23 hundredths of 170 requests a second.
REQUESTS_PER_SECOND = 35
DEADLINE_MS = 2000
SERVICE_TIME = 0.2


async def commit(record, port, changes):
    """Commits changes at the origin, as an operator does."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = json.dumps({"changes": changes}).encode()
    writer.write(b"POST /control/commit HTTP/1.1\r\nHost: control\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
                 % len(body) + body)
    start_line, _, answer = await asyncio.wait_for(read_message(reader), 5)
    writer.close()
    record.write(f"operator commits {body.decode()}: {start_line} {answer.decode()}")
    if " 200 " not in start_line:
        raise CannotRun("the origin has not taken the commit")


async def busy_upstream(record, upstreams):
    """Waits for an upstream of pod 1 that has just begun a request."""
    for _ in range(5000):
        for upstream in upstreams:
            if upstream.pod == 1 and upstream.state == "active" and upstream.runs \
                    and record.now() - upstream.runs[-1][0] < 0.02:
                return upstream
        await asyncio.sleep(0.002)
    raise CannotRun("no upstream of pod 1 gets a request")


async def replace(record, commit_port, old, new):
    """Replaces an upstream by a new one of its pod. The old one crashes while it still works on its last requests."""
    old.state = "left"
    if REPLACES:
        new.boot_ms = int(time.time() * 1000)
        await commit(record, commit_port, [{"key": f"upstream/{old.name}", "value": None},
                                           {"key": f"upstream/{new.name}", "value": new.entry()}])
    await asyncio.sleep(CRASHES_AFTER)
    old.crash()


async def case(record, stage):
    async def service(request, fields):
        await asyncio.sleep(SERVICE_TIME)
        return "serve"

    # Two pods of three; further ones replace those of pod 1.
    upstreams = [Upstream(record, f"s{number}", service, pod=number // 3, zone="kumamoto-1", kind="medium")
                 for number in range(6)]
    replacements = [Upstream(record, f"s{6 + number}", service, pod=1, zone="kumamoto-1", kind="medium")
                    for number in range(REPLACED)]
    for upstream in upstreams + replacements:
        await upstream.start()
    port, listen_port, commit_port = free_port(), free_port(), free_port()
    stage.file("records.json", {"changes": [{"key": f"upstream/{upstream.name}", "value": upstream.entry()}
                                            for upstream in upstreams]})
    options = stage.file("origin.toml", f'name = "origin"\nlisten = "127.0.0.1:{listen_port}"\n'
                                        f'commit = "127.0.0.1:{commit_port}"\ninitial = "records.json"\n')
    stage.start("origin", f"exec target/release/pondlb-control-server {options}")
    stage.start_balancer("n0", configuration(port, kumamoto_settings(),
                                             control={"servers": [f"127.0.0.1:{listen_port}"]}))
    await wait_ready(record, port)
    await asyncio.sleep(1)

    idle_clients, answers, is_over = [], [], False

    async def ask(name):
        client = idle_clients.pop() if idle_clients else Client(record, port)
        status, _, _ = await client.ask(name, "confirm-visit", DEADLINE_MS, "POST", b"visit 7")
        idle_clients.append(client)
        return status

    async def load():
        number = 0
        while not is_over:
            answers.append(asyncio.create_task(ask(f"visit-{number}")))
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    traffic = asyncio.create_task(load())
    # Time for the balancer to learn how long answers take.
    await asyncio.sleep(8)
    for new in replacements:
        if TROUBLE:
            await replace(record, commit_port, await busy_upstream(record, upstreams), new)
        await asyncio.sleep(4)
    is_over = True
    await traffic
    statuses = await asyncio.gather(*answers)

    attempts = {}
    for upstream in upstreams + replacements:
        for begun, request, _ in upstream.runs:
            attempts.setdefault(request, []).append((begun, upstream))
    broken, repeated = 0, 0
    for request, of_request in sorted(attempts.items()):
        of_request.sort(key=lambda attempt: attempt[0])
        repeated += len(of_request) > 1
        # Each upstream that begins a request runs it, so that the first of these has run it.
        if len({upstream.pod for _, upstream in of_request}) > 1:
            broken += 1
            places = ", then ".join(f"{upstream.name} of pod {upstream.pod} at {begun:.3f}"
                                    for begun, upstream in of_request)
            record.verdict(f"{request} has run in two pods: {places}")
    record.verdict(f"of {len(statuses)} requests {statuses.count(200)} were served and {repeated} were sent again;"
                   f" {broken} of these outside the pod that drops their repeats, so that they took effect twice")
    return broken == 0


main(case, Path(__file__).resolve().parent / "record.txt")
