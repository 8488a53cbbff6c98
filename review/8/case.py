"""A gateway is killed with acknowledged writes in its log; the objects are written anew elsewhere before it is back."""

from __future__ import annotations

import asyncio
from pathlib import Path

import anyio
import common
from objects import Deployment

RECORD = Path(__file__).resolve().parent / "record.txt"  # what was sent, answered and run
VOLUME = "school-1"
SHARD = 2
WRITES = 8
DOWN_SECONDS = 5.0
SETTLE_SECONDS = 8.0


async def write(fleet: Deployment, name: str, keys: list[str], which: str) -> dict[str, bytes]:
    """Write all objects at a gateway; each write has to be acknowledged."""
    bodies = {key: f"{which} try of {key}".encode() for key in keys}
    for key, body in bodies.items():
        answer = await fleet.put(name, VOLUME, key, body, Idempotency_Key=f"{which}-{key}")
        if answer.status not in (200, 201):
            raise common.CouldNotRunError(f"the {which} write of {key} was answered {answer.status}")
    return bodies


async def check(fleet: Deployment, bodies: dict[str, bytes]) -> list[str]:
    """Return the objects that do not hold what was acknowledged last."""
    wrong = []
    for key, body in bodies.items():
        answer = await fleet.get("gw-b", VOLUME, key)
        if answer.status not in (200, 404):
            raise common.CouldNotRunError(f"{key} can't be read: {answer.status}")
        if answer.body != body:
            wrong.append(f"{VOLUME}/{key} is {answer.body.decode(errors='replace')!r}")
    return wrong


async def play(case: common.Case) -> None:
    """Play the case."""
    async with anyio.create_task_group() as group:
        fleet = Deployment(case, group, gateways=3)
        await fleet.start()
        for index, name in enumerate(("gw-a", "gw-b", "gw-c")):
            await fleet.start_gateway(name, index)
        keys = fleet.keys_on(VOLUME, SHARD, WRITES, "work")
        await write(fleet, "gw-a", keys, "first")
        if case.trouble:
            await case.kill("gw-a", fleet.processes["gw-a"])
        await asyncio.sleep(DOWN_SECONDS / 2)
        second = await write(fleet, "gw-b", keys, "second")
        await asyncio.sleep(DOWN_SECONDS / 2)
        if wrong := await check(fleet, second):
            raise common.CouldNotRunError(f"the second writes are not there before the restart: {wrong[0]}")
        if case.trouble:
            await fleet.start_gateway("gw-a", 0)
        await asyncio.sleep(SETTLE_SECONDS)
        for text in await check(fleet, second):
            case.broken(f"{text}, and not what was acknowledged last")
        group.cancel_scope.cancel()


common.run(RECORD, play)
