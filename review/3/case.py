"""Calls that have waited for 2 s in a crowded discovery's queue fail with 503. The balancers whose calls fail go on
sending to upstreams that have begun to drain."""

import asyncio
import os
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))
from harness import (TROUBLE, CallQueue, Client, Discovery, Upstream, configuration, free_port, main, preorder_settings,
                     wait_ready)

# preorder-tw-later: 91 to 141 balancers, 21 to 31 upstreams; a call costs discovery 16 to 68 lines and those of its list,
# of which discovery sends 440 to 830 a second; a call fails after 2 s.
BALANCERS = 140
STARTED_BALANCERS = 8
UPSTREAMS = 26
CALL_LINES = 60
LINES_PER_SECOND = 450
CALL_TIMEOUT = float(os.environ.get("CALL_TIMEOUT", "2.0"))
# A quarter of the upstreams begin to drain.
DRAINING = 6
# A change counts as told at the latest so long after discovery had it and could be reached.
TOLD_AFTER = 6.0
# The setting DrainGraceNs, and the 50 ms by which time limits are longer on sockets.
GRACE = 0.5 + 0.05
OBSERVED_FOR = 12.0
REQUESTS_PER_SECOND = 8


async def other_balancer(queue, chance):
    """One of the balancers that are not started here: it has lost its watch, and calls until it has the list, with the
    waits between its calls that the program has."""
    await asyncio.sleep(chance.uniform(0.1, 1.5))
    while not await queue.wait():
        await asyncio.sleep(chance.uniform(0.1, 1.5))


async def case(record, stage):
    async def service(request, fields):
        await asyncio.sleep(0.05)
        return "serve"

    upstreams = [Upstream(record, f"s{number}", service) for number in range(UPSTREAMS)]
    for upstream in upstreams:
        await upstream.start()
    queue = CallQueue((CALL_LINES + UPSTREAMS) / LINES_PER_SECOND, CALL_TIMEOUT)
    worker = asyncio.create_task(queue.work())
    discovery = Discovery(record, upstreams, queue)
    await discovery.start()
    ports = []
    for number in range(STARTED_BALANCERS):
        ports.append(free_port())
        settings = {**preorder_settings(), "Balancers": BALANCERS, "SelfIndex": number}
        known = discovery.whole_list()
        stage.start_balancer(f"n{number}", configuration(ports[-1], settings, name=f"n{number}", seed=f"{number + 1:x}",
                                                         discovery=f"127.0.0.1:{discovery.port}", known=known))
    for port in ports:
        await wait_ready(record, port)
    await asyncio.sleep(2)

    is_over = False
    statuses = []

    async def load(name, port):
        client, number = Client(record, port), 0
        while not is_over:
            status, _, _ = await client.ask(f"{name}-{number}", "browse", 2500)
            statuses.append(status)
            number += 1
            await asyncio.sleep(1 / REQUESTS_PER_SECOND)

    traffic = [asyncio.create_task(load(f"n{number}", port)) for number, port in enumerate(ports)]
    await asyncio.sleep(3.4)
    others, chance = [], random.Random(7)
    if TROUBLE:
        discovery.reset_watches()
        others = [asyncio.create_task(other_balancer(queue, chance)) for _ in range(BALANCERS - STARTED_BALANCERS)]
    await asyncio.sleep(0.5)
    draining = upstreams[:DRAINING]
    discovery.set_state(draining, "leaving")
    changed = record.now()
    served_before, failed_before = queue.served, queue.failed
    await asyncio.sleep(TOLD_AFTER + GRACE)
    served, failed = queue.served - served_before, queue.failed - failed_before
    record.write(f"since the change discovery has answered {served} first calls, and {failed} have waited too long")
    await asyncio.sleep(OBSERVED_FOR)
    is_over = True
    await asyncio.gather(*traffic)
    for task in [worker, *others]:
        task.cancel()

    late = {}
    for upstream in draining:
        for begun, request, _ in upstream.runs:
            if begun > changed + TOLD_AFTER + GRACE:
                late.setdefault(request.split("-")[0], []).append((begun - changed, request, upstream.name))
    for name, sent in sorted(late.items()):
        first, last = min(sent), max(sent)
        record.verdict(f"{name} has sent {len(sent)} requests too late to upstreams that drain: from {first[1]} to"
                       f" {first[2]}, {first[0]:.2f} s after the change, to {last[1]} to {last[2]}, {last[0]:.2f} s after")
    record.verdict(f"{len(late)} of {STARTED_BALANCERS} balancers sent to draining upstreams more than"
                   f" {TOLD_AFTER + GRACE:.2f} s after the change. Until then discovery answered {served} first calls with"
                   f" it, and {failed} had waited too long. {statuses.count(200)} of {len(statuses)} requests were served")
    return not late


main(case, Path(__file__).resolve().parent / "record.txt")
