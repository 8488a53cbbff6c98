"""Links between gateways: a relay with one address for each ordered pair, that loses, delays, copies and cuts by a script.

Gateway A reaches B at the address of the link A to B, over UDP and TCP alike (one port), and nowhere else. Every fault is drawn
from the seed of its own link. What passed and what did not is counted by link; faults that are set are written to the record.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections import Counter
from collections.abc import Callable

import msgspec

from winchdyke.standins.record import Record

MOST = 65_536
STREAM_CHUNK = 65_536


class Fault(msgspec.Struct, frozen=True):
    """What one link does. Shares are of datagrams; times in ms. ``tail``: the share that takes 50 times as long."""

    cut: bool = False
    loss: float = 0.0
    burst: float = 1.0  # mean number of datagrams that are lost in a row
    copies: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    tail: float = 0.0
    datagrams: bool = True
    streams: bool = True
    large: int = 0  # datagrams longer than this are lost; 0: none


WHOLE = Fault()


class Link:
    """From one gateway to another."""

    def __init__(self, links: Links, sender: str, to: str) -> None:
        self.links, self.sender, self.to, self.fault = links, sender, to, WHOLE
        self.draw = random.Random(f"{links.seed}/{sender}/{to}")
        self.counts: Counter[str] = Counter()
        self._losing = False
        self.port = 0
        self._udp: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._streams: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Take one port for both."""
        for _ in range(50):
            self._server = await asyncio.start_server(self._stream, "127.0.0.1", 0)
            self.port = self._server.sockets[0].getsockname()[1]
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.setblocking(False)
            try:
                udp.bind(("127.0.0.1", self.port))
            except OSError:  # somebody else's: another port
                udp.close()
                self._server.close()
                continue
            self._udp = udp
            asyncio.get_running_loop().add_reader(udp.fileno(), self._readable)
            return
        raise OSError("no port is free for both UDP and TCP")

    def close(self) -> None:
        """Let go of everything."""
        if self._udp is not None:
            asyncio.get_running_loop().remove_reader(self._udp.fileno())
            self._udp.close()
            self._udp = None
        if self._server is not None:
            self._server.close()
        for task in list(self._streams):
            task.cancel()

    def _lost(self, size: int) -> str:
        fault = self.fault
        if fault.cut or not fault.datagrams:
            return "cut"
        if fault.large and size > fault.large:
            return "large"
        if fault.loss:
            # Two states (Gilbert): runs of ``burst`` lost ones in the mean, the share in all as stated.
            if self._losing:
                self._losing = self.draw.random() >= 1 / fault.burst
            else:
                self._losing = self.draw.random() < fault.loss / (1 - min(0.99, fault.loss)) / fault.burst
            if self._losing:
                return "lost"
        return ""

    def _readable(self) -> None:
        assert self._udp is not None
        loop = asyncio.get_running_loop()
        for _ in range(64):
            try:
                data = self._udp.recv(MOST)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue
            why = self._lost(len(data))
            if why:
                self.counts[why] += 1
                continue
            fault = self.fault
            for _ in range(2 if self.draw.random() < fault.copies else 1):
                delay = fault.delay + (self.draw.expovariate(1 / fault.jitter) if fault.jitter else 0.0)
                if fault.tail and self.draw.random() < fault.tail:
                    delay *= 50
                if delay:
                    loop.call_later(delay / 1000, self._pass, data)
                else:
                    self._pass(data)

    def _pass(self, data: bytes) -> None:
        port = self.links.port_of(self.to)
        if self._udp is None or not port:
            self.counts["nobody"] += 1
            return
        self.counts["passed"] += 1
        with contextlib.suppress(OSError):
            self._udp.sendto(data, ("127.0.0.1", port))

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._streams.add(task)
        port, other = self.links.port_of(self.to), None
        try:
            if not self._whole():
                self.counts["stream-cut"] += 1
                await asyncio.sleep(3.0)  # silent, as a machine that is cut off is
                return
            if not port:
                return
            self.counts["stream"] += 1
            back, other = await asyncio.open_connection("127.0.0.1", port)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._splice(reader, other))
                group.create_task(self._splice(back, writer))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self._streams.discard(task)
            for each in (writer, other):
                if each is not None:
                    each.close()

    def _whole(self) -> bool:
        back = self.links.links.get((self.to, self.sender))
        faults = [self.fault, *([back.fault] if back is not None else [])]
        return all(fault.streams and not fault.cut for fault in faults)

    async def _splice(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(STREAM_CHUNK):
            if not self._whole():
                await asyncio.sleep(3.0)
                return
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


class Links:
    """All links between gateways. ``port_of`` tells where a gateway listens now; 0: nowhere."""

    def __init__(self, names: list[str], seed: int, record: Record, port_of: Callable[[str], int]) -> None:
        self.names, self.seed, self.record, self.port_of = names, seed, record, port_of
        self.links = {(a, b): Link(self, a, b) for a in names for b in names if a != b}

    async def start(self) -> None:
        """Open all."""
        for link in self.links.values():
            await link.open()

    def close(self) -> None:
        """Close all."""
        for link in self.links.values():
            link.close()

    def peers(self, name: str) -> dict[str, str]:
        """Where a gateway reaches the others."""
        return {to: f"127.0.0.1:{link.port}" for (sender, to), link in self.links.items() if sender == name}

    def set_fault(self, pairs: list[tuple[str, str]], fault: Fault) -> None:
        """From now on these links do this."""
        for pair in pairs:
            self.links[pair].fault = fault
        told = {
            key: value for key, value in msgspec.to_builtins(fault).items() if value != getattr(WHOLE, key)
        }
        self.record.note("links", "set", pairs=[list(pair) for pair in pairs], fault=told)

    def between(self, some: list[str], others: list[str], both: bool = True) -> list[tuple[str, str]]:
        """All links from some to others, and back."""
        there = [(a, b) for a in some for b in others if a != b]
        return there + [(b, a) for a, b in there] if both else there

    @property
    def counts(self) -> Counter[str]:
        """All that passed and did not."""
        return sum((link.counts for link in self.links.values()), Counter())
