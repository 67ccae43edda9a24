"""Clients that send blank lines and no request: no other client is accepted any more."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from harness import (BROWSE, HISTORY, PLACE_ORDER, Client, Discovery, Program, Upstream, config, free_port, now,
                     run_case, settings, steady_load)

DESCRIPTORS = 256
BAD_CLIENTS = 200
BLANK_LINE_EVERY_S = 0.1
TROUBLE_BEGINS_S, LOAD_ENDS_S = 3, 15
DEADLINE_MS = 2520  # 0.42 of the 6 s of `browse`
SLACK_S = 0.5


async def send_blank_lines(record, port, number, until):
    """A bad client: an empty line at a time, and never a request line. It reads what it is sent."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except OSError as error:
        return record.note(f"bad{number:03d}", f"no connection: {error}")
    connected_at = now()
    sink = asyncio.create_task(reader.read())
    try:
        while now() < until:
            if sink.done():
                break
            writer.write(b"\r\n")
            await asyncio.sleep(BLANK_LINE_EVERY_S)
        else:
            record.note(f"bad{number:03d}", f"got neither an error nor a close in {now() - connected_at:.1f} s")
            return
        record.note(f"bad{number:03d}", f"was ended {now() - connected_at:.2f} s after connecting")
    finally:
        sink.cancel()
        writer.close()


async def watch_health(record, program, until):
    """Asks for health each second, as the front does; for the record only."""
    while now() < until:
        good = await program.is_ready()
        record.note("front", "health is good" if good else "no good answer on health within 1 s")
        await asyncio.sleep(1)


async def play(record, folder, with_trouble, programs):
    upstreams = [await Upstream(record, f"s{number}", 0.05).start() for number in range(4)]
    discovery = await Discovery(record, [upstream.entry() for upstream in upstreams]).start()
    values = config(free_port(), discovery, settings([BROWSE, HISTORY, PLACE_ORDER]))
    values["limits"]["sockets"] = DESCRIPTORS
    program = Program(record, folder, "n0", values)
    programs.append(program)
    await program.start()
    await program.wait_until_ready()
    begin = now()
    client = Client(record, program.port)
    load = asyncio.create_task(
        steady_load(client, "browse", DEADLINE_MS, 30, begin + LOAD_ENDS_S))
    await asyncio.sleep(TROUBLE_BEGINS_S)
    bad_clients = []
    if with_trouble:
        record.note("case", f"{BAD_CLIENTS} clients connect and send blank lines")
        bad_clients = [asyncio.create_task(send_blank_lines(record, program.port, number, begin + LOAD_ENDS_S))
                       for number in range(BAD_CLIENTS)]
    health = asyncio.create_task(watch_health(record, program, begin + LOAD_ENDS_S))
    await load
    await asyncio.gather(health, *bad_clients)
    counts = Counter(answer.status for answer in client.answers.values())
    record.note("case", f"ends of {len(client.answers)} requests of the usual clients: {dict(counts)}")
    # A connection that is shut unread is excused, one that is left without an answer is not.
    return [f"{request}: taken at {client.sent_at[request]:.2f} s, no answer {SLACK_S} s after its time"
            for request, answer in client.answers.items() if answer.status == "none"]


run_case(Path(__file__).parent, play)
