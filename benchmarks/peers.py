"""Other gateways' places in the fleet, without the gateways: for measuring what the fleet costs one.

python benchmarks/peers.py FOLDER COUNT SEED_PORT   writes FOLDER/peers.ready once all have joined
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

BASE = Path(__file__).resolve().parent.parent / "winchdyke" / "config" / "defaults.conf"


async def run(folder: Path, count: int, seed: int) -> None:
    """Take part until killed."""
    logs.configure("none")
    base = load_file(BASE).config
    async with anyio.create_task_group() as group:
        nodes = []
        for number in range(count):
            gateway = replace(base.gateway, name=f"peer-{number}", index=number + 1, gateways=count + 1)
            fleet = Fleet(
                Listen("127.0.0.1", 0), seeds=(Listen("127.0.0.1", seed),), keys=str(folder / "fleet.keys")
            )
            node = MembershipAgent(
                replace(base, gateway=gateway, fleet=fleet), lambda: time.monotonic() * 1000
            )
            await node.open()
            group.start_soon(node.run)
            nodes.append(node)
        while any(node.view.alive < count + 1 for node in nodes):
            await anyio.sleep(0.1)
        (folder / "peers.ready").touch()
        await anyio.sleep_forever()


if __name__ == "__main__":
    anyio.run(run, Path(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]))
