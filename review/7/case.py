"""Two gateways acknowledge writes while a store is down, and both send them when it is back."""

from __future__ import annotations

import asyncio
from pathlib import Path

import anyio
import common
from objects import MIDLANDS, Deployment

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
VOLUME = "school-1"
SHARD = 2
WRITES = 6  # at each of two gateways
DOWN_SECONDS = 10.0  # the page: 5.8 to 24 s
APART_SECONDS = 7.0  # longer than the 5 s for which a store drops repeats
SETTLE_SECONDS = 20.0


async def write_at_both(case: common.Case, fleet: Deployment) -> dict[str, bytes]:
    """Write at one gateway, and some seconds later at another; return what was acknowledged."""
    began = case.seconds
    acknowledged: dict[str, bytes] = {}
    for name, at in (("gw-a", 1.0), ("gw-b", 1.0 + APART_SECONDS)):
        await asyncio.sleep(max(0.0, began + at - case.seconds))
        for key in fleet.keys_on(VOLUME, SHARD, WRITES, f"work-{name}"):
            body = f"handed in as {key}".encode()
            answer = await fleet.put(name, VOLUME, key, body)
            if answer.status in (200, 201):
                acknowledged[key] = body
    if len(acknowledged) != 2 * WRITES:
        raise common.CouldNotRunError(f"only {len(acknowledged)} writes were acknowledged")
    await asyncio.sleep(max(0.0, began + DOWN_SECONDS - case.seconds))
    return acknowledged


async def check(case: common.Case, fleet: Deployment, acknowledged: dict[str, bytes]) -> None:
    """Read every acknowledged object at both gateways."""
    for key, body in acknowledged.items():
        for name in ("gw-a", "gw-b"):
            answer = await fleet.get(name, VOLUME, key)
            if answer.status not in (200, 404):
                raise common.CouldNotRunError(f"{key} can't be read at {name}: {answer.status}")
            if answer.status != 200 or answer.body != body:
                case.broken(f"{VOLUME}/{key} was acknowledged, and {name} answers {answer.status} for it")


async def play(case: common.Case) -> None:
    """Play the case."""
    async with anyio.create_task_group() as group:
        fleet = Deployment(case, group, gateways=3, site=MIDLANDS)
        await fleet.start()
        for index, name in enumerate(("gw-a", "gw-b", "gw-c")):
            await fleet.start_gateway(name, index)
        store = fleet.stores[SHARD]
        if case.trouble:
            store.kill()
        acknowledged = await write_at_both(case, fleet)
        if case.trouble:
            await store.start(group, cold=True)
        # Time for the gateways to send what they hold; it ends early once the store has all of it.
        end = case.seconds + SETTLE_SECONDS
        while case.seconds < end and not all(
            (VOLUME, key) in store.object_store.objects for key in acknowledged
        ):
            await asyncio.sleep(0.1)
        await check(case, fleet, acknowledged)
        group.cancel_scope.cancel()


common.run(RECORD, play)
