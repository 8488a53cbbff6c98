"""The task that owns a gateway's membership: its UDP socket, its TCP exchanges and its timer. It decides nothing.

Datagrams are opened by :mod:`winchdyke.membership.datagrams` and passed to :class:`SwimProtocol`, whose outputs are
carried out here. Sockets are read before timers: what has arrived is known before a member is declared silent.
"""

from __future__ import annotations

import re
import socket
import struct
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import structlog
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from winchdyke.admin.keys import KeyFileError, KeyRing
from winchdyke.config.model import Config
from winchdyke.membership import datagrams, events, member_cache
from winchdyke.membership import swim as m
from winchdyke.membership.bounds import Bounds
from winchdyke.membership.resolver import AddressResolver
from winchdyke.membership.view import View

LENGTH = struct.Struct(">I")
STREAMS = 8  # exchanges under way at once, each way
STREAM_S = 2.0  # for one exchange to end
BURST = 256  # datagrams read at one turn
WAITING = 1024  # that may wait for the next one
RECEIVE = 1 << 18  # bytes of the socket's own buffer asked for
SAVE_S = 2.0  # between writes of the members to the disk
HISTORY = 500  # notes kept for people
LOOK_UP_S = 5.0  # for a name server to answer
UNSEALED_LOG_S = 10.0  # between log lines on what was dropped


class MembershipError(Exception):
    """The gateway can't take its place; says why and what to do."""


class MembershipAgent:
    """This gateway among the others. ``changed`` is told each new view."""

    def __init__(self, config: Config, clock: Callable[[], float]) -> None:
        self.config, self.clock, self.fleet = config, clock, config.fleet
        assert self.fleet.listen is not None
        self._log = structlog.get_logger("fleet")
        self.counts: Counter[str] = Counter()
        self.history: deque[dict[str, object]] = deque(maxlen=HISTORY)
        self._keys = KeyRing(Path(self.fleet.keys))
        self._secrets: list[bytes] = []
        self._udp: socket.socket | None = None
        self._listeners: list[SocketListener] = []
        self.machine: m.SwimProtocol | None = None
        self.changed: Callable[[View], None] = lambda _: None
        self._version = -1
        self._happened: list[events.Arrived | events.Exchanged] = []
        self._wake = anyio.Event()
        self._streams = anyio.Semaphore(STREAMS)
        self._group: TaskGroup | None = None
        self._names = AddressResolver()
        self._kept: tuple[str, ...] = ()  # seeds from the disk
        self._named: tuple[str, ...] = ()  # and from a list service
        self._dropped_at = 0.0
        self.over = False  # a later process has this name
        self.address = ("", 0)

    # Start.

    async def open(self) -> None:
        """Take the sockets and read the keys. FleetError."""
        listen = self.fleet.listen
        assert listen is not None
        self._read_keys(first=True)
        try:
            multi = await anyio.create_tcp_listener(local_host=listen.host, local_port=listen.port)
            self._listeners = [each for each in multi.listeners if isinstance(each, SocketListener)]
            where: tuple[str, int] = self._listeners[0].extra(SocketAttribute.local_address)  # type: ignore[assignment]
            host, port = where[0], where[1]
            family = socket.AF_INET6 if ":" in str(host) else socket.AF_INET
            self._udp = socket.socket(family, socket.SOCK_DGRAM)
            self._udp.setblocking(False)
            self._udp.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
            self._udp.bind((host, port))
        except OSError as error:
            await self.close()
            raise MembershipError(
                f"can't listen at {listen.host}:{listen.port}: {error.strerror}; see fleet, listen"
            ) from error
        self.address = str(host), int(port)
        try:
            self.machine = self._machine()
        except MembershipError:
            await self.close()
            raise

    def _machine(self) -> m.SwimProtocol:
        gateway, fleet = self.config.gateway, self.fleet
        said = (
            ("gateway, name", gateway.name),
            ("gateway, zone", gateway.zone),
            ("fleet, advertise", fleet.advertise),
        )
        for what, text in said:
            if len(text.encode()) > datagrams.NAME_MOST:
                raise MembershipError(
                    f"{what} is {text!r}: other gateways take {datagrams.NAME_MOST} bytes; make it shorter"
                )
        if fleet.advertise and not re.fullmatch(r".+:[0-9]{1,5}", fleet.advertise):
            raise MembershipError(f"fleet, advertise is {fleet.advertise!r}: give HOST:PORT")
        if not 0 <= gateway.index <= 65535:
            raise MembershipError(f"gateway, index is {gateway.index}: other gateways take 0 to 65535")
        life = int(time.time() * 1000) << 16
        if fleet.keep:
            kept, wrong = member_cache.load(Path(fleet.keep))
            if wrong:
                self._log.warning("fleet", trouble=wrong)
            if kept is not None:
                if kept.own == gateway.name:
                    life = max(life, (kept.life // m.STEP + 1) * m.STEP)
                self._kept = tuple(each.address for each in kept.members if each.name != gateway.name)
        own = events.Own(
            name=gateway.name,
            address=fleet.advertise or _shown(self.address),
            zone=gateway.zone,
            index=gateway.index,
            life=life | (hash((self.address, time.monotonic_ns())) & (m.STEP - 1)),
            gateways=gateway.gateways,
            seeds=self._seeds(),
            at=tuple(self._at().items()),
        )
        bounds = Bounds(
            interval=fleet.interval, timeout=fleet.timeout, exchange=fleet.exchange, forget=fleet.forget,
            retry=fleet.interval, retry_most=10 * fleet.interval, pause=max(50.0, fleet.interval / 4),
        )  # fmt: skip
        return m.SwimProtocol(own, bounds, time.monotonic_ns() ^ gateway.seed, self.clock())

    def _read_keys(self, first: bool = False) -> None:
        try:
            good = self._keys.valid_keys(time.time() * 1000)
        except KeyFileError as error:
            if first:
                raise MembershipError(f"{error}; see fleet, keys") from error
            self._log.warning("fleet", trouble=f"{error}; the keys before go on counting")
            return
        if not good and first:
            raise MembershipError(f"{self.fleet.keys} holds no key that counts now; see fleet, keys")
        self._secrets = [key.secret_bytes()[:64] for key in good] or self._secrets

    # The life of it.

    async def run(self) -> None:
        """Take part until cancelled; :meth:`leave` first to say goodbye."""
        assert self.machine is not None and self._udp is not None
        async with anyio.create_task_group() as group:
            self._group = group
            group.start_soon(self._listen_udp)
            for listener in self._listeners:
                group.start_soon(self._listen_tcp, listener)
            group.start_soon(self._keep_keys)
            if self.fleet.keep:
                group.start_soon(self._keep)
            while not self.over:
                now = self.clock()
                self._read()
                happened, self._happened = self._happened, []
                self._wake = anyio.Event()
                self._carry_out(self.machine.handle(now, happened))
                self._tell()
                with anyio.move_on_after(max(1.0, self.machine.due - self.clock()) / 1000):
                    await self._wake.wait()
            await anyio.sleep_forever()

    def expect(self, config: Config) -> None:
        """Other peers and seeds from now on; who is there already stays so until it goes."""
        known = self.config.peers, self.fleet.seeds
        if self.machine is not None and (config.peers, config.fleet.seeds) != known:
            self.config, self.fleet = config, replace(self.fleet, seeds=config.fleet.seeds)
            self.machine.expect(self._seeds(), self._at())
            self._wake.set()

    def listed(self, addresses: tuple[str, ...]) -> None:
        """Gateways that a list service names: seeds too, from now on."""
        self._named = addresses
        if self.machine is not None:
            self.machine.expect(self._seeds(), self._at(), soon=False)
            self._wake.set()

    def _at(self) -> dict[str, str]:
        return {name: _shown(address) for name, address in self.config.peers}

    def _seeds(self) -> tuple[str, ...]:
        given = [*map(_shown, self.fleet.seeds), *self._at().values()]
        return tuple(dict.fromkeys([*given, *self._kept, *self._named]))

    def leave(self) -> None:
        """Say goodbye; nothing is done after it."""
        if self.machine is not None and self._udp is not None:
            self._carry_out(self.machine.leave(self.clock()))
            self.over = True

    async def close(self) -> None:
        """Let the sockets go."""
        if self._udp is not None:
            self._udp.close()
            self._udp = None
        for listener in self._listeners:
            await listener.aclose()
        self._listeners = []

    @property
    def view(self) -> View:
        """What is believed now."""
        assert self.machine is not None
        return self.machine.view(self.clock())

    def standing(self) -> dict[str, Any]:
        """What is believed, as plain data; times are ms ago."""
        view, now, machine = self.view, self.clock(), self.machine
        assert machine is not None
        members = [
            {
                "name": seen.name, "address": seen.address, "zone": seen.zone, "index": seen.index, "life": seen.life,
                "incarnation": seen.incarnation, "state": seen.word, "since_ms": round(now - seen.since), "by": seen.by,
                "link": seen.link, "link_since_ms": round(now - seen.link_since) if seen.link != "untried" else None,
                "heard_ms": self._heard(seen.name, now), "index_known": seen.known,
            }
            for seen in view.members
        ]  # fmt: skip
        event = view.event
        return {
            "own": view.own, "address": machine.own.address, "zone": view.zone, "life": machine.life,
            "incarnation": machine.incarnation, "version": view.version, "alive": view.alive, "alone": view.alone,
            "left": self.over, "health": machine.health.score, "slept_ms": round(machine.sleep.slept),
            "event": None if event is None else {"text": event.text, "since_ms": round(now - event.since)},
            "members": members, "counts": {**machine.counts, **self.counts}, "history": list(self.history),
        }  # fmt: skip

    def _heard(self, name: str, now: float) -> float | None:
        """ms since a datagram came straight from it: newer than the snapshot, which holds until a state changes."""
        assert self.machine is not None
        member = self.machine.book.members.get(name)
        return None if member is None or member.heard < -1e17 else round(now - member.heard)

    def _tell(self) -> None:
        view = self.view
        if view.version != self._version:
            self._version = view.version
            self.changed(view)

    def _carry_out(self, actions: list[events.Action]) -> None:
        for action in actions:
            if isinstance(action, events.Tell):
                self._send(action)
            elif isinstance(action, events.Exchange):
                assert self._group is not None
                self._group.start_soon(self._exchange, action)
            elif isinstance(action, events.Note):
                self._note(action)
            elif isinstance(action, events.Leave):
                self._log.error("fleet", trouble=action.why)
                self.over = True

    def _note(self, note: events.Note) -> None:
        row: dict[str, object] = {
            "unix_ms": round(time.time() * 1000),
            "code": note.code,
            "member": note.member,
        }
        if note.text:
            row["text"] = note.text
        self.history.append(row)
        self._log.info("fleet", code=note.code, member=note.member, text=note.text)

    # Datagrams.

    async def _listen_udp(self) -> None:
        assert self._udp is not None
        while True:
            await anyio.wait_readable(self._udp)
            self._read()
            self._wake.set()
            await anyio.sleep(0)

    def _read(self) -> None:
        for _ in range(BURST):
            if self._udp is None:
                return
            try:
                data, where = self._udp.recvfrom(datagrams.DATAGRAM_MOST + 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                self.counts["udp-error"] += 1  # the answer of a host to what was sent there before
                continue
            if self.over or len(self._happened) >= WAITING:
                self.counts["dropped:overrun"] += 1
                continue
            message = self._opened(data, datagrams.DATAGRAM_MOST)
            if message is not None:
                self._happened.append(events.Arrived(message, _shown(where[:2])))

    def _opened(self, data: bytes, most: int) -> datagrams.Envelope | None:
        try:
            return datagrams.unseal(data, self._secrets, most)
        except datagrams.Dropped as dropped:
            self.counts[f"dropped:{dropped.reason}"] += 1
            now = time.monotonic()
            if now >= self._dropped_at + UNSEALED_LOG_S:
                self._dropped_at = now
                self._log.warning("fleet", trouble="a message was dropped", reason=dropped.reason)
            return None

    def _send(self, action: events.Tell) -> None:
        host, _, port = action.address.rpartition(":")
        data = datagrams.seal(action.message, self._secrets[0])
        self.counts["sent"] += 1
        self.counts["sent-bytes"] += len(data)
        host = host.strip("[]")
        where, ask = self._names.send(host, port, data, self.clock())
        if ask and self._group is not None:
            self._group.start_soon(self._look_up, host)
        if where:
            self._send_to(where, port, data)

    def _send_to(self, address: str, port: str, data: bytes) -> None:
        try:
            assert self._udp is not None
            self._udp.sendto(data, (address, int(port)))
        except (OSError, ValueError, OverflowError):
            self.counts["send-failed"] += 1  # as if lost on the way

    async def _look_up(self, host: str) -> None:
        assert self._udp is not None
        address = ""
        try:
            with anyio.move_on_after(LOOK_UP_S):
                found = await anyio.getaddrinfo(host, None, family=self._udp.family, type=socket.SOCK_DGRAM)
                address = str(found[0][4][0])
        except (OSError, UnicodeError, IndexError):
            pass
        if not address:
            self.counts["name-unknown"] += 1
            self._log.warning("fleet", trouble="a host's name has no address", host=host)
        for port, data in self._names.found(host, address, self.clock()):
            self._send_to(address, port, data)

    # Exchanges over TCP.

    async def _exchange(self, action: events.Exchange) -> None:
        message: datagrams.Envelope | None = None
        host, _, port = action.address.rpartition(":")
        try:
            with anyio.move_on_after(STREAM_S):
                async with self._streams, await anyio.connect_tcp(host.strip("[]"), int(port)) as stream:
                    data = datagrams.seal(action.message, self._secrets[0])
                    self.counts["sent-bytes"] += len(data)
                    await stream.send(LENGTH.pack(len(data)) + data)
                    message = await self._receive(stream)
        except (OSError, ValueError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        self._happened.append(events.Exchanged(action.address, action.message.number, message))
        self._wake.set()

    async def _receive(self, stream: SocketStream) -> datagrams.Envelope | None:
        got = bytearray()
        while len(got) < LENGTH.size or len(got) < LENGTH.size + LENGTH.unpack_from(got)[0]:
            if len(got) >= LENGTH.size and LENGTH.unpack_from(got)[0] > datagrams.EXCHANGE_MOST:
                self.counts["dropped:too-long"] += 1
                return None
            got += await stream.receive()
        return self._opened(
            bytes(got[LENGTH.size : LENGTH.size + LENGTH.unpack_from(got)[0]]), datagrams.EXCHANGE_MOST
        )

    async def _listen_tcp(self, listener: SocketListener) -> None:
        places = anyio.Semaphore(STREAMS)

        async def one(stream: SocketStream) -> None:
            try:
                with anyio.move_on_after(STREAM_S):
                    async with stream:
                        await self._answer(stream)
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
                pass
            finally:
                places.release()

        assert self._group is not None
        while True:
            await places.acquire()
            try:
                stream = await listener.accept()
            except OSError:
                places.release()
                await anyio.sleep(0.05)
                continue
            except anyio.ClosedResourceError:
                return
            self._group.start_soon(one, stream)

    async def _answer(self, stream: SocketStream) -> None:
        message = await self._receive(stream)
        if message is None or self.over:
            return
        assert self.machine is not None
        where = _shown(stream.extra(SocketAttribute.remote_address)[:2])
        actions = self.machine.handle(self.clock(), [events.Arrived(message, where, True)])
        replies = [action.message for action in actions if isinstance(action, events.Reply)]
        self._carry_out([action for action in actions if not isinstance(action, events.Reply)])
        for reply in replies[:1]:
            data = datagrams.seal(reply, self._secrets[0])
            self.counts["sent-bytes"] += len(data)
            await stream.send(LENGTH.pack(len(data)) + data)
        self._tell()

    # Files.

    async def _keep_keys(self) -> None:
        while True:
            await anyio.sleep(1.0)
            self._read_keys()

    async def _keep(self) -> None:
        assert self.machine is not None
        before: member_cache.KnownMembers | None = None
        while True:
            members = [
                member_cache.KnownMember(seen.name, seen.address)
                for seen in self.view.members
                if seen.state != "left"
            ]
            kept = member_cache.KnownMembers(self.config.gateway.name, self.machine.life, members)
            if kept != before:
                try:
                    await anyio.to_thread.run_sync(member_cache.save, Path(self.fleet.keep), kept)
                    before = kept
                except OSError as error:
                    self._log.warning(
                        "fleet", trouble=f"members can't be kept: {error.strerror}; see fleet, keep"
                    )
            await anyio.sleep(SAVE_S)


def _shown(address: object) -> str:
    host, port = (address.host, address.port) if hasattr(address, "host") else address[:2]  # type: ignore[index,attr-defined]
    return f"[{host}]:{port}" if ":" in str(host) else f"{host}:{port}"
