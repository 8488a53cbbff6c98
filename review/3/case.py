"""Case 3: a few spoilt answers of stores, in tiny chunks and without an end, stop the gateway for seconds."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import rig  # noqa: E402

RECORD = HERE / "record.txt"  # what was sent, answered and run

CELLS = 8
SPOILT = 0.05 if rig.trouble() else 0.0
CLIENTS = 24
SECONDS = 15.0
DEADLINE_MS = 3000.0
LATE_MS = 500.0 + 50.0  # up to half a second after its time an answer only earns nothing; sockets add 50 ms
MAX_OWN_LAG_MS = 500.0


class Usual:
    """The usual clients: what was answered, and what was answered too late or never."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.done = False
        self.answered = 0
        self.worst_ms = 0.0
        self.lost: list[str] = []
        self.own_lag_ms = 0.0

    async def client(self, gateway: rig.Gateway, number: int) -> None:
        """Send one request after the other, on a new connection where the gateway has ended a resting one."""
        count = 0
        while not self.done:
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            while not self.done:
                name = f"{number:04x}{count:012x}"
                count += 1
                if not await self._ask(reader, writer, name, number % CELLS):
                    break
                await asyncio.sleep(0.05)
            writer.close()

    async def _ask(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, name: str, cell: int
    ) -> bool:
        """Send a request and read its answer; return whether the connection goes on."""
        sent_at = self.record.now_ms
        try:
            writer.write(rig.request_bytes("fetch", name, cell=cell, deadline_ms=int(DEADLINE_MS)))
            self.record.write(f"a client sent {name}")
            answer = await rig.read_message(reader)
        except ConnectionError:
            self.record.write(f"{name} crossed the end of its connection, unread: no break")
            return False
        except EOFError:
            self.record.write(f"{name} has no answer")
            self.lost.append(f"{name} without an answer")
            return False
        took = self.record.now_ms - sent_at
        self.record.write(f"a client got {answer.start} for {name} after {took:.0f} ms")
        self.answered += 1
        self.worst_ms = max(self.worst_ms, took)
        if took > DEADLINE_MS + LATE_MS:
            self.lost.append(f"{name} after {took:.0f} ms")
        return True

    async def watch_own_lag(self) -> None:
        """Measure how late this process itself runs: its lateness must not be taken for the gateway's."""
        while not self.done:
            before = self.record.now_ms
            await asyncio.sleep(0.02)
            self.own_lag_ms = max(self.own_lag_ms, self.record.now_ms - before - 20)


async def record_output(record: rig.Record, output: asyncio.StreamReader) -> None:
    """Take over what the stores say of their work."""
    async for line in output:
        record.write(f"the stores: {line.decode().strip()}")


async def play(record: rig.Record) -> int:
    """Play the case and return its verdict."""
    usual = Usual(record)
    stores = [rig.Store(record, f"s-{cell}", cell) for cell in range(CELLS)]
    parameters = [str(HERE / "stores.py"), str(CELLS), str(SPOILT)]
    process = await asyncio.create_subprocess_exec(
        sys.executable, *parameters, stdout=asyncio.subprocess.PIPE
    )
    gateway: rig.Gateway | None = None
    try:
        assert process.stdout is not None
        ports = (await process.stdout.readline()).split()
        for store, port in zip(stores, ports, strict=True):
            store.address = f"127.0.0.1:{port.decode()}"
        discovery = rig.Discovery(record, stores)
        await discovery.start()
        gateway = rig.Gateway(record, discovery, limits={"cores": 1.0, "memory_mb": 80, "sockets": 512})
        await gateway.start()
        record.write(f"the stores spoil {SPOILT:.0%} of their answers")
        output = asyncio.create_task(record_output(record, process.stdout))
        lag = asyncio.create_task(usual.watch_own_lag())
        clients = [asyncio.create_task(usual.client(gateway, number)) for number in range(CLIENTS)]
        await asyncio.sleep(SECONDS)
        usual.done = True
        await asyncio.wait([lag, *clients], timeout=60)
        output.cancel()
        record.write(f"usual requests answered: {usual.answered}, the slowest after {usual.worst_ms:.0f} ms")
        record.write(f"never answered, or more than {LATE_MS:.0f} ms after their time: {len(usual.lost)}")
        record.write(f"of these: {usual.lost[:12]}")
        record.write(f"this process itself ran at most {usual.own_lag_ms:.0f} ms late")
        if usual.own_lag_ms > MAX_OWN_LAG_MS:
            return rig.NOT_RUN
        return rig.BROKEN if usual.lost else rig.HELD
    finally:
        process.kill()
        await process.wait()
        if gateway is not None:
            await gateway.end()


if __name__ == "__main__":
    rig.play(RECORD, play)
