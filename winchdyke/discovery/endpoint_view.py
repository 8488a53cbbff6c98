"""What to believe of the nodes: from lists, their age, and what the nodes' own answers show. Pure.

The state of one node (the machine that ``model.checker`` explores; the page is ``docs/membership.md``):

    doubtful  from a list of old, or left out by a list that lost much: it is tried before it is used
    usable    a source in good health names it, or it has answered under the identity that is expected of it
    cold      usable, but it started lately, or is not known to be warm
    draining  a list or the node itself said so; kept until a later start, or another list says otherwise
    gone      a list left it out, or it does not answer and no list in good health names it
    reused    another store answers at its address: nothing that was meant for the old one goes there

Times are milliseconds of the gateway's monotonic clock; wall time is only kept, to show and to order by, never compared
with a bound, so that a wall clock that is wrong by a day changes nothing. How long a store has been up is its own word.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum

from winchdyke.interface import Endpoint, EndpointStatus


class State(StrEnum):
    """What is believed of a node."""

    DOUBTFUL = "doubtful"
    USABLE = "usable"
    COLD = "cold"
    DRAINING = "draining"
    GONE = "gone"
    REUSED = "reused"


@dataclass(frozen=True, slots=True)
class Entry:
    """One node on a source's list. ``started``: on the gateway's clock, 0 for long ago."""

    name: str
    state: EndpointStatus
    shard: int
    zone: str = ""
    started: float = 0.0
    identity: str = ""


@dataclass(frozen=True, slots=True)
class EndpointEvidence:
    """What a store says of itself: identity, the start it has lived since, for how long (ms), whether it drains."""

    identity: str = ""
    boot: str = ""
    up_ms: float | None = None
    draining: bool = False


@dataclass(slots=True)
class CachedEndpoint:
    """All that is believed of a node, and why, since when."""

    name: str
    shard: int
    zone: str = ""
    state: State = State.DOUBTFUL
    why: str = ""
    since: float = 0.0
    identity: str = ""
    boot: str = ""
    started: float = 0.0  # on the gateway's clock; 0 for long ago
    warm_known: bool = False  # whether anything told how long it has been up
    aged: bool = False  # whether it said so itself, of this start, to this gateway
    drained: bool = False
    listed: bool = False  # the source that counts names it
    by: str = ""  # who confirmed it last, and when by the wall clock (Unix ms)
    confirmed_unix: float = 0.0
    answered: float = -1e18  # when it last answered
    held_since: float | None = None  # left out by a list that lost much, and used on while it answers
    tries: int = 0
    next_try: float = 0.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of belief; times in milliseconds."""

    warm_after: float = 10_000.0
    trial_gap: float = 20.0  # between two trials of doubtful nodes
    retry: float = 500.0  # after a trial that failed, doubling
    retry_most: float = 15_000.0
    vanish_share: float = 0.5  # of the nodes that a list may leave out at once before it is doubted
    hold: float = 300_000.0  # for which such a list is doubted while the nodes answer
    slack: float = 1_000.0  # by which two words on the same start may differ
    heard: float = 10_000.0  # for which an answer counts as answering


@dataclass(slots=True)
class Source:
    """What one source told last."""

    name: str
    entries: dict[str, Entry] = field(default_factory=dict)
    version: int = 0
    told: bool = False
    healthy: bool = False
    back_since: float | None = None  # since when its versions have been older than one seen


class EndpointView:
    """What one gateway believes; ``sources`` in order of precedence."""

    def __init__(self, bounds: Bounds, sources: Iterable[str] = ("list",)) -> None:
        self.bounds = bounds
        self.sources = {name: Source(name) for name in sources}
        self.known: dict[str, CachedEndpoint] = {}
        self.notes: list[str] = []  # what people should hear of, until it is taken
        self._told: dict[str, Endpoint] = {}
        self._next_trial = 0.0

    # What comes in

    def restored(self, kept: Iterable[CachedEndpoint], now: float) -> None:
        """From the disk: nothing of it is used before it is confirmed; a drain and an identity are kept."""
        for each in kept:
            if each.name not in self.known:
                state = State.DRAINING if each.drained else State.DOUBTFUL
                if each.state in (State.GONE, State.REUSED):
                    state = each.state
                self.known[each.name] = replace(
                    each, state=state, why="from the list on the disk", since=now, started=0.0, warm_known=False, aged=False,
                    listed=False, answered=-1e18, held_since=None, tries=0, next_try=now,
                )  # fmt: skip

    def listed(
        self,
        name: str,
        entries: Iterable[Entry],
        now: float,
        unix: float = 0.0,
        whole: bool = True,
        version: int = 0,
        old: bool = False,
    ) -> None:
        """A source told its list, or what changed in it; ``old``: it says itself that this is a copy of old."""
        source = self.sources[name]
        entries = list(entries)
        back = 0 < version < source.version
        if back and source.back_since is None:
            source.back_since = now
            self._note(
                f"{name}: its list went back from version {source.version} to {version}; what came since is kept"
            )
        if back and source.back_since is not None and now - source.back_since >= self.bounds.hold:
            self._note(f"{name}: version {version} has stood for long; it counts from now on")
            back, source.version = False, version
        if not back:
            source.back_since = None
            source.version = version or source.version
        if whole:
            source.entries = {}
        source.entries.update({entry.name: entry for entry in entries})
        source.told = source.healthy = True
        if self._authority() is source:
            self._believe(source, entries if not whole else None, now, unix, back or old)
        for entry in entries:  # a drain counts whoever tells it
            if entry.state is EndpointStatus.DRAINING and entry.name in self.known:
                self._drain(self.known[entry.name], f"drains, by {name}", now)

    def failed(self, name: str, now: float, unix: float = 0.0) -> None:
        """A source did not answer; the next in order counts, where there is one that does."""
        source = self.sources[name]
        was = self._authority()
        source.healthy = False
        after = self._authority()
        if after is not None and after is not was and after.healthy:
            self._believe(after, None, now, unix, False)

    def heard(self, name: str, word: EndpointEvidence, now: float, unix: float = 0.0) -> bool:
        """A node answered. Whether it is the one that is meant: else nothing may be sent there."""
        known = self.known.get(name)
        if known is None:
            return True
        if known.identity and word.identity and word.identity != known.identity:
            if known.state is not State.REUSED:
                self._note(f"{name}: {word.identity} answers where {known.identity} was; it is sent nothing")
            self._set(known, State.REUSED, f"{word.identity} answers at its address", now)
            known.answered = -1e18
            return False
        known.identity = known.identity or word.identity
        restarted = bool(known.boot and word.boot and word.boot != known.boot)
        if restarted or not known.aged:
            self._age(known, word, restarted, now)
        known.boot = word.boot or known.boot
        known.answered, known.tries, known.by, known.confirmed_unix = now, 0, "its answer", unix
        if restarted and not word.draining:
            known.drained = False  # the one that drained is no more
        if word.draining:
            self._drain(known, "drains, by its own word", now)
        elif known.state in (State.DOUBTFUL, State.REUSED) or (
            known.state is State.DRAINING and not known.drained
        ):
            self._confirm(known, "answered under its identity" if known.identity else "answered", now)
        elif known.state in (State.USABLE, State.COLD):
            self._warmth(known, now)
        return not known.drained and known.state is not State.GONE

    def refused(self, name: str, now: float) -> None:
        """A node could not be reached. A list in good health is believed against it; nothing else is."""
        known = self.known.get(name)
        if known is None:
            return
        known.answered = -1e18
        known.tries += 1
        known.next_try = now + min(self.bounds.retry_most, self.bounds.retry * 2 ** min(10, known.tries - 1))
        if known.state in (State.USABLE, State.COLD) and (known.held_since is not None or not known.listed):
            why = (
                "does not answer, and the list left it out"
                if known.held_since is not None
                else "does not answer"
            )
            self._set(known, State.GONE if known.held_since is not None else State.DOUBTFUL, why, now)

    def tick(self, now: float) -> None:
        """What time alone changes: nodes warm up, and a list that stands long enough is believed."""
        for known in self.known.values():
            if known.state is State.COLD:
                self._warmth(known, now)
            if known.held_since is not None and now - known.held_since >= self.bounds.hold:
                known.held_since = None
                self._set(known, State.GONE, "left out by the list for long", now)

    def trial(self, now: float) -> str | None:
        """The next doubtful node to try: one at a time, the one that was confirmed last first."""
        if now < self._next_trial:
            return None
        due = [
            known for known in self.known.values()
            if known.next_try <= now
            and (
                known.state in (State.DOUBTFUL, State.REUSED)
                or (known.held_since is not None and now - known.answered > self.bounds.heard)
            )
        ]  # fmt: skip
        if not due:
            return None
        self._next_trial = now + self.bounds.trial_gap
        first = min(due, key=lambda known: (known.tries, -known.confirmed_unix, known.name))
        first.next_try = now + self.bounds.retry
        return first.name

    # What goes out

    def news(self) -> list[Endpoint]:
        """What the scheduler is to be told: all whose state for it changed since the last call."""
        found = []
        for known in self.known.values():
            node = self._node(known)
            told = self._told.get(known.name)
            if (node is not None or told is not None) and node != told:
                gone = Endpoint(known.name, EndpointStatus.REMOVED, known.shard, known.zone)
                found.append(node or gone)
                if node is None:
                    self._told.pop(known.name, None)
                else:
                    self._told[known.name] = node
        return found

    def all(self) -> list[Endpoint]:
        """The whole view for the scheduler, as of the last ``news``."""
        return list(self._told.values())

    def usable(self, name: str) -> bool:
        """Whether requests may go to a node."""
        known = self.known.get(name)
        return known is not None and known.state in (State.USABLE, State.COLD)

    def _node(self, known: CachedEndpoint) -> Endpoint | None:
        if known.state in (State.USABLE, State.COLD):
            started = known.started if known.state is State.COLD else 0.0
            return Endpoint(known.name, EndpointStatus.READY, known.shard, known.zone, started)
        if known.state is State.DRAINING:
            return Endpoint(known.name, EndpointStatus.DRAINING, known.shard, known.zone)
        return None

    # How it is weighed

    def _authority(self) -> Source | None:
        told = [source for source in self.sources.values() if source.told]
        return next((source for source in told if source.healthy), told[0] if told else None)

    def _believe(
        self, source: Source, changed: list[Entry] | None, now: float, unix: float, back: bool
    ) -> None:
        entries = list(source.entries.values()) if changed is None else changed
        for entry in entries:
            known = self.known.get(entry.name)
            if known is None or entry.shard != known.shard:
                known = self.known[entry.name] = CachedEndpoint(
                    entry.name, entry.shard, entry.zone, since=now
                )
                if entry.state is EndpointStatus.REMOVED:
                    known.state = State.GONE
            self._entry(known, entry, source.name, now, unix, back)
        if changed is None:
            self._left_out(source, now, back)

    def _entry(
        self, known: CachedEndpoint, entry: Entry, by: str, now: float, unix: float, back: bool
    ) -> None:
        if entry.state is EndpointStatus.REMOVED:
            known.listed, known.held_since = False, None
            known.drained = False
            self._set(known, State.GONE, f"gone, by {by}", now)
            return
        other = bool(entry.identity and known.identity and entry.identity != known.identity)
        later = entry.started != 0 and entry.started > known.started + self.bounds.slack
        if back:
            # An older list: it brings nothing back that a later one, or the node itself, took away.
            known.listed, known.identity = True, known.identity or entry.identity
            if known.state in (State.GONE, State.REUSED):
                self._set(known, State.DOUBTFUL, f"named by an older list of {by}", now)
            return
        if other or (later and known.warm_known and known.boot):
            # Another store, or another start of this one: what was known of the one before is over.
            known.boot, known.drained, known.warm_known, known.aged = "", False, False, False
        known.listed, known.held_since = True, None
        known.identity = entry.identity or known.identity
        known.zone, known.by, known.confirmed_unix = entry.zone or known.zone, by, unix
        if entry.started and (later or not known.warm_known):
            known.started, known.warm_known = entry.started, True
        elif not entry.started:
            known.warm_known = (
                True  # a list in good health says that it has been up for long, or nothing lately
            )
        if entry.state is EndpointStatus.DRAINING:
            self._drain(known, f"drains, by {by}", now)
        elif known.state is State.DRAINING and known.drained and known.why.endswith("own word") and not later:
            pass  # the node knows it sooner than the list
        elif known.state is State.REUSED and not other:
            pass  # the list does not know yet who is there; a trial will tell
        else:
            known.drained = False
            self._confirm(known, f"named by {by}", now)

    def _left_out(self, source: Source, now: float, back: bool) -> None:
        here = [known for known in self.known.values() if known.state in (State.USABLE, State.COLD)]
        lost = [known for known in here if known.name not in source.entries and known.held_since is None]
        mass = len(lost) >= 2 and len(lost) > self.bounds.vanish_share * len(here)
        if mass:
            self._note(
                f"{source.name}: its list leaves out {len(lost)} of {len(here)} nodes; those that answer are used on"
            )
        for known in self.known.values():
            if known.name in source.entries or known.held_since is not None:
                continue
            known.listed = False
            if known in lost and (mass or back):
                known.held_since, known.next_try = now, now
                known.why = f"left out by {source.name} with many others; used while it answers"
            elif known.state is not State.REUSED and known.state is not State.GONE:
                if known.state is State.DOUBTFUL and (back or not source.entries):
                    continue  # an empty or an old list says nothing of one that is being tried
                self._set(known, State.GONE, f"left out by {source.name}", now)

    def _confirm(self, known: CachedEndpoint, why: str, now: float) -> None:
        if not known.warm_known:
            known.started, known.warm_known = now, True  # what is not known to be warm counts as cold
        cold = known.started and now - known.started < self.bounds.warm_after
        self._set(known, State.COLD if cold else State.USABLE, why, now)

    def _age(self, known: CachedEndpoint, word: EndpointEvidence, restarted: bool, now: float) -> None:
        """How long it has been up: its own word, and a list's only where that makes it younger."""
        known.aged = word.up_ms is not None
        if word.up_ms is None:
            if restarted:
                known.started, known.warm_known = now, True
            return
        started = now - word.up_ms
        if restarted or not known.warm_known or started > known.started + self.bounds.slack:
            known.started, known.warm_known = started, True

    def _warmth(self, known: CachedEndpoint, now: float) -> None:
        cold = bool(known.started) and now - known.started < self.bounds.warm_after
        if cold != (known.state is State.COLD):
            self._set(
                known,
                State.COLD if cold else State.USABLE,
                "started lately" if cold else "has warmed up",
                now,
            )

    def _drain(self, known: CachedEndpoint, why: str, now: float) -> None:
        known.drained = True
        if known.state not in (State.GONE, State.REUSED):
            self._set(known, State.DRAINING, why, now)

    def _set(self, known: CachedEndpoint, state: State, why: str, now: float) -> None:
        if state is not known.state:
            known.since = now
        known.state, known.why = state, why
        if state in (State.DOUBTFUL, State.REUSED):
            known.next_try = max(known.next_try, now)

    def _note(self, text: str) -> None:
        self.notes.append(text)
