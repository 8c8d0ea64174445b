"""A server is added; the store is away for a second and comes back from a copy that is 8 s old; then
a server drains."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))
from harness import BOUNDS, TROUBLE, Server, config, lost_at_exit, play, route

KEY = "k" * 20
COPY_AGE_S, AWAY_S = 8.0, 1.0
CONTACT_S = BOUNDS["contactMs"] / 1000
DRAIN_S = BOUNDS["drainMs"] / 1000
# How long the leaving server goes on after the drain time.
LITTLE_LONGER_S = 4.0


async def case(world):
    record, store = world.record, world.store
    zones = ("salish-a", "salish-b", "salish-c")
    world.servers = [Server(record, store, "ledger", f"i-{number}", zone)
                     for number, zone in enumerate(zones, 1)]
    routes = [route("purchase", "non_idempotent", "ledger")]
    in_force = config(4, routes, ["ledger"], {"member": [KEY]})
    await world.start(3, in_force)
    await asyncio.sleep(3.0)
    loads = [asyncio.create_task(world.clients.load(
        gateway, "POST", "/purchase/x", KEY, 0.1, 60, body=b"pack")) for gateway in world.gateways]
    saved = store.copy()
    await asyncio.sleep(COPY_AGE_S - 1.0)
    added = Server(record, store, "ledger", "i-4", "salish-a")
    await added.start(world.next_ip())
    added.register()
    world.servers.append(added)
    record.write(f"{added.instance} is added, revision {store.revision}")
    await asyncio.sleep(1.0)
    before = store.revision
    if TROUBLE:
        record.write(f"the store goes away at revision {before}")
        await store.restore(saved, AWAY_S)
        # What the operator and the servers wrote is written again.
        store.put("config", "main", in_force)
        for server in world.servers:
            server.register()
        record.write(f"the store is back at revision {store.revision}, era {store.era}")
    await asyncio.sleep(CONTACT_S + 0.5)

    leaving = world.servers[0]
    leaving.state = "draining"
    acknowledged = leaving.register()
    record.write(f"the store acknowledges that {leaving.instance} is draining, revision "
                 f"{store.revision}")
    await asyncio.sleep(DRAIN_S + LITTLE_LONGER_S)
    record.write(f"{leaving.instance} exits")
    leaving.exit()
    await asyncio.sleep(1.0)
    for load in loads:
        load.cancel()
    await asyncio.gather(*loads, return_exceptions=True)

    ran, lost = lost_at_exit(world, leaving, acknowledged + DRAIN_S)
    record.write(f"{ran} bookings ran at {leaving.instance} after the drain time, {lost} of them "
                 "without a success for the client")
    late = [(request, at) for request, at in leaving.arrived if at > acknowledged + DRAIN_S]
    return [f"{request} reaches {leaving.instance} {at - acknowledged:.3f} s after the store "
            "acknowledged that it is draining" for request, at in late]


play(__file__, case)
