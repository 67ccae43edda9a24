"""Discovery takes 2.6 s for each call: the balancer gives each one up, renews its lease and learns of no drain."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))
from harness import (Client, Discovery, Program, Upstream, config, free_port, now, run_case, settings, steady_load)

MARK = {"Name": "mark", "Effect": "at_most_once", "SlaTimeNs": 1_200_000_000, "ExpiryNs": 2_500_000_000,
        "LateValue": 0.5, "Value": 1.0}
RULES = {"ColdShare": 0.12, "DrainGraceNs": 1_000_000_000, "FallMultiple": 2.5, "FallNs": 2_000_000_000,
         "WarmWithinNs": 24_000_000_000}
WAIT_S = 2.6
SLOW_FROM_S, DRAIN_AT_S, LOAD_ENDS_S = 3, 7, 35
DEADLINE_MS = 2000  # 0.8 of the 2.5 s of `mark`
TOLD_AFTER_S, GRACE_S, SOCKET_SLACK_S = 6, 1, 0.05


async def play(record, folder, with_trouble, programs):
    upstreams = [await Upstream(record, f"s{number}", 0.05).start() for number in range(3)]
    discovery = await Discovery(record, [upstream.entry() for upstream in upstreams]).start()
    values = settings([MARK], Limits={"SecondCopies": False, "MaxPostings": 5}, Rules=RULES)
    program = Program(record, folder, "n0", config(free_port(), discovery, values))
    programs.append(program)
    await program.start()
    await program.wait_until_ready()
    begin = now()
    client = Client(record, program.port)
    load = asyncio.create_task(steady_load(client, "mark", DEADLINE_MS, 15, begin + LOAD_ENDS_S, "POST"))
    await asyncio.sleep(SLOW_FROM_S)
    if with_trouble:
        record.note("discovery", f"from now on a call waits {WAIT_S} s before it is worked through")
        discovery.wait_s = WAIT_S
    await asyncio.sleep(begin + DRAIN_AT_S - now())
    drained = upstreams[0]
    changed_at = now()
    await discovery.change(drained.name, state="leaving")
    await load
    counts = Counter(answer.status for answer in client.answers.values())
    record.note("case", f"ends of {len(client.answers)} requests: {dict(counts)}")
    allowed_until = changed_at + TOLD_AFTER_S + GRACE_S + SOCKET_SLACK_S
    return [f"{attempt.request_id}: sent to {drained.name} {attempt.at - changed_at:.2f} s after its drain, "
            f"{attempt.at - allowed_until:.2f} s after the grace"
            for attempt in drained.attempts if attempt.at > allowed_until]


run_case(Path(__file__).parent, play)
