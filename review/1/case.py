"""The store is silent for 4.5 s; afterwards a key is revoked."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import BOUNDS, TROUBLE, Server, config, play, route

KEPT, REVOKED = "k" * 20, "r" * 20
# When the silence begins, from the readiness of the gateways, and how long it lasts.
SILENT_AT_S, SILENT_S = 28.0, 4.5
CONTACT_S = BOUNDS["contactMs"] / 1000
APPLY_S = BOUNDS["configApplyMs"] / 1000


async def case(world):
    record, store = world.record, world.store
    zones = ("salish-a", "salish-b", "salish-c")
    world.servers = [Server(record, store, "ledger", f"i-{number}", zone)
                     for number, zone in enumerate(zones, 1)]
    routes = [route("purchase", "non_idempotent", "ledger")]
    await world.start(3, config(4, routes, ["ledger"], {"member": [KEPT, REVOKED]}))
    began = record.now()
    loads = [asyncio.create_task(world.clients.load(
        gateway, "POST", "/purchase/x", key, 0.2, 60, body=b"pack"))
        for gateway in world.gateways for key in (KEPT, REVOKED)]

    await world.until(began + SILENT_AT_S)
    store.silent = TROUBLE
    record.write("the store is silent" if TROUBLE else "no disruption")
    await asyncio.sleep(SILENT_S)
    store.silent = False
    record.write("the store answers")
    await asyncio.sleep(CONTACT_S + 1.0)

    acknowledged = store.put("config", "main",
                             config(7, routes, ["ledger"], {"member": [KEPT]}))
    record.write("the store acknowledges configuration 7, which revokes a key")
    await asyncio.sleep(APPLY_S + 4.0)
    for load in loads:
        load.cancel()
    await asyncio.gather(*loads, return_exceptions=True)

    ran = {request: server.instance for server in world.servers for request, _ in server.ran}
    return [f"{request}, sent {entry['at'] - acknowledged:.3f} s after the acknowledgement to "
            f"{entry['gateway']}, runs at {ran[request]} with a revoked key"
            for request, entry in world.clients.sent.items()
            if entry["key"] == REVOKED and entry["at"] > acknowledged + APPLY_S and request in ran]


play(__file__, case)
