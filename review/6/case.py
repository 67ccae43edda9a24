"""A client that sends another client's id again as soon as it is turned away: a once-only request runs twice."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from harness import (BROWSE, HISTORY, PLACE_ORDER, Client, Discovery, Program, Upstream, config, encode_request,
                     free_port, now, read_message, run_case, settings)

SERVICE_S = 0.3
DEADLINE_MS = 4000
ORDERS = 5
COPY_AFTER_S = 0.1
AGAIN_AFTER_S = 0.02
COPIES_FOR_S = 8


async def send_copies(record, port, request_id, until):
    """A bad client: sends the id of another client's open request, and the same again as soon as it is turned away.
    Ends when it is served."""
    tries, last = 0, None
    while now() < until:
        tries += 1
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(encode_request(request_id, "place-order", DEADLINE_MS, "POST", b"a copy"))
            message = await asyncio.wait_for(read_message(reader), 5)
            writer.close()
        except (OSError, asyncio.TimeoutError):
            message = None
        status = message.start.split(" ")[1] if message else "closed"
        if status != last:
            record.note("copier", f"{request_id}, try {tries}: {status}")
        last = status
        if status == "200":
            break
        await asyncio.sleep(AGAIN_AFTER_S)
    record.note("copier", f"{request_id}: {tries} tries")


async def play(record, folder, with_trouble, programs):
    upstreams = [await Upstream(record, f"s{number}", SERVICE_S).start() for number in range(3)]
    discovery = await Discovery(record, [upstream.entry() for upstream in upstreams]).start()
    program = Program(record, folder, "n0",
                      config(free_port(), discovery, settings([BROWSE, HISTORY, PLACE_ORDER])))
    programs.append(program)
    await program.start()
    await program.wait_until_ready()
    client = Client(record, program.port)
    orders, copiers = [], []
    for number in range(ORDERS):
        request_id = f"9b1f03aa5c7e2d4{number}"
        orders.append(asyncio.create_task(client.ask(request_id, "place-order", DEADLINE_MS, "POST", b"an order")))
        await asyncio.sleep(COPY_AFTER_S)
        if with_trouble:
            copiers.append(asyncio.create_task(
                send_copies(record, program.port, request_id, now() + COPIES_FOR_S)))
    await asyncio.gather(*orders)
    await asyncio.gather(*copiers)
    await asyncio.sleep(1)
    breaks = []
    for request_id in client.answers:
        runs = [(upstream.name, attempt.at) for upstream in upstreams for attempt in upstream.attempts
                if attempt.request_id == request_id]
        if len(runs) > 1:
            times = ", ".join(f"{name} at {at:.2f} s" for name, at in sorted(runs, key=lambda run: run[1]))
            breaks.append(f"{request_id}: ran {len(runs)} times: {times}")
    return breaks


run_case(Path(__file__).parent, play)
