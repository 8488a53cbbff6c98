"""Case 2: some hundred clients that send large bodies in tiny chunks stop the gateway for many seconds."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import rig  # noqa: E402

RECORD = HERE / "record.txt"  # what was sent, answered and run

BAD_CLIENTS = 300
CHUNK_BYTES = 1 if rig.trouble() else 16_000
BAD_SECONDS = 70
USUAL_CLIENTS = 4
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
        self.longest_busy_s = 0.0

    async def client(self, gateway: rig.Gateway, number: int) -> None:
        """Send one request after the other on a kept connection."""
        count = 0
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        while not self.done:
            name = f"{number:04x}{count:012x}"
            count += 1
            sent_at = self.record.now_ms
            writer.write(rig.request_bytes("fetch", name, cell=number, deadline_ms=int(DEADLINE_MS)))
            self.record.write(f"client {number} sent {name}")
            try:
                answer = await rig.read_message(reader)
            except (OSError, EOFError) as error:
                self.record.write(f"client {number} has no answer to {name}: {error!r}")
                self.lost.append(name)
                return
            took = self.record.now_ms - sent_at
            self.record.write(f"client {number} got {answer.start} for {name} after {took:.0f} ms")
            self.answered += 1
            self.worst_ms = max(self.worst_ms, took)
            if took > DEADLINE_MS + LATE_MS:
                self.lost.append(f"{name} after {took:.0f} ms")
            await asyncio.sleep(0.03)
        writer.close()

    async def watch_own_lag(self) -> None:
        """Measure how late this process itself runs: its lateness must not be taken for the gateway's."""
        while not self.done:
            before = self.record.now_ms
            await asyncio.sleep(0.02)
            self.own_lag_ms = max(self.own_lag_ms, self.record.now_ms - before - 20)

    async def platform(self, gateway: rig.Gateway) -> None:
        """Look how long the gateway's one thread goes on without ever sleeping, for the record alone."""
        waits, since_ms = gateway.waits(), self.record.now_ms
        while not self.done:
            await asyncio.sleep(0.05)
            if (now_waits := gateway.waits()) != waits:
                waits, since_ms = now_waits, self.record.now_ms
            self.longest_busy_s = max(self.longest_busy_s, (self.record.now_ms - since_ms) / 1000)


async def play(record: rig.Record) -> int:
    """Play the case and return its verdict."""
    usual = Usual(record)
    stores = [rig.Store(record, f"s-{cell}", cell) for cell in range(8)]
    for store in stores:
        await store.start()
    discovery = rig.Discovery(record, stores)
    await discovery.start()
    gateway = rig.Gateway(record, discovery, limits={"cores": 1.0, "memory_mb": 80, "sockets": 512})
    bad: asyncio.subprocess.Process | None = None
    try:
        await gateway.start()
        tasks = [asyncio.create_task(usual.watch_own_lag()), asyncio.create_task(usual.platform(gateway))]
        tasks += [asyncio.create_task(usual.client(gateway, number)) for number in range(USUAL_CLIENTS)]
        await asyncio.sleep(2)
        record.write(f"{BAD_CLIENTS} bad clients begin, bodies in chunks of {CHUNK_BYTES} bytes")
        parameters = [str(value) for value in (gateway.port, BAD_CLIENTS, CHUNK_BYTES, BAD_SECONDS)]
        bad = await asyncio.create_subprocess_exec(
            sys.executable, str(HERE / "bad_clients.py"), *parameters, stdout=asyncio.subprocess.PIPE
        )
        out, _ = await bad.communicate()
        record.write(f"the bad clients have ended: {out.decode().strip()}")
        await asyncio.sleep(1)
        usual.done = True
        await asyncio.wait(tasks, timeout=40)
        record.write(f"usual requests answered: {usual.answered}, the slowest after {usual.worst_ms:.0f} ms")
        record.write(f"never answered, or more than {LATE_MS:.0f} ms after their time: {usual.lost}")
        record.write(f"longest time in which the gateway did not sleep: {usual.longest_busy_s:.1f} s")
        record.write(f"this process itself ran at most {usual.own_lag_ms:.0f} ms late")
        if usual.own_lag_ms > MAX_OWN_LAG_MS:
            return rig.NOT_RUN
        return rig.BROKEN if usual.lost else rig.HELD
    finally:
        if bad is not None and bad.returncode is None:
            bad.kill()
            await bad.wait()
        await gateway.end()


if __name__ == "__main__":
    rig.play(RECORD, play)
