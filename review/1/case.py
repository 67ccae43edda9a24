"""A client that sends the id of another client's open request and goes takes that request's answer with it."""

import asyncio
import os
import socket
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "standins"))
from harness import (TROUBLE, Client, Discovery, Upstream, configuration, encode_request, free_port, main,
                     preorder_settings, wait_ready)

ORDERS = 40
DEADLINE_MS = 2000
# Up to half a second after its time a request's answer only earns nothing; later, or never, the request is lost.
LOST_AFTER = DEADLINE_MS / 1000 + 0.5
# A bad client that stays and reads what it is sent (STAY=1) does no harm; it shows what the fault depends on.
STAYS = os.environ.get("STAY") == "1"
PLAIN = os.environ.get("PLAIN") == "1"


async def bad_client(record, port, request):
    """Sends the id of another client's open request, and goes."""
    with socket.create_connection(("127.0.0.1", port)) as connection:
        # What it sends and its close leave together, as they do where it sends much at once and goes. With PLAIN=1 they
        # leave one after the other, and the balancer may answer in between.
        flags = 0 if STAYS or PLAIN else socket.MSG_MORE
        connection.sendall(encode_request(request, "place-order", DEADLINE_MS, "POST", b"x"), flags)
        if STAYS:
            reader, writer = await asyncio.open_connection(sock=connection.dup())
            answer = await reader.read(200)
            record.write(f"bad client has sent the id {request} again and got {answer[:30]!r}")
            return writer.close()
    record.write(f"bad client has sent the id {request} again and gone")


async def case(record, stage):
    async def service(request, fields):
        await asyncio.sleep(0.25)
        return "serve"

    upstreams = [Upstream(record, f"s{number}", service) for number in range(9)]
    for upstream in upstreams:
        await upstream.start()
    discovery = Discovery(record, upstreams)
    await discovery.start()
    port = free_port()
    stage.start_balancer("n0", configuration(port, preorder_settings(), discovery=f"127.0.0.1:{discovery.port}",
                                             known=discovery.whole_list()))
    await wait_ready(record, port)
    await asyncio.sleep(1)
    client = Client(record, port)
    lost = []
    for number in range(ORDERS):
        order = f"order-{number}"
        answer = asyncio.create_task(client.ask(order, "place-order", DEADLINE_MS, "POST", b"one whisky"))
        await asyncio.sleep(0.1)
        if TROUBLE:
            await bad_client(record, port, order)
        status, _, took = await answer
        if status is None or took > LOST_AFTER:
            lost.append(order)
    runs = [request for upstream in upstreams for _, request, _ in upstream.runs]
    ran = sum(1 for order in lost if order in runs)
    record.verdict(f"{len(lost)} of {ORDERS} orders of the usual client were lost: their connection was closed without"
                   f" an answer; {ran} of these had been begun by an upstream")
    return not lost


main(case, Path(__file__).resolve().parent / "record.txt")
