"""Case 3: the gateway begins work for clients that sent much at once and have closed their connection."""

from __future__ import annotations

import asyncio
import socket
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import rig  # noqa: E402

WRITES = 400 if rig.trouble() else 0
BODY_BYTES = 16_000
GRACE_MS = 100.0 + 50.0  # an attempt may begin 0.1 s after the close; every limit on sockets is 50 ms longer
CELLS = 8
USUAL_CLIENTS = 8  # for each store: some in work, the others waiting for their turn
WORK_MS = 150.0  # the mean work of the class `export`
BAD_AFTER_SECONDS = 0.05


def send_much_and_go(record: rig.Record, port: int, cell: int) -> float:
    """Send some hundred requests at once and close; return when the close was called."""
    with socket.create_connection(("127.0.0.1", port)) as sock:
        body = b"x" * BODY_BYTES
        names = [f"bad{cell:05x}{i:08x}" for i in range(1 + WRITES)]
        data = rig.request_bytes("export", names[0], cell=cell)
        data += b"".join(rig.request_bytes("submit", name, body, cell=cell) for name in names[1:])
        sock.sendall(data)
        closed_at = record.now_ms
    record.write(
        f"the bad client of store {cell} has sent {len(names)} requests, {len(data)} bytes, and closed"
    )
    return closed_at


async def usual_client(record: rig.Record, gateway: rig.Gateway, cell: int, number: int) -> None:
    """Send one request and read its answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
    name = f"{cell:04x}{number:012x}"
    writer.write(rig.request_bytes("export", name, cell=cell))
    answer = await asyncio.wait_for(rig.read_message(reader), 6)
    record.write(f"client {number} of store {cell} got {answer.start} for {name}")
    writer.close()


async def play(record: rig.Record) -> int:
    """Play the case and return its verdict."""
    stores = [rig.Store(record, f"s-{cell}", cell, WORK_MS) for cell in range(CELLS)]
    for store in stores:
        await store.start()
    discovery = rig.Discovery(record, stores)
    await discovery.start()
    gateway = rig.Gateway(record, discovery)
    late: list[str] = []
    try:
        await gateway.start()
        for cell, store in enumerate(stores):
            usual = [usual_client(record, gateway, cell, number) for number in range(USUAL_CLIENTS)]
            tasks = [asyncio.create_task(each) for each in usual]
            await asyncio.sleep(BAD_AFTER_SECONDS)
            closed_at = await asyncio.to_thread(send_much_and_go, record, gateway.port, cell)
            await asyncio.wait(tasks, timeout=8)
            await asyncio.sleep(1)
            for name, at in store.runs:
                if name.startswith("bad") and at - closed_at > GRACE_MS:
                    late.append(
                        f"{name} came to {store.name} {at - closed_at:.0f} ms after its client's close"
                    )
        record.write(
            f"attempts that began later than {GRACE_MS:.0f} ms after the client's close: {len(late)}"
        )
        for text in late:
            record.write(text)
        return rig.BROKEN if late else rig.HELD
    finally:
        await gateway.end()


if __name__ == "__main__":
    rig.play(HERE, play)
