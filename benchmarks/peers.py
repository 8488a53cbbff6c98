"""Runs only the membership agents of many gateways, to measure the cost of membership for one real gateway.

python benchmarks/peers.py FOLDER COUNT SEED_PORT   writes FOLDER/peers.ready once all agents have joined
"""

from __future__ import annotations

import sys
import time
from dataclasses import replace
from pathlib import Path

import anyio

from winchdyke.config.loading import load_file
from winchdyke.config.model import Fleet, Listen
from winchdyke.gateway import logs
from winchdyke.membership.agent import MembershipAgent

DEFAULTS_FILE = Path(__file__).resolve().parent.parent / "winchdyke" / "config" / "defaults.conf"


async def run(folder: Path, count: int, seed_port: int) -> None:
    """Runs the agents until killed."""
    logs.configure("none")
    base = load_file(DEFAULTS_FILE).config
    async with anyio.create_task_group() as group:
        agents = []
        for number in range(count):
            gateway = replace(base.gateway, name=f"peer-{number}", index=number + 1, gateways=count + 1)
            fleet = Fleet(
                Listen("127.0.0.1", 0),
                seeds=(Listen("127.0.0.1", seed_port),),
                keys=str(folder / "fleet.keys"),
            )
            agent = MembershipAgent(
                replace(base, gateway=gateway, fleet=fleet), lambda: time.monotonic() * 1000
            )
            await agent.open()
            group.start_soon(agent.run)
            agents.append(agent)
        while any(agent.view.active_count < count + 1 for agent in agents):
            await anyio.sleep(0.1)
        (folder / "peers.ready").touch()
        await anyio.sleep_forever()


if __name__ == "__main__":
    anyio.run(run, Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))
