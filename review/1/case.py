"""Case 1: some hundred clients that stop in the middle of a request take the gateway over its memory limit."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import rig  # noqa: E402

RECORD = HERE / "record.txt"  # what was sent, answered and run

MEMORY_MB = 80
SOCKETS = 512
BAD_CLIENTS = 240
HEADER_LINES = 2600  # a head of 15.6 KB, under the 16 KiB that the gateway accepts
BODY_BYTES = 65_000  # under the protocol's 64 KiB
STAY_SECONDS = 6.0
SAMPLE_SECONDS = 0.01


class Case:
    """The parties of the case and what became of the usual clients' requests."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.peak_mb = 0.0
        self.killed = False
        self.done = False
        self.answered = 0
        self.unanswered: list[str] = []

    async def bad_client(self, gateway: rig.Gateway, number: int) -> None:
        """Send a request with a long head, all but the last bytes of its body, and stay."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
            body = b"x" * (BODY_BYTES if rig.trouble() else 212)
            data = rig.request_bytes("submit", f"bad{number:013x}", body, cell=number % 8)
            if rig.trouble():
                head, _, rest = data.partition(b"\r\n\r\n")
                lines = b"".join(b"%c:%c\r\n" % (97 + i % 26, 97 + i // 26 % 26) for i in range(HEADER_LINES))
                data = head + b"\r\n" + lines + b"\r\n" + rest[:-1000]
            writer.write(data)
            self.record.write(f"bad client {number} sent {len(data)} bytes")
            answer = await rig.read_message(reader)
            self.record.write(f"bad client {number} got {answer.start}")
            writer.close()

    async def usual_client(self, gateway: rig.Gateway, number: int) -> None:
        """Send one request after the other on a kept connection."""
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        count = 0
        while not self.done:
            name = f"{number:04x}{count:012x}"
            count += 1
            try:
                writer.write(rig.request_bytes("fetch", name, cell=number))
                answer = await asyncio.wait_for(rig.read_message(reader), 4)
            except (OSError, EOFError, TimeoutError) as error:
                self.unanswered.append(name)
                self.record.write(f"client {number} has no answer to {name}: {error!r}")
                return
            self.answered += 1
            self.record.write(f"client {number} got {answer.start} for {name}")
            await asyncio.sleep(0.03)
        writer.close()

    async def platform(self, gateway: rig.Gateway) -> None:
        """Do what the platform does: kill the gateway once it is over its memory limit."""
        while not self.done and not self.killed:
            self.peak_mb = max(self.peak_mb, gateway.memory_mb())
            if self.peak_mb > MEMORY_MB:
                self.record.write(f"the platform: {self.peak_mb:.1f} MB in use, the limit is {MEMORY_MB} MB")
                gateway.signal(signal.SIGKILL)
                self.killed = True
            await asyncio.sleep(SAMPLE_SECONDS)


async def play(record: rig.Record) -> int:
    """Play the case and return its verdict."""
    case = Case(record)
    stores = [rig.Store(record, f"s-{cell}", cell) for cell in range(8)]
    for store in stores:
        await store.start()
    discovery = rig.Discovery(record, stores)
    await discovery.start()
    limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    gateway = rig.Gateway(record, discovery, limits=limits)
    try:
        await gateway.start()
        record.write(f"memory at the start: {gateway.memory_mb():.1f} MB of {MEMORY_MB} MB")
        tasks = [asyncio.create_task(case.platform(gateway))]
        tasks += [asyncio.create_task(case.usual_client(gateway, number)) for number in range(4)]
        await asyncio.sleep(2)
        tasks += [asyncio.create_task(case.bad_client(gateway, number)) for number in range(BAD_CLIENTS)]
        await asyncio.sleep(STAY_SECONDS)
        case.done = True
        await asyncio.wait(tasks, timeout=5)
        assert gateway.process is not None
        record.write(f"peak of memory: {case.peak_mb:.1f} MB of {MEMORY_MB} MB")
        record.write(f"usual requests answered: {case.answered}, without an answer: {case.unanswered}")
        crashed = case.killed or gateway.process.returncode is not None
        return rig.BROKEN if crashed else rig.HELD
    finally:
        await gateway.end()


if __name__ == "__main__":
    rig.play(RECORD, play)
