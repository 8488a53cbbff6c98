"""Emulated network links: relays between pairs of gateways that lose, delay, duplicate or cut traffic.

Gateway A reaches B only at the address of the link from A to B, which relays UDP and TCP on one port. Each
link draws its faults from a seed of its own, and counts relayed and lost datagrams and connections. Changes
of faults are recorded.
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

MAX_DATAGRAM_BYTES = 65_536
STREAM_CHUNK_BYTES = 65_536


class Fault(msgspec.Struct, frozen=True):
    """Faults of a link. Fractions are of datagrams, times are in milliseconds.

    Attributes:
        cut: Whether nothing passes.
        loss: Fraction of datagrams that are lost.
        burst: Mean number of datagrams that are lost in a row.
        copies: Fraction that is delivered twice.
        delay: Constant delay.
        jitter: Mean of an additional exponentially distributed delay.
        tail: Fraction that is delayed 50 times as long.
        datagrams: Whether datagrams pass.
        streams: Whether TCP connections pass.
        large: Longer datagrams are lost; 0: no limit.
    """

    cut: bool = False
    loss: float = 0.0
    burst: float = 1.0
    copies: float = 0.0
    delay: float = 0.0
    jitter: float = 0.0
    tail: float = 0.0
    datagrams: bool = True
    streams: bool = True
    large: int = 0


NO_FAULT = Fault()


class Link:
    """The link from one gateway to another."""

    def __init__(self, links: Links, sender: str, to: str) -> None:
        self.links, self.sender, self.to, self.fault = links, sender, to, NO_FAULT
        self.random = random.Random(f"{links.seed}/{sender}/{to}")
        self.counts: Counter[str] = Counter()
        self._losing = False
        self.port = 0
        self._udp: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._streams: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Listen on one port for both UDP and TCP."""
        for _ in range(50):
            self._server = await asyncio.start_server(self._relay_connection, "127.0.0.1", 0)
            self.port = self._server.sockets[0].getsockname()[1]
            udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            udp.setblocking(False)
            try:
                udp.bind(("127.0.0.1", self.port))
            except OSError:  # the UDP port is in use; try another one
                udp.close()
                self._server.close()
                continue
            self._udp = udp
            asyncio.get_running_loop().add_reader(udp.fileno(), self._relay_datagrams)
            return
        raise OSError("no port is free for both UDP and TCP")

    def close(self) -> None:
        """Close the sockets and the relayed connections."""
        if self._udp is not None:
            asyncio.get_running_loop().remove_reader(self._udp.fileno())
            self._udp.close()
            self._udp = None
        if self._server is not None:
            self._server.close()
        for task in list(self._streams):
            task.cancel()

    def _loss_reason(self, size: int) -> str:
        fault = self.fault
        if fault.cut or not fault.datagrams:
            return "cut"
        if fault.large and size > fault.large:
            return "large"
        if fault.loss:
            # Two-state Gilbert model: ``burst`` datagrams are lost in a row on average, ``loss`` of all.
            if self._losing:
                self._losing = self.random.random() >= 1 / fault.burst
            else:
                self._losing = self.random.random() < fault.loss / (1 - min(0.99, fault.loss)) / fault.burst
            if self._losing:
                return "lost"
        return ""

    def _relay_datagrams(self) -> None:
        assert self._udp is not None
        loop = asyncio.get_running_loop()
        for _ in range(64):
            try:
                data = self._udp.recv(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                continue
            reason = self._loss_reason(len(data))
            if reason:
                self.counts[reason] += 1
                continue
            fault = self.fault
            for _ in range(2 if self.random.random() < fault.copies else 1):
                delay = fault.delay + (self.random.expovariate(1 / fault.jitter) if fault.jitter else 0.0)
                if fault.tail and self.random.random() < fault.tail:
                    delay *= 50
                if delay:
                    loop.call_later(delay / 1000, self._deliver, data)
                else:
                    self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        port = self.links.port_of(self.to)
        if self._udp is None or not port:
            self.counts["nobody"] += 1
            return
        self.counts["passed"] += 1
        with contextlib.suppress(OSError):
            self._udp.sendto(data, ("127.0.0.1", port))

    async def _relay_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._streams.add(task)
        port, other = self.links.port_of(self.to), None
        try:
            if not self._streams_pass():
                self.counts["stream-cut"] += 1
                # The connection stays open without traffic, as one to an unreachable host does.
                await asyncio.sleep(3.0)
                return
            if not port:
                return
            self.counts["stream"] += 1
            back, other = await asyncio.open_connection("127.0.0.1", port)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, other))
                group.create_task(self._copy(back, writer))
        except* (OSError, asyncio.CancelledError):
            pass
        finally:
            self._streams.discard(task)
            for each in (writer, other):
                if each is not None:
                    each.close()

    def _streams_pass(self) -> bool:
        back = self.links.links.get((self.to, self.sender))
        faults = [self.fault, *([back.fault] if back is not None else [])]
        return all(fault.streams and not fault.cut for fault in faults)

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(STREAM_CHUNK_BYTES):
            if not self._streams_pass():
                await asyncio.sleep(3.0)
                return
            writer.write(data)
            await writer.drain()
        with contextlib.suppress(OSError):
            writer.write_eof()


class Links:
    """All links between gateways. ``port_of`` returns the current port of a gateway, or 0."""

    def __init__(self, names: list[str], seed: int, record: Record, port_of: Callable[[str], int]) -> None:
        self.names, self.seed, self.record, self.port_of = names, seed, record, port_of
        self.links = {(a, b): Link(self, a, b) for a in names for b in names if a != b}

    async def start(self) -> None:
        """Open all links."""
        for link in self.links.values():
            await link.open()

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.close()

    def peers(self, name: str) -> dict[str, str]:
        """Return the addresses at which a gateway reaches the others, by their names."""
        return {to: f"127.0.0.1:{link.port}" for (sender, to), link in self.links.items() if sender == name}

    def set_fault(self, pairs: list[tuple[str, str]], fault: Fault) -> None:
        """Set the fault of some links, given as pairs of sender and receiver, and record it."""
        for pair in pairs:
            self.links[pair].fault = fault
        changed_fields = {
            key: value for key, value in msgspec.to_builtins(fault).items() if value != getattr(NO_FAULT, key)
        }
        self.record.note("links", "set", pairs=[list(pair) for pair in pairs], fault=changed_fields)

    def between(self, some: list[str], others: list[str], both: bool = True) -> list[tuple[str, str]]:
        """Return the links from some gateways to others, and with ``both`` also those back."""
        pairs = [(a, b) for a in some for b in others if a != b]
        return pairs + [(b, a) for a, b in pairs] if both else pairs

    @property
    def counts(self) -> Counter[str]:
        """Number of relayed and lost datagrams and connections of all links, by result."""
        return sum((link.counts for link in self.links.values()), Counter())
