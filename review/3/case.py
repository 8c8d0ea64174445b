"""A gateway is suspended at the end of a usage window; the platform's API goes silent as it has
carried out the report of that window."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import BOUNDS, TROUBLE, Server, config, play, route

KEY = "k" * 20
WINDOW_S = BOUNDS["usageWindowS"]
# How long the API is silent.
SILENT_S = 5.0
# The leader reports a window at the same time after its end each time, up to this. The suspended
# gateway goes on so long before that.
LONGEST_DELAY_S = 3.2
BEFORE_REPORT_S = 0.12
TRIALS = 5


def different_counts(accepted):
    """Returns the windows that the platform accepted with different counts."""
    first = {}
    faults = []
    for window, counts, token in accepted:
        known = first.setdefault(window, counts)
        if known != counts:
            faults.append(f"usage window {window} is accepted as {json.dumps(known)} and as "
                          f"{json.dumps(counts)} with token {token}")
    return faults


async def case(world):
    record, cloud = world.record, world.cloud
    zones = ("salish-a", "salish-b", "salish-c")
    world.servers = [Server(record, world.store, "ledger", f"i-{number}", zone, slots=20)
                     for number, zone in enumerate(zones, 1)]
    owner = {}
    # The time from the end of each window to its first report.
    delays = {}
    trouble = {"window": None, "silent_until": 0.0}

    def decide(path, headers, document):
        owner["name"] = headers["duty-owner"]
        number = document["windowId"]
        delays.setdefault(number, time.time() - (number + 1) * WINDOW_S)
        if record.now() < trouble["silent_until"]:
            return "silent"
        if number == trouble["window"]:
            trouble["window"] = None
            trouble["silent_until"] = record.now() + SILENT_S
            return "lose"
        return "answer"

    cloud.decide = decide
    routes = [route("purchase", "non_idempotent", "ledger")]
    await world.start(3, config(1, routes, ["ledger"], {"member": [KEY]}))
    end = record.now() + 100
    loads = [asyncio.create_task(world.clients.load(
        gateway, "POST", "/purchase/x", KEY, 0.03, end, body=b"pack")) for gateway in world.gateways]
    await asyncio.sleep(9.0)

    for _ in range(TRIALS):
        window = int(time.time() // WINDOW_S) + 1
        window_end = (window + 1) * WINDOW_S
        await asyncio.sleep(window_end - time.time() - 0.015)
        others = [gateway for gateway in world.gateways
                  if not owner["name"].startswith(gateway.name + ".")]
        if TROUBLE:
            others[0].signal(signal.SIGSTOP)
            trouble["window"] = window
        delay = min(delays[max(delays)], LONGEST_DELAY_S)
        await asyncio.sleep(max(0, window_end + delay - BEFORE_REPORT_S - time.time()))
        if TROUBLE:
            others[0].signal(signal.SIGCONT)
        await asyncio.sleep(max(0, window_end + BOUNDS["usageDelayS"] + 0.5 - time.time()))
        if different_counts(cloud.accepted):
            break
    for load in loads:
        load.cancel()
    await asyncio.gather(*loads, return_exceptions=True)
    return different_counts(cloud.accepted)


play(__file__, case)
