"""Membership in virtual time: real machines, sealed and opened messages' bytes counted, links with faults, pauses, kills.

Everything is drawn from the seed. A :class:`Fleet` plays a script of steps and keeps what a judge needs: when each member ran,
what each view said when, bytes by member and second.
"""

from __future__ import annotations

import heapq
import random
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from winchdyke.membership import datagrams as wire
from winchdyke.membership import events
from winchdyke.membership.events import LocalMember
from winchdyke.membership.swim import SwimProtocol
from winchdyke.membership.swim_config import SwimConfig

UDP_IP, TCP_SETUP = 28, 400  # bytes around a datagram, and of a short TCP connection beside what it carries
SECRET = b"the model's key, sixteen or more"


@dataclass
class Links:
    """What the network does, by ordered pair."""

    loss: float = 0.0
    copies: float = 0.0
    delay: tuple[float, float] = (0.2, 1.0)  # ms, least and mean beyond it
    tail: float = 0.0  # part of the datagrams that take a hundred times as long
    cut: set[tuple[str, str]] = field(default_factory=set)
    datagrams: bool = True
    streams: bool = True
    large_lost: int = 0  # datagrams longer than this are lost; 0: none

    def passes(self, sender: str, to: str) -> bool:
        """Whether anything goes this way."""
        return (sender, to) not in self.cut


@dataclass
class SimulatedProcess:
    """One process."""

    name: str
    zone: str
    index: int
    protocol: SwimProtocol
    began: float
    clock_rate: float = 1.0  # of its clock: how many of its milliseconds go by in one
    ended: float | None = None
    paused_until: float = 0.0
    drops_messages: bool = (
        False  # what comes while it stands still is lost, as where its host has no room for it
    )
    waiting: list[events.MessageReceived | events.StateExchangeFinished] = field(default_factory=list)

    def clock(self, now: float) -> float:
        """What its own clock shows at a time."""
        return self.began + (now - self.began) * self.clock_rate

    def when(self, shown: float) -> float:
        """When its own clock shows a time."""
        return self.began + (shown - self.began) / self.clock_rate


@dataclass(frozen=True)
class StateTransition:
    """What a view said of a member from a time on."""

    at: float
    viewer: str
    member: str
    state: str
    generation: int


class Fleet:
    """Machines, a network and a clock."""

    def __init__(
        self,
        members: int,
        seed: int,
        config: SwimConfig | None = None,
        zones: int = 1,
        make: Callable[[LocalMember, SwimConfig, int, float], SwimProtocol] = SwimProtocol,
        links: Links | None = None,
        start_ms: float = 1000.0,
        drift: float = 0.0,
    ) -> None:
        """``drift``: by what part of it a clock may run fast or slow, drawn for each process."""
        self.config, self.rng, self.make = config or SwimConfig(), random.Random(seed), make
        self.links, self.drift = links or Links(), drift
        self.now, self._order = 0.0, 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.processes: dict[str, SimulatedProcess] = {}
        self.ended_processes: list[SimulatedProcess] = []
        self.transitions: list[StateTransition] = []
        self.reports: list[tuple[float, str, events.ReportEvent]] = []
        self.bytes: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self.largest_datagram = 0
        self._before: dict[str, dict[str, tuple[str, int]]] = defaultdict(dict)
        self._versions: dict[str, int] = {}
        self.names = [f"g{n}" for n in range(members)]
        self.zones = {name: f"zone-{n % zones}" for n, name in enumerate(self.names)}
        self.seeds = tuple(self._address(name) for name in self.names[:3])
        for name in self.names:
            self.at(self.rng.random() * start_ms, lambda name=name: self.start(name))  # type: ignore[misc]

    # The script.

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Do something at a time."""
        self._order += 1
        heapq.heappush(self._events, (max(when, self.now), self._order, what))

    def start(self, name: str, clock: float | None = None) -> None:
        """Start a process under a name; ``clock`` is the Unix time that it believes, where that is another."""
        if name in self.processes:
            return
        index = int(name[1:])
        generation = (int(self.now if clock is None else clock) + 1_000_000) << 16 | self.rng.getrandbits(16)
        own = LocalMember(
            name,
            self._address(name),
            self.zones.get(name, "zone-0"),
            index,
            generation,
            len(self.names),
            self.seeds,
        )
        machine = self.make(own, self.config, self.rng.getrandbits(32), self.now)
        rate = 1.0 + (self.rng.uniform(-self.drift, self.drift) if self.drift else 0.0)
        self.processes[name] = SimulatedProcess(name, own.zone, index, machine, self.now, rate)
        self._versions[name] = -1
        self._before[name] = {}
        self._wake(self.processes[name])

    def kill(self, name: str) -> None:
        """End a process; nobody is told."""
        process = self.processes.pop(name, None)
        if process is not None:
            process.ended = self.now
            self.ended_processes.append(process)

    def leave(self, name: str) -> None:
        """End a process in good order."""
        process = self.processes.get(name)
        if process is not None:
            self._do(process, process.protocol.leave(process.clock(self.now)))
            self.kill(name)

    def pause(self, name: str, length: float, drops_messages: bool = False) -> None:
        """Stop a process for a time; what comes meanwhile waits for it, or is lost."""
        process = self.processes.get(name)
        if process is not None:
            process.drops_messages = drops_messages
            process.paused_until = max(process.paused_until, self.now + length)
            self.at(process.paused_until, lambda: self._turn(process))

    def run(self, until: float) -> None:
        """Play on to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, what = heapq.heappop(self._events)
            what()
        self.now = until

    # What is seen.

    def agreed(self) -> bool:
        """Whether all views name just those that run."""
        return not self.differences()

    def differences(self) -> list[str]:
        """What is wrong in which view."""
        found = []
        for name, process in self.processes.items():
            want = sorted((n, other.protocol.generation) for n, other in self.processes.items() if n != name)
            have = sorted(process.protocol.view(process.clock(self.now)).active_generations())
            if want != have:
                missing = [n for n, _ in want if n not in dict(have)]
                extra = [n for n, _ in have if n not in dict(want)]
                found.append(f"{name}: without {missing[:5]}, with {extra[:5]}")
        return found

    def until_agreed(self, most: float, step: float = 100.0) -> float | None:
        """Play on until all views agree; ms that took, None where it took more than ``most``."""
        began = self.now
        while self.now < began + most:
            if self.agreed():
                return self.now - began
            self.run(self.now + step)
        return None

    def bytes_per_second(self, since: float, until: float) -> list[float]:
        """Bytes a second that each member sent over a time."""
        seconds = range(int(since / 1000), int(until / 1000))
        return [
            sum(self.bytes[name][second] for second in seconds) / max(1, len(seconds)) for name in self.names
        ]

    # Inside.

    @staticmethod
    def _address(name: str) -> str:
        return f"at-{name}"

    def _wake(self, process: SimulatedProcess) -> None:
        self.at(
            max(process.when(process.protocol.next_turn_ms), self.now + 0.01), lambda: self._turn(process)
        )

    def _turn(self, process: SimulatedProcess) -> None:
        if self.processes.get(process.name) is not process or self.now < process.paused_until:
            return
        happened, process.waiting = process.waiting, []
        self._do(process, process.protocol.handle(process.clock(self.now), happened))
        if not happened:
            self._wake(process)

    def _hand(
        self, process: SimulatedProcess, what: events.MessageReceived | events.StateExchangeFinished
    ) -> None:
        if self.processes.get(process.name) is not process:
            return
        if self.now < process.paused_until:
            if not process.drops_messages or isinstance(what, events.StateExchangeFinished):
                process.waiting.append(what)
            return
        self._do(process, process.protocol.handle(process.clock(self.now), [what]))

    def _do(self, process: SimulatedProcess, actions: Iterable[events.Action]) -> None:
        for action in actions:
            if isinstance(action, events.SendDatagram):
                self._datagram(process.name, action.address, action.message)
            elif isinstance(action, events.StartStateExchange):
                self._stream(process, action.address, action.message)
            elif isinstance(action, events.ReportEvent):
                self.reports.append((self.now, process.name, action))
            elif isinstance(action, events.StopMembership):
                self.kill(process.name)
        view = process.protocol.view(process.clock(self.now))
        if view.version != self._versions.get(process.name):
            self._versions[process.name] = view.version
            before = self._before[process.name]
            for member in view.members:
                if before.get(member.name) != (member.state, member.generation):
                    before[member.name] = member.state, member.generation
                    self.transitions.append(
                        StateTransition(self.now, process.name, member.name, member.state, member.generation)
                    )

    def _count(self, name: str, size: int) -> None:
        self.bytes[name][int(self.now / 1000)] += size

    def _delay(self) -> float:
        least, mean = self.links.delay
        delay = least + self.rng.expovariate(1 / mean)
        return delay * 100 if self.links.tail and self.rng.random() < self.links.tail else delay

    def _datagram(self, sender: str, address: str, message: wire.SwimMessage) -> None:
        data, links = wire.seal(message, SECRET), self.links
        assert len(data) <= wire.MAX_DATAGRAM_BYTES, f"{len(data)} bytes"
        self.largest_datagram = max(self.largest_datagram, len(data))
        self._count(sender, len(data) + UDP_IP)
        to = address.removeprefix("at-")
        if (
            not links.datagrams
            or not links.passes(sender, to)
            or (links.large_lost and len(data) > links.large_lost)
        ):
            return
        copies = 2 if links.copies and self.rng.random() < links.copies else 1
        for _ in range(copies):
            if links.loss and self.rng.random() < links.loss:
                continue
            self.at(self.now + self._delay(), lambda: self._datagram_comes(to, data, self._address(sender)))

    def _datagram_comes(self, to: str, data: bytes, address: str) -> None:
        process = self.processes.get(to)
        if process is not None:
            self._hand(process, events.MessageReceived(wire.unseal(data, [SECRET]), address))

    def _stream(self, process: SimulatedProcess, address: str, message: wire.SwimMessage) -> None:
        links, to = self.links, address.removeprefix("at-")
        size = len(wire.seal(message, SECRET))
        self._count(process.name, size + TCP_SETUP)

        def ended(answer: wire.SwimMessage | None) -> None:
            self._hand(process, events.StateExchangeFinished(address, message.request_id, answer))

        def comes() -> None:
            other = self.processes.get(to)
            there = links.streams and links.passes(process.name, to) and links.passes(to, process.name)
            if not there or other is None or self.now < other.paused_until:
                self.at(self.now + self.config.probe_timeout_ms, lambda: ended(None))
                return
            actions = other.protocol.handle(
                other.clock(self.now), [events.MessageReceived(message, self._address(process.name), True)]
            )
            replies = [
                action.message for action in actions if isinstance(action, events.ReplyToStateExchange)
            ]
            self._do(other, actions)
            for reply in replies[:1]:
                self._count(to, len(wire.seal(reply, SECRET)))
                self.at(self.now + self._delay(), lambda reply=reply: ended(reply))  # type: ignore[misc]
            if not replies:
                self.at(self.now + self.config.probe_timeout_ms, lambda: ended(None))

        # Lost segments are sent again: TCP answers late rather than not at all.
        again = 0.0
        while links.loss and again < 3 and self.rng.random() < links.loss:
            again += 1
        self.at(self.now + 2 * self._delay() + again * 200.0, comes)
