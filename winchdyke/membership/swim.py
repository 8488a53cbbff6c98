"""Who is there: SWIM with suspicion, Lifeguard's local health, sleep told by the own clock, one-sided cuts. Pure.

A :class:`Machine` is handed what happens with the time (ms, monotonic) and gives back what is to be done. It probes one member
an interval, in a shuffled round. Where no direct answer comes in time it asks several others to probe, and TCP as well; any of
these answering keeps the member alive, and how the answers came tells who hears whom. Where none comes the member is suspect;
it hears that first and refutes it by a higher incarnation, or is dead when the suspicion's time is over.

What it can be sure of, and for how long not, is in ``docs/fleet.md``.
"""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import dataclass, field

from winchdyke.membership import datagrams
from winchdyke.membership.datagrams import MemberRecord, MemberState, MessageKind, SwimMessage
from winchdyke.membership.dissemination import GossipQueue
from winchdyke.membership.events import (
    Action,
    LocalMember,
    MessageReceived,
    ReplyToStateExchange,
    ReportEvent,
    SendDatagram,
    StartStateExchange,
    StateExchangeFinished,
    StopMembership,
)
from winchdyke.membership.local_health import LocalHealth, PauseDetector
from winchdyke.membership.member_table import LinkState, Member, MemberTable, with_state
from winchdyke.membership.swim_config import SwimConfig
from winchdyke.membership.view import MembershipView, Outage, detect_outage, member_view

GENERATION_STEP = (
    1 << 16
)  # between the lives of one name where the clock does not tell them apart: the low bits are drawn
ENTRY_ROOM = (
    datagrams.MAX_DATAGRAM_BYTES - datagrams.HEADER_BYTES - 3 * (datagrams.MAX_NAME_BYTES + 2) - 4 * 9 - 12
)  # beside the other fields at their largest
NACK_PART = 0.8  # of a helper's time-out, after which it says that it waits as well
LOOK_MS = 100.0  # between looks at what only time changes
LEAVE_TELLS = 3  # members that hear a leave straight from who leaves


@dataclass
class _Probe:
    """A probe under way, for this member or asked for by another."""

    name: str
    number: int
    began: float
    direct_due: float
    end: float
    asked: tuple[str, ...] = ()  # helpers
    for_whom: str = ""  # who asked for it, with which number
    for_number: int = 0
    nacked: set[str] = field(default_factory=set)
    indirect: bool = False  # a helper, or TCP, reached it
    age: int = -1  # ms since it heard this one, by its own word through a helper
    done: bool = False


class SwimProtocol:
    """The membership of one process."""

    def __init__(self, own: LocalMember, bounds: SwimConfig, seed: int, now: float) -> None:
        self.local, self.config, self.random = own, bounds, random.Random(seed)
        self.generation, self.incarnation, self.message_counter = own.generation, 0, 0
        self.table, self.gossip = MemberTable(own.name, bounds), GossipQueue()
        self.health, self.pause_detector = (
            LocalHealth(bounds.max_local_health_score),
            PauseDetector(now, bounds.min_pause_ms),
        )
        self.counts: Counter[str] = Counter()
        self.started_at_ms = now
        self.has_left, self.is_isolated = False, True
        self.seeds, self.address_overrides = own.seeds, dict(own.address_overrides)
        self._numbers = self.random.getrandbits(48) << 8  # of probes: not to be guessed by who replays
        self._round: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._probe_at = now + self.random.random() * bounds.probe_interval_ms
        self._exchange_at = now + bounds.state_exchange_interval_ms * (0.5 + self.random.random())
        self._seed_at, self._seed_gap, self._seed_next = now, bounds.min_reconnect_backoff_ms, 0
        self._dead_at, self._dead_gap = now + bounds.min_reconnect_backoff_ms, bounds.min_reconnect_backoff_ms
        self._trying: dict[int, str] = {}  # exchanges under way: number to address
        self._duel: tuple[int, int, float] | None = None  # number, the other's life, until when
        self._event: Outage | None = None
        self._view: MembershipView | None = None
        self._told: list[Action] = []
        self.now = now

    # The outside.

    def handle(self, now: float, happened: list[MessageReceived | StateExchangeFinished]) -> list[Action]:
        """Take in what has happened, and time; what is to be done. After :meth:`leave` nothing more is done."""
        self.now, self._told = now, []
        late = self.pause_detector.check(now)
        if late:
            self._woke(late)
        if not self.has_left:
            for what in happened:
                if isinstance(what, MessageReceived):
                    self._arrived(what)
                else:
                    self._exchanged(what)
            self._time()
        self.pause_detector.expect_turn_by(max(now, self.next_turn_ms))
        return self._told

    @property
    def next_turn_ms(self) -> float:
        """When to call again at the latest."""
        return min(self.now + LOOK_MS, self._probe_at)

    def leave(self, now: float) -> list[Action]:
        """Say goodbye to some, who tell the others; nothing is done after it."""
        self.now, self._told = now, []
        if self.has_left:
            return []
        self.has_left = True
        goodbye = with_state(self._self(), MemberState.LEFT, self.local.name)
        there = self.table.active_members()
        for member in self.random.sample(there, min(LEAVE_TELLS, len(there))):
            self._tell(member.name, MessageKind.PING, entries=[goodbye])
        self._note("left")
        return self._told

    def update_addresses(self, seeds: tuple[str, ...], at: dict[str, str], soon: bool = True) -> None:
        """Other seeds and addresses; tried ``soon``, or as seeds are tried anyway. Who is alone always tries soon.

        Soon is spread over the first gap: all gateways hear of a changed list, or of an instant of the settings, at one time.
        """
        self.seeds, self.address_overrides = seeds, dict(at)
        if soon or not self.table.active_members():
            self._seed_gap = self.config.min_reconnect_backoff_ms
            self._seed_at = min(self._seed_at, self.now + self.random.random() * self._seed_gap)

    def view(self, now: float) -> MembershipView:
        """The snapshot; the same object until something changes."""
        version = self.table.version
        if self._view is None or self._view.version != version:
            members = sorted(self.table.members.values(), key=lambda member: member.name)
            self._event = detect_outage(members, self.local.zone)
            self._view = MembershipView(
                self.local.name, version, now, self.local.zone,
                tuple(member_view(member, self.local.gateway_count) for member in members),
                self._event, self.health.score, self.is_isolated,
            )  # fmt: skip
        return self._view

    # What arrives.

    def _arrived(self, what: MessageReceived) -> None:
        message, name = what.message, what.message.sender
        self.counts["arrived"] += 1
        if message.recipient not in ("", self.local.name):
            # Its sender knows another member at this address: it hears nothing and finds out.
            self.counts["misaddressed"] += 1
            return
        if name == self.local.name:
            self._namesake(message, what)
            return
        for entry in message.records:
            if (
                entry.name == name
            ):  # what it says of itself, first: so that even its first message counts as heard
                self._learn(entry, name)
        why = self.table.accept_message(name, message.generation, message.message_counter, self.now)
        if why:
            self.counts[why] += 1
            return
        if self.is_isolated:
            self.is_isolated = False
            self._note("joined", name)
        for entry in message.records:
            if entry.name != name:
                self._learn(entry, name)
        if message.kind == MessageKind.PING:
            member = self.table.members.get(name)
            asker = self.table.members.get(message.target) if message.target else member
            age = (
                -1
                if asker is None or asker.last_received_ms < -1e17
                else max(0, int(self.now - asker.last_received_ms))
            )
            self._answer(message, what, MessageKind.ACK, age)
        elif message.kind == MessageKind.PING_REQ:
            self._help(message)
        elif message.kind in (MessageKind.ACK, MessageKind.NACK):
            self._acked(message)
        elif message.kind == MessageKind.STATE_EXCHANGE and what.is_state_exchange:
            self._told.append(
                ReplyToStateExchange(
                    self._message(name, MessageKind.STATE_EXCHANGE, message.request_id, entries=self._all())
                )
            )

    def _answer(self, message: SwimMessage, what: MessageReceived, kind: MessageKind, age: int) -> None:
        member = self.table.members.get(message.sender)
        address = self.address_overrides.get(message.sender) or (
            member.record.address if member else what.address
        )
        first = (
            member.record
            if member is not None and member.state in (MemberState.SUSPECT, MemberState.DEAD)
            else None
        )
        reply = self._message(message.sender, kind, message.request_id, age=age, first=first)
        self._told.append(SendDatagram(address or what.address, reply))

    def _help(self, message: SwimMessage) -> None:
        member = self.table.members.get(message.target)
        if member is None:
            return
        timeout = self.config.probe_timeout_ms
        probe = self._begin(member.name, timeout * NACK_PART, self.config.probe_interval_ms)
        probe.for_whom, probe.for_number = message.sender, message.request_id
        self._tell(member.name, MessageKind.PING, probe.number, target=message.sender)

    def _acked(self, message: SwimMessage) -> None:
        if self._duel is not None and message.request_id == self._duel[0]:
            return
        probe = self._probes.get(message.request_id)
        if probe is None:
            self.counts["unasked"] += 1
            return
        if message.kind == MessageKind.NACK:
            probe.nacked.add(message.sender)
            return
        if message.sender == probe.name:
            member = self.table.members.get(probe.name)
            if member is not None and message.generation == member.record.generation:
                member.last_ack_ms = self.now
                self._sight(member)
            if probe.for_whom:
                self._tell(
                    probe.for_whom,
                    MessageKind.ACK,
                    probe.for_number,
                    target=probe.name,
                    age=message.target_silence_ms,
                )
                del self._probes[probe.number]
                return
            if member is not None:
                untried = member.link_state is LinkState.UNTRIED  # as it should be: no news for people
                if self.table.update_link(member, LinkState.BIDIRECTIONAL, self.now) and not untried:
                    self._linked(member)
            if not probe.done and self.now <= probe.direct_due:
                self.health.improve()
            probe.done = True
            del self._probes[probe.number]
        elif message.sender in probe.asked and message.target == probe.name:
            probe.indirect = True
            if message.target_silence_ms >= 0:
                probe.age = (
                    message.target_silence_ms if probe.age < 0 else min(probe.age, message.target_silence_ms)
                )

    def _sight(self, member: Member) -> None:
        """It answered a number drawn here: whatever others say of this incarnation, it is there."""
        if member.state is MemberState.SUSPECT and member.suspicion is not None:
            # The accusation goes on its way to it, and its refutation clears it for all; here it can't run out meanwhile.
            member.suspicion.started_at_ms = self.now
        elif member.state is MemberState.DEAD:
            # Hears of its death with the next ping: it is in the answer's first entry.
            self._tell(member.name, MessageKind.PING, self._number(), first=member.record)

    # Words on members.

    def _learn(self, entry: MemberRecord, teller: str) -> None:
        if entry.name == self.local.name:
            self._of_self(entry, teller)
            return
        was = self.table.members.get(entry.name)
        before = None if was is None else was.record
        member = self.table.apply(entry, self.now, teller)
        if member is None:
            return
        self.gossip.enqueue(member.record)
        self._changed(member, before, teller)

    def _changed(self, member: Member, before: MemberRecord | None, teller: str) -> None:
        entry, name = member.record, member.name
        if before is None:
            if member.is_active:
                self._note("found", name, f"at {entry.address}, told by {teller}")
            if entry.index >= self.local.gateway_count > 0:
                self._note("index-unknown", name, f"index {entry.index}, of {self.local.gateway_count}")
        elif entry.generation > before.generation:
            self._note("started-anew", name)
        if before is not None and entry.address != before.address:
            self._note("moved", name, f"from {before.address} to {entry.address}")
        state = MemberState(entry.state)
        if before is not None and state != before.state:
            code = {
                MemberState.ALIVE: "alive",
                MemberState.SUSPECT: "suspect",
                MemberState.DEAD: "dead",
                MemberState.LEFT: "left",
            }[state]
            self._note(code, name, f"by {entry.reported_by or name}, told by {teller}")
        if state is MemberState.DEAD:
            self._dead_gap = self.config.min_reconnect_backoff_ms
            self._dead_at = min(self._dead_at, self.now + self._dead_gap * (0.5 + self.random.random()))

    def _of_self(self, entry: MemberRecord, teller: str) -> None:
        if entry.generation < self.generation:
            self.counts["accused-earlier-life"] += 1
            return
        if entry.generation > self.generation:
            self._other_life(entry)
            return
        if entry.state == MemberState.ALIVE or entry.incarnation < self.incarnation:
            return
        # Refuted: only this process raises its own incarnation, past any word on it; past the last one by a later life.
        if entry.incarnation >= datagrams.MAX_INTEGER:
            self._renew(self.generation)
        else:
            self.incarnation = entry.incarnation + 1
        self.health.degrade()
        self.counts["refuted"] += 1
        self._note("refuted", entry.reported_by or teller, MemberState(entry.state).name.lower())
        self.gossip.enqueue(self._self())
        accuser = self.table.members.get(entry.reported_by)
        for name in {teller, accuser.name if accuser is not None and accuser.is_active else teller}:
            self._tell(name, MessageKind.PING, self._number())

    def _other_life(self, entry: MemberRecord) -> None:
        """A later life under this name: a process before this one whose clock was ahead, or another that runs now."""
        if entry.state != MemberState.ALIVE or entry.address == self.local.address:
            self._renew(entry.generation)
        elif self._duel is None:
            number = self._number()
            self._duel = number, entry.generation, self.now + self.config.probe_interval_ms * 2
            self._told.append(
                SendDatagram(entry.address, self._message(self.local.name, MessageKind.PING, number))
            )

    def _renew(self, above: int) -> None:
        self.generation = min(
            datagrams.MAX_INTEGER,
            (above // GENERATION_STEP + 1) * GENERATION_STEP + self.random.getrandbits(16),
        )
        self.incarnation, self.message_counter = 0, 0
        self._note(
            "renewed", self.local.name, "a process of this name had a later life: this one is later now"
        )
        self.gossip.enqueue(self._self())

    def _namesake(self, message: SwimMessage, what: MessageReceived) -> None:
        """Another process uses this name, or an own datagram came back."""
        if message.generation == self.generation:
            self.counts["own"] += 1
        elif message.generation < self.generation:
            # The earlier one: it is told by the answer, which bears a later life.
            if message.kind in (MessageKind.PING, MessageKind.STATE_EXCHANGE):
                reply = self._message(self.local.name, MessageKind.ACK, message.request_id)
                self._told.append(
                    ReplyToStateExchange(reply)
                    if what.is_state_exchange
                    else SendDatagram(what.address, reply)
                )
            self.counts["namesake"] += 1
        else:
            self._superseded(what.address)

    def _superseded(self, address: str) -> None:
        self._note(
            "superseded",
            self.local.name,
            f"a later process with this name runs at {address}: this one leaves the fleet",
        )
        self._told.append(StopMembership(f"a later process named {self.local.name} runs at {address}"))
        self.has_left = True

    # Time.

    def _woke(self, late: float) -> None:
        """This process did not run: it judges nobody by what it missed, doubts itself, and asks what is said of it."""
        self.health.degrade()
        self.table.discount_pause(late)
        self._probes.clear()
        self._probe_at = max(self._probe_at, self.now)
        self._note("slept", text=f"{late:.0f} ms")
        self._exchange_at = min(self._exchange_at, self.now)

    def _time(self) -> None:
        for probe in list(self._probes.values()):
            self._look(probe)
        for member in self.table.expired_suspects(self.now):
            self._expire(member)
        if self._duel is not None and self.now >= self._duel[2]:
            life, self._duel = self._duel[1], None
            self._renew(life)
        if self.now >= self._probe_at:
            self._probe_at = self.now + self.config.probe_interval_ms * self.health.multiplier
            self._probe_next()
        if self.now >= self._exchange_at:
            self._exchange_at = self.now + self.config.state_exchange_interval_ms * (
                0.5 + self.random.random()
            )
            there = self.table.active_members()
            if there:
                self._exchange(self._address(self.random.choice(there)))
        if self.now >= self._dead_at:
            self._try_dead()
        if self.now >= self._seed_at:
            self._try_seed()
        for name in self.table.remove_departed(self.now):
            self.gossip.discard(name)

    def _probe_next(self) -> None:
        while self._round:
            member = self.table.members.get(self._round.pop())
            if member is not None and member.is_active:
                break
        else:
            self._round = [member.name for member in self.table.active_members()]
            self.random.shuffle(self._round)
            if not self._round:
                return
            member = self.table.members[self._round.pop()]
        factor = self.health.multiplier
        probe = self._begin(
            member.name, self.config.probe_timeout_ms * factor, self.config.probe_interval_ms * factor
        )
        self._tell(member.name, MessageKind.PING, probe.number, first=_accused(member))

    def _begin(self, name: str, direct: float, whole: float) -> _Probe:
        probe = _Probe(name, self._number(), self.now, self.now + direct, self.now + whole)
        self._probes[probe.number] = probe
        return probe

    def _look(self, probe: _Probe) -> None:
        if probe.for_whom:
            if self.now >= probe.direct_due and not probe.done:
                probe.done = True
                self._tell(probe.for_whom, MessageKind.NACK, probe.for_number, target=probe.name)
            if self.now >= probe.end:
                del self._probes[probe.number]
        elif self.now >= probe.end:
            del self._probes[probe.number]
            self._judge(probe)
        elif self.now >= probe.direct_due and not probe.done:
            probe.done = True
            self._ask_others(probe)

    def _ask_others(self, probe: _Probe) -> None:
        others = [
            member
            for member in self.table.active_members()
            if member.name != probe.name and member.state is MemberState.ALIVE
        ]
        helpers = self.random.sample(others, min(self.config.indirect_probe_count, len(others)))
        probe.asked = tuple(helper.name for helper in helpers)
        for name in probe.asked:
            self._tell(name, MessageKind.PING_REQ, probe.number, target=probe.name)
        member = self.table.members.get(probe.name)
        if member is not None:  # datagrams may be lost where streams pass
            self._exchange(self._address(member), probe.number)

    def _judge(self, probe: _Probe) -> None:
        member = self.table.members.get(probe.name)
        if member is None or not member.is_active:
            return
        # Lifeguard: helpers that did not even say that they wait show that it is this process that hears nothing.
        missed = len(probe.asked) - len(probe.nacked) if not probe.indirect else 0
        self.health.degrade(missed if probe.asked else 1)
        heard = member.last_received_ms >= probe.began
        if probe.indirect or heard:
            hears_me = 0 <= probe.age <= self.now - probe.began
            link = (
                LinkState.OUTBOUND_LOST
                if heard and not hears_me
                else LinkState.INBOUND_LOST
                if hears_me and not heard
                else LinkState.UNREACHABLE
            )
            if heard and hears_me:
                link = LinkState.BIDIRECTIONAL  # only the answer was lost
            if self.table.update_link(member, link, self.now):
                self._linked(member)
            return
        if member.state is MemberState.ALIVE:
            self._learn(with_state(member.record, MemberState.SUSPECT, self.local.name), self.local.name)
        elif member.suspicion is not None:
            member.suspicion.suspected_by.add(self.local.name)

    def _expire(self, member: Member) -> None:
        suspicion = member.suspicion
        assert suspicion is not None
        if (
            member.last_ack_ms >= suspicion.started_at_ms
            or member.last_received_ms >= suspicion.started_at_ms
        ):
            # Sight: it was heard since. It may not hear that it is accused; who does hear it keeps it.
            self._clear(member)
            return
        self._learn(with_state(member.record, MemberState.DEAD, self.local.name), self.local.name)

    def _clear(self, member: Member) -> None:
        """By sight, here alone: not told on, since only the member itself clears its name for others."""
        before = member.record
        member.record, member.suspicion, member.state_since_ms = (
            with_state(before, MemberState.ALIVE, self.local.name),
            None,
            self.now,
        )
        self.table.version += 1
        self.gossip.discard(member.name)
        self._note("alive", member.name, "heard here while others suspect it")

    def _try_dead(self) -> None:
        self._dead_gap = min(self.config.max_reconnect_backoff_ms, 2 * self._dead_gap)
        self._dead_at = self.now + self._dead_gap * (0.5 + self.random.random())
        dead = [member for member in self.table.members.values() if member.state is MemberState.DEAD]
        if dead:
            self._exchange(self._address(self.random.choice(dead)))

    def _try_seed(self) -> None:
        """Where nobody is there, and now and then where somebody is: a fleet that was cut meets again at its seeds."""
        alone = not self.table.active_members()
        self._seed_gap = (
            min(self.config.max_reconnect_backoff_ms, 2 * self._seed_gap)
            if alone
            else self.config.state_exchange_interval_ms
        )
        self._seed_at = self.now + self._seed_gap * (0.5 + self.random.random())
        reached = {self._address(member) for member in self.table.active_members()}
        away = [seed for seed in self.seeds if seed not in reached and seed != self.local.address]
        if away:
            self._seed_next += 1
            self._exchange(away[self._seed_next % len(away)])

    # Exchanges.

    def _exchange(self, address: str, number: int = 0) -> None:
        number = number or self._number()
        if address in self._trying.values():
            return
        self._trying[number] = address
        message = self._message("", MessageKind.STATE_EXCHANGE, number, entries=self._all())
        self._told.append(StartStateExchange(address, message))

    def _exchanged(self, what: StateExchangeFinished) -> None:
        if self._trying.pop(what.request_id, None) is None:
            return
        message = what.message
        if message is None or message.request_id != what.request_id:
            self.counts["exchange-failed"] += 1
            return
        self.counts["exchanged"] += 1
        if message.sender == self.local.name:
            if message.generation > self.generation:
                self._superseded(what.address)
            return
        for entry in message.records:
            self._learn(entry, message.sender)
        why = self.table.accept_message(message.sender, message.generation, message.message_counter, self.now)
        member = self.table.members.get(message.sender)
        if why or member is None:
            self.counts[why or "unknown"] += 1
            return
        if self.is_isolated:
            self.is_isolated = False
            self._note("joined", message.sender)
        self._sight(member)
        probe = self._probes.get(what.request_id)
        if probe is not None and probe.name == message.sender:
            probe.indirect = True

    # Making messages.

    def _self(self) -> MemberRecord:
        own = self.local
        return MemberRecord(
            own.name,
            own.address,
            own.zone,
            own.index,
            self.generation,
            self.incarnation,
            int(MemberState.ALIVE),
        )

    def _all(self) -> list[MemberRecord]:
        return [self._self(), *(member.record for member in self.table.members.values())]

    def _number(self) -> int:
        self._numbers += 1 + self.random.getrandbits(8)
        return self._numbers & datagrams.MAX_INTEGER

    def _message(
        self,
        to: str,
        kind: MessageKind,
        number: int = 0,
        target: str = "",
        age: int = -1,
        entries: list[MemberRecord] | None = None,
        first: MemberRecord | None = None,
    ) -> SwimMessage:
        if self.message_counter >= datagrams.MAX_INTEGER:
            self._renew(self.generation)  # the counts of one life are used up
        self.message_counter += 1
        if entries is None:
            own = self._self()
            room = ENTRY_ROOM - datagrams.encoded_size(own)
            entries = [
                own,
                *self.gossip.select(room, self.config.retransmit_limit(self.table.active_count), first),
            ]
        return SwimMessage(
            self.local.name,
            self.generation,
            self.message_counter,
            to,
            int(kind),
            number,
            target,
            min(age, datagrams.MAX_INTEGER),
            entries,
        )

    def _tell(
        self,
        name: str,
        kind: MessageKind,
        number: int = 0,
        target: str = "",
        age: int = -1,
        entries: list[MemberRecord] | None = None,
        first: MemberRecord | None = None,
    ) -> None:
        member = self.table.members.get(name)
        if member is not None:
            message = self._message(name, kind, number, target, age, entries, first)
            self._told.append(SendDatagram(self._address(member), message))

    def _address(self, member: Member) -> str:
        return self.address_overrides.get(member.name, member.record.address)

    def _note(self, code: str, member: str = "", text: str = "") -> None:
        self.counts[f"note:{code}"] += 1
        self._told.append(ReportEvent(code, member, text))

    def _linked(self, member: Member) -> None:
        self._note(f"link-{member.link_state.value}", member.name)


def _accused(member: Member) -> MemberRecord | None:
    return member.record if member.state is MemberState.SUSPECT else None
