"""Simulates membership in virtual time: the real protocol and message encoding, links with faults, pauses and kills.

All randomness comes from the seed. A :class:`Fleet` runs scheduled steps and records what tests check: the processes, the
state transitions of each view, and the bytes that each member sent in each second.
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

UDP_OVERHEAD_BYTES, TCP_OVERHEAD_BYTES = 28, 400  # bytes added to a datagram, and to a message over TCP
SECRET = b"the model's key, sixteen or more"


@dataclass
class Links:
    """The faults of the network. ``cut`` holds ordered pairs of members, sender first."""

    loss: float = 0.0
    copies: float = 0.0
    delay: tuple[float, float] = (0.2, 1.0)  # ms: the minimum, and the mean of the part above it
    tail: float = 0.0  # share of datagrams with a delay 100 times as long
    cut: set[tuple[str, str]] = field(default_factory=set)
    datagrams: bool = True
    streams: bool = True
    large_lost: int = 0  # datagrams with more bytes are lost; 0: no limit

    def passes(self, sender: str, to: str) -> bool:
        """Whether messages from ``sender`` reach ``to``."""
        return (sender, to) not in self.cut


@dataclass
class SimulatedProcess:
    """One gateway process of the simulation."""

    name: str
    zone: str
    index: int
    protocol: SwimProtocol
    started_at: float
    clock_rate: float = 1.0  # milliseconds of its clock per true millisecond
    ended_at: float | None = None
    paused_until: float = 0.0
    # Whether datagrams are lost while it is paused, as with a full socket buffer.
    drops_messages: bool = False
    queued_messages: list[events.MessageReceived | events.StateExchangeFinished] = field(default_factory=list)

    def clock(self, now: float) -> float:
        """The time of its own clock at a true time."""
        return self.started_at + (now - self.started_at) * self.clock_rate

    def true_time(self, clock_ms: float) -> float:
        """The true time at which its own clock shows a time."""
        return self.started_at + (clock_ms - self.started_at) / self.clock_rate


@dataclass(frozen=True)
class StateTransition:
    """A change of a member's state or generation in a view."""

    at: float
    viewer: str
    member: str
    state: str
    generation: int


class Fleet:
    """The simulated processes, their network, and the clock."""

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
        """``drift``: the largest relative error of a clock's rate; each process draws its own."""
        self.config, self.rng, self.make_protocol = config or SwimConfig(), random.Random(seed), make
        self.links, self.drift = links or Links(), drift
        self.now, self._order = 0.0, 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.processes: dict[str, SimulatedProcess] = {}
        self.ended_processes: list[SimulatedProcess] = []
        self.transitions: list[StateTransition] = []
        self.reports: list[tuple[float, str, events.ReportEvent]] = []
        self.bytes: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
        self.largest_datagram = 0
        self._reported_states: dict[str, dict[str, tuple[str, int]]] = defaultdict(dict)
        self._versions: dict[str, int] = {}
        self.names = [f"g{n}" for n in range(members)]
        self.zones = {name: f"zone-{n % zones}" for n, name in enumerate(self.names)}
        self.seeds = tuple(self._address(name) for name in self.names[:3])
        for name in self.names:
            self.at(self.rng.random() * start_ms, lambda name=name: self.start(name))  # type: ignore[misc]

    # Scheduled steps

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback."""
        self._order += 1
        heapq.heappush(self._events, (max(when, self.now), self._order, callback))

    def start(self, name: str, clock: float | None = None) -> None:
        """Start a process under a name, unless it runs. ``clock`` (ms) replaces the current time in its generation."""
        if name in self.processes:
            return
        index = int(name[1:])
        generation = (int(self.now if clock is None else clock) + 1_000_000) << 16 | self.rng.getrandbits(16)
        local_member = LocalMember(
            name,
            self._address(name),
            self.zones.get(name, "zone-0"),
            index,
            generation,
            len(self.names),
            self.seeds,
        )
        protocol = self.make_protocol(local_member, self.config, self.rng.getrandbits(32), self.now)
        rate = 1.0 + (self.rng.uniform(-self.drift, self.drift) if self.drift else 0.0)
        self.processes[name] = SimulatedProcess(name, local_member.zone, index, protocol, self.now, rate)
        self._versions[name] = -1
        self._reported_states[name] = {}
        self._schedule_timer(self.processes[name])

    def kill(self, name: str) -> None:
        """End a process without a message to other members."""
        process = self.processes.pop(name, None)
        if process is not None:
            process.ended_at = self.now
            self.ended_processes.append(process)

    def leave(self, name: str) -> None:
        """End a process that announces its leave."""
        process = self.processes.get(name)
        if process is not None:
            self._execute(process, process.protocol.leave(process.clock(self.now)))
            self.kill(name)

    def pause(self, name: str, length: float, drops_messages: bool = False) -> None:
        """Pause a process for a time (ms); messages are queued meanwhile, or lost with ``drops_messages``."""
        process = self.processes.get(name)
        if process is not None:
            process.drops_messages = drops_messages
            process.paused_until = max(process.paused_until, self.now + length)
            self.at(process.paused_until, lambda: self._run_timer(process))

    def run(self, until: float) -> None:
        """Advance the simulation to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = until

    # Observations

    def agreed(self) -> bool:
        """Whether each view holds exactly the running members, with their generations."""
        return not self.differences()

    def differences(self) -> list[str]:
        """The views that are wrong, each with its missing and extra members."""
        differences = []
        for name, process in self.processes.items():
            expected = sorted(
                (n, other.protocol.generation) for n, other in self.processes.items() if n != name
            )
            actual = sorted(process.protocol.view(process.clock(self.now)).active_generations())
            if expected != actual:
                missing = [n for n, _ in expected if n not in dict(actual)]
                extra = [n for n, _ in actual if n not in dict(expected)]
                differences.append(f"{name}: missing {missing[:5]}, extra {extra[:5]}")
        return differences

    def until_agreed(self, timeout_ms: float, step: float = 100.0) -> float | None:
        """Advance until all views agree; returns the time it took (ms), or None after ``timeout_ms``."""
        since = self.now
        while self.now < since + timeout_ms:
            if self.agreed():
                return self.now - since
            self.run(self.now + step)
        return None

    def bytes_per_second(self, since: float, until: float) -> list[float]:
        """The mean bytes per second that each member sent in a time."""
        seconds = range(int(since / 1000), int(until / 1000))
        return [
            sum(self.bytes[name][second] for second in seconds) / max(1, len(seconds)) for name in self.names
        ]

    # Network and timers

    @staticmethod
    def _address(name: str) -> str:
        return f"at-{name}"

    def _schedule_timer(self, process: SimulatedProcess) -> None:
        self.at(
            max(process.true_time(process.protocol.next_turn_ms), self.now + 0.01),
            lambda: self._run_timer(process),
        )

    def _run_timer(self, process: SimulatedProcess) -> None:
        if self.processes.get(process.name) is not process or self.now < process.paused_until:
            return
        messages, process.queued_messages = process.queued_messages, []
        self._execute(process, process.protocol.handle(process.clock(self.now), messages))
        if not messages:
            self._schedule_timer(process)

    def _deliver(
        self, process: SimulatedProcess, message: events.MessageReceived | events.StateExchangeFinished
    ) -> None:
        if self.processes.get(process.name) is not process:
            return
        if self.now < process.paused_until:
            if not process.drops_messages or isinstance(message, events.StateExchangeFinished):
                process.queued_messages.append(message)
            return
        self._execute(process, process.protocol.handle(process.clock(self.now), [message]))

    def _execute(self, process: SimulatedProcess, actions: Iterable[events.Action]) -> None:
        for action in actions:
            if isinstance(action, events.SendDatagram):
                self._send_datagram(process.name, action.address, action.message)
            elif isinstance(action, events.StartStateExchange):
                self._exchange_state(process, action.address, action.message)
            elif isinstance(action, events.ReportEvent):
                self.reports.append((self.now, process.name, action))
            elif isinstance(action, events.StopMembership):
                self.kill(process.name)
        view = process.protocol.view(process.clock(self.now))
        if view.version != self._versions.get(process.name):
            self._versions[process.name] = view.version
            reported = self._reported_states[process.name]
            for member in view.members:
                if reported.get(member.name) != (member.state, member.generation):
                    reported[member.name] = member.state, member.generation
                    self.transitions.append(
                        StateTransition(self.now, process.name, member.name, member.state, member.generation)
                    )

    def _count_bytes(self, name: str, size: int) -> None:
        self.bytes[name][int(self.now / 1000)] += size

    def _delay(self) -> float:
        min_delay, mean = self.links.delay
        delay = min_delay + self.rng.expovariate(1 / mean)
        return delay * 100 if self.links.tail and self.rng.random() < self.links.tail else delay

    def _send_datagram(self, sender: str, address: str, message: wire.SwimMessage) -> None:
        data, links = wire.seal(message, SECRET), self.links
        assert len(data) <= wire.MAX_DATAGRAM_BYTES, f"{len(data)} bytes"
        self.largest_datagram = max(self.largest_datagram, len(data))
        self._count_bytes(sender, len(data) + UDP_OVERHEAD_BYTES)
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
            self.at(self.now + self._delay(), lambda: self._receive_datagram(to, data, self._address(sender)))

    def _receive_datagram(self, to: str, data: bytes, address: str) -> None:
        process = self.processes.get(to)
        if process is not None:
            self._deliver(process, events.MessageReceived(wire.unseal(data, [SECRET]), address))

    def _exchange_state(self, process: SimulatedProcess, address: str, message: wire.SwimMessage) -> None:
        links, to = self.links, address.removeprefix("at-")
        size = len(wire.seal(message, SECRET))
        self._count_bytes(process.name, size + TCP_OVERHEAD_BYTES)

        def finish(answer: wire.SwimMessage | None) -> None:
            self._deliver(process, events.StateExchangeFinished(address, message.request_id, answer))

        def receive() -> None:
            other = self.processes.get(to)
            connected = links.streams and links.passes(process.name, to) and links.passes(to, process.name)
            if not connected or other is None or self.now < other.paused_until:
                self.at(self.now + self.config.probe_timeout_ms, lambda: finish(None))
                return
            actions = other.protocol.handle(
                other.clock(self.now), [events.MessageReceived(message, self._address(process.name), True)]
            )
            replies = [
                action.message for action in actions if isinstance(action, events.ReplyToStateExchange)
            ]
            self._execute(other, actions)
            for reply in replies[:1]:
                self._count_bytes(to, len(wire.seal(reply, SECRET)))
                self.at(self.now + self._delay(), lambda reply=reply: finish(reply))  # type: ignore[misc]
            if not replies:
                self.at(self.now + self.config.probe_timeout_ms, lambda: finish(None))

        # TCP retransmits lost segments, so an exchange is late rather than lost.
        retransmissions = 0.0
        while links.loss and retransmissions < 3 and self.rng.random() < links.loss:
            retransmissions += 1
        self.at(self.now + 2 * self._delay() + retransmissions * 200.0, receive)
