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
from winchdyke.membership.bounds import Bounds
from winchdyke.membership.datagrams import Entry, Envelope, Kind, State
from winchdyke.membership.dissemination import Gossip
from winchdyke.membership.events import Action, Arrived, Exchange, Exchanged, Leave, Note, Own, Reply, Tell
from winchdyke.membership.local_health import Health, Sleep
from winchdyke.membership.member_table import Link, Member, MemberTable, said
from winchdyke.membership.view import Event, View, event, seen

STEP = (
    1 << 16
)  # between the lives of one name where the clock does not tell them apart: the low bits are drawn
ENTRY_ROOM = (
    datagrams.DATAGRAM_MOST - datagrams.HEAD - 3 * (datagrams.NAME_MOST + 2) - 4 * 9 - 12
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

    def __init__(self, own: Own, bounds: Bounds, seed: int, now: float) -> None:
        self.own, self.bounds, self.random = own, bounds, random.Random(seed)
        self.life, self.incarnation, self.counter = own.life, 0, 0
        self.book, self.gossip = MemberTable(own.name, bounds), Gossip()
        self.health, self.sleep = Health(bounds.health_most), Sleep(now, bounds.pause)
        self.counts: Counter[str] = Counter()
        self.began = now
        self.left, self.alone = False, True
        self.seeds, self.at = own.seeds, dict(own.at)
        self._numbers = self.random.getrandbits(48) << 8  # of probes: not to be guessed by who replays
        self._round: list[str] = []
        self._probes: dict[int, _Probe] = {}
        self._probe_at = now + self.random.random() * bounds.interval
        self._exchange_at = now + bounds.exchange * (0.5 + self.random.random())
        self._seed_at, self._seed_gap, self._seed_next = now, bounds.retry, 0
        self._dead_at, self._dead_gap = now + bounds.retry, bounds.retry
        self._trying: dict[int, str] = {}  # exchanges under way: number to address
        self._duel: tuple[int, int, float] | None = None  # number, the other's life, until when
        self._event: Event | None = None
        self._view: View | None = None
        self._told: list[Action] = []
        self.now = now

    # The outside.

    def handle(self, now: float, happened: list[Arrived | Exchanged]) -> list[Action]:
        """Take in what has happened, and time; what is to be done. After :meth:`leave` nothing more is done."""
        self.now, self._told = now, []
        late = self.sleep.look(now)
        if late:
            self._woke(late)
        if not self.left:
            for what in happened:
                if isinstance(what, Arrived):
                    self._arrived(what)
                else:
                    self._exchanged(what)
            self._time()
        self.sleep.expect(max(now, self.due))
        return self._told

    @property
    def due(self) -> float:
        """When to call again at the latest."""
        return min(self.now + LOOK_MS, self._probe_at)

    def leave(self, now: float) -> list[Action]:
        """Say goodbye to some, who tell the others; nothing is done after it."""
        self.now, self._told = now, []
        if self.left:
            return []
        self.left = True
        goodbye = said(self._self(), State.LEFT, self.own.name)
        there = self.book.there()
        for member in self.random.sample(there, min(LEAVE_TELLS, len(there))):
            self._tell(member.name, Kind.PING, entries=[goodbye])
        self._note("left")
        return self._told

    def expect(self, seeds: tuple[str, ...], at: dict[str, str], soon: bool = True) -> None:
        """Other seeds and addresses; tried ``soon``, or as seeds are tried anyway. Who is alone always tries soon.

        Soon is spread over the first gap: all gateways hear of a changed list, or of an instant of the settings, at one time.
        """
        self.seeds, self.at = seeds, dict(at)
        if soon or not self.book.there():
            self._seed_gap = self.bounds.retry
            self._seed_at = min(self._seed_at, self.now + self.random.random() * self._seed_gap)

    def view(self, now: float) -> View:
        """The snapshot; the same object until something changes."""
        version = self.book.version
        if self._view is None or self._view.version != version:
            members = sorted(self.book.members.values(), key=lambda member: member.name)
            self._event = event(members, self.own.zone)
            self._view = View(
                self.own.name, version, now, self.own.zone,
                tuple(seen(member, self.own.gateways) for member in members),
                self._event, self.health.score, self.alone,
            )  # fmt: skip
        return self._view

    # What arrives.

    def _arrived(self, what: Arrived) -> None:
        message, name = what.message, what.message.sender
        self.counts["arrived"] += 1
        if message.to not in ("", self.own.name):
            # Its sender knows another member at this address: it hears nothing and finds out.
            self.counts["misaddressed"] += 1
            return
        if name == self.own.name:
            self._namesake(message, what)
            return
        for entry in message.entries:
            if (
                entry.name == name
            ):  # what it says of itself, first: so that even its first message counts as heard
                self._learn(entry, name)
        why = self.book.hears(name, message.life, message.counter, self.now)
        if why:
            self.counts[why] += 1
            return
        if self.alone:
            self.alone = False
            self._note("joined", name)
        for entry in message.entries:
            if entry.name != name:
                self._learn(entry, name)
        if message.kind == Kind.PING:
            member = self.book.members.get(name)
            asker = self.book.members.get(message.target) if message.target else member
            age = -1 if asker is None or asker.heard < -1e17 else max(0, int(self.now - asker.heard))
            self._answer(message, what, Kind.ACK, age)
        elif message.kind == Kind.ASK:
            self._help(message)
        elif message.kind in (Kind.ACK, Kind.NACK):
            self._acked(message)
        elif message.kind == Kind.EXCHANGE and what.stream:
            self._told.append(Reply(self._message(name, Kind.EXCHANGE, message.number, entries=self._all())))

    def _answer(self, message: Envelope, what: Arrived, kind: Kind, age: int) -> None:
        member = self.book.members.get(message.sender)
        address = self.at.get(message.sender) or (member.entry.address if member else what.address)
        first = member.entry if member is not None and member.state in (State.SUSPECT, State.DEAD) else None
        reply = self._message(message.sender, kind, message.number, age=age, first=first)
        self._told.append(Tell(address or what.address, reply))

    def _help(self, message: Envelope) -> None:
        member = self.book.members.get(message.target)
        if member is None:
            return
        timeout = self.bounds.timeout
        probe = self._begin(member.name, timeout * NACK_PART, self.bounds.interval)
        probe.for_whom, probe.for_number = message.sender, message.number
        self._tell(member.name, Kind.PING, probe.number, target=message.sender)

    def _acked(self, message: Envelope) -> None:
        if self._duel is not None and message.number == self._duel[0]:
            return
        probe = self._probes.get(message.number)
        if probe is None:
            self.counts["unasked"] += 1
            return
        if message.kind == Kind.NACK:
            probe.nacked.add(message.sender)
            return
        if message.sender == probe.name:
            member = self.book.members.get(probe.name)
            if member is not None and message.life == member.entry.life:
                member.answered = self.now
                self._sight(member)
            if probe.for_whom:
                self._tell(probe.for_whom, Kind.ACK, probe.for_number, target=probe.name, age=message.age)
                del self._probes[probe.number]
                return
            if member is not None:
                untried = member.link is Link.UNTRIED  # as it should be: no news for people
                if self.book.links(member, Link.BOTH, self.now) and not untried:
                    self._linked(member)
            if not probe.done and self.now <= probe.direct_due:
                self.health.better()
            probe.done = True
            del self._probes[probe.number]
        elif message.sender in probe.asked and message.target == probe.name:
            probe.indirect = True
            if message.age >= 0:
                probe.age = message.age if probe.age < 0 else min(probe.age, message.age)

    def _sight(self, member: Member) -> None:
        """It answered a number drawn here: whatever others say of this incarnation, it is there."""
        if member.state is State.SUSPECT and member.suspicion is not None:
            # The accusation goes on its way to it, and its refutation clears it for all; here it can't run out meanwhile.
            member.suspicion.since = self.now
        elif member.state is State.DEAD:
            # Hears of its death with the next ping: it is in the answer's first entry.
            self._tell(member.name, Kind.PING, self._number(), first=member.entry)

    # Words on members.

    def _learn(self, entry: Entry, teller: str) -> None:
        if entry.name == self.own.name:
            self._of_self(entry, teller)
            return
        was = self.book.members.get(entry.name)
        before = None if was is None else was.entry
        member = self.book.learn(entry, self.now, teller)
        if member is None:
            return
        self.gossip.tell(member.entry)
        self._changed(member, before, teller)

    def _changed(self, member: Member, before: Entry | None, teller: str) -> None:
        entry, name = member.entry, member.name
        if before is None:
            if member.there:
                self._note("found", name, f"at {entry.address}, told by {teller}")
            if entry.index >= self.own.gateways > 0:
                self._note("index-unknown", name, f"index {entry.index}, of {self.own.gateways}")
        elif entry.life > before.life:
            self._note("started-anew", name)
        if before is not None and entry.address != before.address:
            self._note("moved", name, f"from {before.address} to {entry.address}")
        state = State(entry.state)
        if before is not None and state != before.state:
            code = {State.ALIVE: "alive", State.SUSPECT: "suspect", State.DEAD: "dead", State.LEFT: "left"}[
                state
            ]
            self._note(code, name, f"by {entry.by or name}, told by {teller}")
        if state is State.DEAD:
            self._dead_gap = self.bounds.retry
            self._dead_at = min(self._dead_at, self.now + self._dead_gap * (0.5 + self.random.random()))

    def _of_self(self, entry: Entry, teller: str) -> None:
        if entry.life < self.life:
            self.counts["accused-earlier-life"] += 1
            return
        if entry.life > self.life:
            self._other_life(entry)
            return
        if entry.state == State.ALIVE or entry.incarnation < self.incarnation:
            return
        # Refuted: only this process raises its own incarnation, past any word on it; past the last one by a later life.
        if entry.incarnation >= datagrams.NUMBER_MOST:
            self._renew(self.life)
        else:
            self.incarnation = entry.incarnation + 1
        self.health.worse()
        self.counts["refuted"] += 1
        self._note("refuted", entry.by or teller, State(entry.state).name.lower())
        self.gossip.tell(self._self())
        accuser = self.book.members.get(entry.by)
        for name in {teller, accuser.name if accuser is not None and accuser.there else teller}:
            self._tell(name, Kind.PING, self._number())

    def _other_life(self, entry: Entry) -> None:
        """A later life under this name: a process before this one whose clock was ahead, or another that runs now."""
        if entry.state != State.ALIVE or entry.address == self.own.address:
            self._renew(entry.life)
        elif self._duel is None:
            number = self._number()
            self._duel = number, entry.life, self.now + self.bounds.interval * 2
            self._told.append(Tell(entry.address, self._message(self.own.name, Kind.PING, number)))

    def _renew(self, above: int) -> None:
        self.life = min(datagrams.NUMBER_MOST, (above // STEP + 1) * STEP + self.random.getrandbits(16))
        self.incarnation, self.counter = 0, 0
        self._note("renewed", self.own.name, "a process of this name had a later life: this one is later now")
        self.gossip.tell(self._self())

    def _namesake(self, message: Envelope, what: Arrived) -> None:
        """Another process uses this name, or an own datagram came back."""
        if message.life == self.life:
            self.counts["own"] += 1
        elif message.life < self.life:
            # The earlier one: it is told by the answer, which bears a later life.
            if message.kind in (Kind.PING, Kind.EXCHANGE):
                reply = self._message(self.own.name, Kind.ACK, message.number)
                self._told.append(Reply(reply) if what.stream else Tell(what.address, reply))
            self.counts["namesake"] += 1
        else:
            self._superseded(what.address)

    def _superseded(self, address: str) -> None:
        self._note(
            "superseded",
            self.own.name,
            f"a later process with this name runs at {address}: this one leaves the fleet",
        )
        self._told.append(Leave(f"a later process named {self.own.name} runs at {address}"))
        self.left = True

    # Time.

    def _woke(self, late: float) -> None:
        """This process did not run: it judges nobody by what it missed, doubts itself, and asks what is said of it."""
        self.health.worse()
        self.book.shift(late)
        self._probes.clear()
        self._probe_at = max(self._probe_at, self.now)
        self._note("slept", text=f"{late:.0f} ms")
        self._exchange_at = min(self._exchange_at, self.now)

    def _time(self) -> None:
        for probe in list(self._probes.values()):
            self._look(probe)
        for member in self.book.overdue(self.now):
            self._expire(member)
        if self._duel is not None and self.now >= self._duel[2]:
            life, self._duel = self._duel[1], None
            self._renew(life)
        if self.now >= self._probe_at:
            self._probe_at = self.now + self.bounds.interval * self.health.factor
            self._probe_next()
        if self.now >= self._exchange_at:
            self._exchange_at = self.now + self.bounds.exchange * (0.5 + self.random.random())
            there = self.book.there()
            if there:
                self._exchange(self._address(self.random.choice(there)))
        if self.now >= self._dead_at:
            self._try_dead()
        if self.now >= self._seed_at:
            self._try_seed()
        for name in self.book.forget(self.now):
            self.gossip.forget(name)

    def _probe_next(self) -> None:
        while self._round:
            member = self.book.members.get(self._round.pop())
            if member is not None and member.there:
                break
        else:
            self._round = [member.name for member in self.book.there()]
            self.random.shuffle(self._round)
            if not self._round:
                return
            member = self.book.members[self._round.pop()]
        factor = self.health.factor
        probe = self._begin(member.name, self.bounds.timeout * factor, self.bounds.interval * factor)
        self._tell(member.name, Kind.PING, probe.number, first=_accused(member))

    def _begin(self, name: str, direct: float, whole: float) -> _Probe:
        probe = _Probe(name, self._number(), self.now, self.now + direct, self.now + whole)
        self._probes[probe.number] = probe
        return probe

    def _look(self, probe: _Probe) -> None:
        if probe.for_whom:
            if self.now >= probe.direct_due and not probe.done:
                probe.done = True
                self._tell(probe.for_whom, Kind.NACK, probe.for_number, target=probe.name)
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
            for member in self.book.there()
            if member.name != probe.name and member.state is State.ALIVE
        ]
        helpers = self.random.sample(others, min(self.bounds.helpers, len(others)))
        probe.asked = tuple(helper.name for helper in helpers)
        for name in probe.asked:
            self._tell(name, Kind.ASK, probe.number, target=probe.name)
        member = self.book.members.get(probe.name)
        if member is not None:  # datagrams may be lost where streams pass
            self._exchange(self._address(member), probe.number)

    def _judge(self, probe: _Probe) -> None:
        member = self.book.members.get(probe.name)
        if member is None or not member.there:
            return
        # Lifeguard: helpers that did not even say that they wait show that it is this process that hears nothing.
        missed = len(probe.asked) - len(probe.nacked) if not probe.indirect else 0
        self.health.worse(missed if probe.asked else 1)
        heard = member.heard >= probe.began
        if probe.indirect or heard:
            hears_me = 0 <= probe.age <= self.now - probe.began
            link = Link.DEAF if heard and not hears_me else Link.MUTE if hears_me and not heard else Link.CUT
            if heard and hears_me:
                link = Link.BOTH  # only the answer was lost
            if self.book.links(member, link, self.now):
                self._linked(member)
            return
        if member.state is State.ALIVE:
            self._learn(said(member.entry, State.SUSPECT, self.own.name), self.own.name)
        elif member.suspicion is not None:
            member.suspicion.by.add(self.own.name)

    def _expire(self, member: Member) -> None:
        suspicion = member.suspicion
        assert suspicion is not None
        if member.answered >= suspicion.since or member.heard >= suspicion.since:
            # Sight: it was heard since. It may not hear that it is accused; who does hear it keeps it.
            self._clear(member)
            return
        self._learn(said(member.entry, State.DEAD, self.own.name), self.own.name)

    def _clear(self, member: Member) -> None:
        """By sight, here alone: not told on, since only the member itself clears its name for others."""
        before = member.entry
        member.entry, member.suspicion, member.since = (
            said(before, State.ALIVE, self.own.name),
            None,
            self.now,
        )
        self.book.version += 1
        self.gossip.forget(member.name)
        self._note("alive", member.name, "heard here while others suspect it")

    def _try_dead(self) -> None:
        self._dead_gap = min(self.bounds.retry_most, 2 * self._dead_gap)
        self._dead_at = self.now + self._dead_gap * (0.5 + self.random.random())
        dead = [member for member in self.book.members.values() if member.state is State.DEAD]
        if dead:
            self._exchange(self._address(self.random.choice(dead)))

    def _try_seed(self) -> None:
        """Where nobody is there, and now and then where somebody is: a fleet that was cut meets again at its seeds."""
        alone = not self.book.there()
        self._seed_gap = min(self.bounds.retry_most, 2 * self._seed_gap) if alone else self.bounds.exchange
        self._seed_at = self.now + self._seed_gap * (0.5 + self.random.random())
        reached = {self._address(member) for member in self.book.there()}
        away = [seed for seed in self.seeds if seed not in reached and seed != self.own.address]
        if away:
            self._seed_next += 1
            self._exchange(away[self._seed_next % len(away)])

    # Exchanges.

    def _exchange(self, address: str, number: int = 0) -> None:
        number = number or self._number()
        if address in self._trying.values():
            return
        self._trying[number] = address
        message = self._message("", Kind.EXCHANGE, number, entries=self._all())
        self._told.append(Exchange(address, message))

    def _exchanged(self, what: Exchanged) -> None:
        if self._trying.pop(what.number, None) is None:
            return
        message = what.message
        if message is None or message.number != what.number:
            self.counts["exchange-failed"] += 1
            return
        self.counts["exchanged"] += 1
        if message.sender == self.own.name:
            if message.life > self.life:
                self._superseded(what.address)
            return
        for entry in message.entries:
            self._learn(entry, message.sender)
        why = self.book.hears(message.sender, message.life, message.counter, self.now)
        member = self.book.members.get(message.sender)
        if why or member is None:
            self.counts[why or "unknown"] += 1
            return
        if self.alone:
            self.alone = False
            self._note("joined", message.sender)
        self._sight(member)
        probe = self._probes.get(what.number)
        if probe is not None and probe.name == message.sender:
            probe.indirect = True

    # Making messages.

    def _self(self) -> Entry:
        own = self.own
        return Entry(
            own.name, own.address, own.zone, own.index, self.life, self.incarnation, int(State.ALIVE)
        )

    def _all(self) -> list[Entry]:
        return [self._self(), *(member.entry for member in self.book.members.values())]

    def _number(self) -> int:
        self._numbers += 1 + self.random.getrandbits(8)
        return self._numbers & datagrams.NUMBER_MOST

    def _message(
        self,
        to: str,
        kind: Kind,
        number: int = 0,
        target: str = "",
        age: int = -1,
        entries: list[Entry] | None = None,
        first: Entry | None = None,
    ) -> Envelope:
        if self.counter >= datagrams.NUMBER_MOST:
            self._renew(self.life)  # the counts of one life are used up
        self.counter += 1
        if entries is None:
            own = self._self()
            room = ENTRY_ROOM - datagrams.size(own)
            entries = [own, *self.gossip.take(room, self.bounds.sends(self.book.size), first)]
        return Envelope(
            self.own.name,
            self.life,
            self.counter,
            to,
            int(kind),
            number,
            target,
            min(age, datagrams.NUMBER_MOST),
            entries,
        )

    def _tell(
        self,
        name: str,
        kind: Kind,
        number: int = 0,
        target: str = "",
        age: int = -1,
        entries: list[Entry] | None = None,
        first: Entry | None = None,
    ) -> None:
        member = self.book.members.get(name)
        if member is not None:
            message = self._message(name, kind, number, target, age, entries, first)
            self._told.append(Tell(self._address(member), message))

    def _address(self, member: Member) -> str:
        return self.at.get(member.name, member.entry.address)

    def _note(self, code: str, member: str = "", text: str = "") -> None:
        self.counts[f"note:{code}"] += 1
        self._told.append(Note(code, member, text))

    def _linked(self, member: Member) -> None:
        self._note(f"link-{member.link.value}", member.name)


def _accused(member: Member) -> Entry | None:
    return member.entry if member.state is State.SUSPECT else None
