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


class DiscoveryStatus(StrEnum):
    """What is believed of a node."""

    DOUBTFUL = "doubtful"
    USABLE = "usable"
    COLD = "cold"
    DRAINING = "draining"
    GONE = "gone"
    REUSED = "reused"


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One node on a source's list. ``started``: on the gateway's clock, 0 for long ago."""

    name: str
    status: EndpointStatus
    shard: int
    zone: str = ""
    started_at_ms: float = 0.0
    identity: str = ""


@dataclass(frozen=True, slots=True)
class EndpointEvidence:
    """What a store says of itself: identity, the start it has lived since, for how long (ms), whether it drains."""

    identity: str = ""
    boot_id: str = ""
    uptime_ms: float | None = None
    draining: bool = False


@dataclass(slots=True)
class CachedEndpoint:
    """All that is believed of a node, and why, since when."""

    name: str
    shard: int
    zone: str = ""
    status: DiscoveryStatus = DiscoveryStatus.DOUBTFUL
    reason: str = ""
    status_since_ms: float = 0.0
    identity: str = ""
    boot_id: str = ""
    started_at_ms: float = 0.0  # on the gateway's clock; 0 for long ago
    start_time_known: bool = False  # whether anything told how long it has been up
    uptime_reported: bool = False  # whether it said so itself, of this start, to this gateway
    drain_announced: bool = False
    listed: bool = False  # the source that counts names it
    confirmed_by: str = ""  # who confirmed it last, and when by the wall clock (Unix ms)
    confirmed_unix_ms: float = 0.0
    last_response_at_ms: float = -1e18  # when it last answered
    omitted_since_ms: float | None = None  # left out by a list that lost much, and used on while it answers
    failed_attempts: int = 0
    next_attempt_at_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class DiscoveryBounds:
    """Bounds of belief; times in milliseconds."""

    warmup_ms: float = 10_000.0
    min_health_check_interval_ms: float = 20.0  # between two trials of doubtful nodes
    initial_backoff_ms: float = 500.0  # after a trial that failed, doubling
    max_backoff_ms: float = 15_000.0
    max_vanished_fraction: float = 0.5  # of the nodes that a list may leave out at once before it is doubted
    omission_grace_ms: float = 300_000.0  # for which such a list is doubted while the nodes answer
    start_time_tolerance_ms: float = 1_000.0  # by which two words on the same start may differ
    response_freshness_ms: float = 10_000.0  # for which an answer counts as answering


@dataclass(slots=True)
class SourceState:
    """What one source told last."""

    name: str
    entries: dict[str, ListedEndpoint] = field(default_factory=dict)
    version: int = 0
    has_reported: bool = False
    healthy: bool = False
    regressed_since_ms: float | None = None  # since when its versions have been older than one seen


class EndpointView:
    """What one gateway believes; ``sources`` in order of precedence."""

    def __init__(self, bounds: DiscoveryBounds, sources: Iterable[str] = ("list",)) -> None:
        self.bounds = bounds
        self.sources = {name: SourceState(name) for name in sources}
        self.endpoints: dict[str, CachedEndpoint] = {}
        self.warnings: list[str] = []  # what people should hear of, until it is taken
        self._published: dict[str, Endpoint] = {}
        self._next_health_check_at_ms = 0.0

    # What comes in

    def restore_cached(self, kept: Iterable[CachedEndpoint], now: float) -> None:
        """From the disk: nothing of it is used before it is confirmed; a drain and an identity are kept."""
        for each in kept:
            if each.name not in self.endpoints:
                state = DiscoveryStatus.DRAINING if each.drain_announced else DiscoveryStatus.DOUBTFUL
                if each.status in (DiscoveryStatus.GONE, DiscoveryStatus.REUSED):
                    state = each.status
                self.endpoints[each.name] = replace(
                    each, status=state, reason="from the list on the disk", status_since_ms=now, started_at_ms=0.0, start_time_known=False, uptime_reported=False,
                    listed=False, last_response_at_ms=-1e18, omitted_since_ms=None, failed_attempts=0, next_attempt_at_ms=now,
                )  # fmt: skip

    def apply_list(
        self,
        name: str,
        entries: Iterable[ListedEndpoint],
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
        if back and source.regressed_since_ms is None:
            source.regressed_since_ms = now
            self._warn(
                f"{name}: its list went back from version {source.version} to {version}; what came since is kept"
            )
        if (
            back
            and source.regressed_since_ms is not None
            and now - source.regressed_since_ms >= self.bounds.omission_grace_ms
        ):
            self._warn(f"{name}: version {version} has stood for long; it counts from now on")
            back, source.version = False, version
        if not back:
            source.regressed_since_ms = None
            source.version = version or source.version
        if whole:
            source.entries = {}
        source.entries.update({entry.name: entry for entry in entries})
        source.has_reported = source.healthy = True
        if self._authoritative_source() is source:
            self._apply_source(source, entries if not whole else None, now, unix, back or old)
        for entry in entries:  # a drain counts whoever tells it
            if entry.status is EndpointStatus.DRAINING and entry.name in self.endpoints:
                self._mark_draining(self.endpoints[entry.name], f"drains, by {name}", now)

    def mark_source_failed(self, name: str, now: float, unix: float = 0.0) -> None:
        """A source did not answer; the next in order counts, where there is one that does."""
        source = self.sources[name]
        was = self._authoritative_source()
        source.healthy = False
        after = self._authoritative_source()
        if after is not None and after is not was and after.healthy:
            self._apply_source(after, None, now, unix, False)

    def record_response(self, name: str, word: EndpointEvidence, now: float, unix: float = 0.0) -> bool:
        """A node answered. Whether it is the one that is meant: else nothing may be sent there."""
        known = self.endpoints.get(name)
        if known is None:
            return True
        if known.identity and word.identity and word.identity != known.identity:
            if known.status is not DiscoveryStatus.REUSED:
                self._warn(f"{name}: {word.identity} answers where {known.identity} was; it is sent nothing")
            self._set_status(known, DiscoveryStatus.REUSED, f"{word.identity} answers at its address", now)
            known.last_response_at_ms = -1e18
            return False
        known.identity = known.identity or word.identity
        restarted = bool(known.boot_id and word.boot_id and word.boot_id != known.boot_id)
        if restarted or not known.uptime_reported:
            self._record_uptime(known, word, restarted, now)
        known.boot_id = word.boot_id or known.boot_id
        known.last_response_at_ms, known.failed_attempts, known.confirmed_by, known.confirmed_unix_ms = (
            now,
            0,
            "its answer",
            unix,
        )
        if restarted and not word.draining:
            known.drain_announced = False  # the one that drained is no more
        if word.draining:
            self._mark_draining(known, "drains, by its own word", now)
        elif known.status in (DiscoveryStatus.DOUBTFUL, DiscoveryStatus.REUSED) or (
            known.status is DiscoveryStatus.DRAINING and not known.drain_announced
        ):
            self._confirm(known, "answered under its identity" if known.identity else "answered", now)
        elif known.status in (DiscoveryStatus.USABLE, DiscoveryStatus.COLD):
            self._update_warmup(known, now)
        return not known.drain_announced and known.status is not DiscoveryStatus.GONE

    def record_connect_failure(self, name: str, now: float) -> None:
        """A node could not be reached. A list in good health is believed against it; nothing else is."""
        known = self.endpoints.get(name)
        if known is None:
            return
        known.last_response_at_ms = -1e18
        known.failed_attempts += 1
        known.next_attempt_at_ms = now + min(
            self.bounds.max_backoff_ms,
            self.bounds.initial_backoff_ms * 2 ** min(10, known.failed_attempts - 1),
        )
        if known.status in (DiscoveryStatus.USABLE, DiscoveryStatus.COLD) and (
            known.omitted_since_ms is not None or not known.listed
        ):
            why = (
                "does not answer, and the list left it out"
                if known.omitted_since_ms is not None
                else "does not answer"
            )
            self._set_status(
                known,
                DiscoveryStatus.GONE if known.omitted_since_ms is not None else DiscoveryStatus.DOUBTFUL,
                why,
                now,
            )

    def tick(self, now: float) -> None:
        """What time alone changes: nodes warm up, and a list that stands long enough is believed."""
        for known in self.endpoints.values():
            if known.status is DiscoveryStatus.COLD:
                self._update_warmup(known, now)
            if (
                known.omitted_since_ms is not None
                and now - known.omitted_since_ms >= self.bounds.omission_grace_ms
            ):
                known.omitted_since_ms = None
                self._set_status(known, DiscoveryStatus.GONE, "left out by the list for long", now)

    def next_health_check(self, now: float) -> str | None:
        """The next doubtful node to try: one at a time, the one that was confirmed last first."""
        if now < self._next_health_check_at_ms:
            return None
        due = [
            known for known in self.endpoints.values()
            if known.next_attempt_at_ms <= now
            and (
                known.status in (DiscoveryStatus.DOUBTFUL, DiscoveryStatus.REUSED)
                or (known.omitted_since_ms is not None and now - known.last_response_at_ms > self.bounds.response_freshness_ms)
            )
        ]  # fmt: skip
        if not due:
            return None
        self._next_health_check_at_ms = now + self.bounds.min_health_check_interval_ms
        first = min(due, key=lambda known: (known.failed_attempts, -known.confirmed_unix_ms, known.name))
        first.next_attempt_at_ms = now + self.bounds.initial_backoff_ms
        return first.name

    # What goes out

    def take_changes(self) -> list[Endpoint]:
        """What the scheduler is to be told: all whose state for it changed since the last call."""
        found = []
        for known in self.endpoints.values():
            node = self._published_form(known)
            told = self._published.get(known.name)
            if (node is not None or told is not None) and node != told:
                gone = Endpoint(known.name, EndpointStatus.REMOVED, known.shard, known.zone)
                found.append(node or gone)
                if node is None:
                    self._published.pop(known.name, None)
                else:
                    self._published[known.name] = node
        return found

    def snapshot(self) -> list[Endpoint]:
        """The whole view for the scheduler, as of the last ``news``."""
        return list(self._published.values())

    def is_usable(self, name: str) -> bool:
        """Whether requests may go to a node."""
        known = self.endpoints.get(name)
        return known is not None and known.status in (DiscoveryStatus.USABLE, DiscoveryStatus.COLD)

    def _published_form(self, known: CachedEndpoint) -> Endpoint | None:
        if known.status in (DiscoveryStatus.USABLE, DiscoveryStatus.COLD):
            started = known.started_at_ms if known.status is DiscoveryStatus.COLD else 0.0
            return Endpoint(known.name, EndpointStatus.READY, known.shard, known.zone, started)
        if known.status is DiscoveryStatus.DRAINING:
            return Endpoint(known.name, EndpointStatus.DRAINING, known.shard, known.zone)
        return None

    # How it is weighed

    def _authoritative_source(self) -> SourceState | None:
        told = [source for source in self.sources.values() if source.has_reported]
        return next((source for source in told if source.healthy), told[0] if told else None)

    def _apply_source(
        self, source: SourceState, changed: list[ListedEndpoint] | None, now: float, unix: float, back: bool
    ) -> None:
        entries = list(source.entries.values()) if changed is None else changed
        for entry in entries:
            known = self.endpoints.get(entry.name)
            if known is None or entry.shard != known.shard:
                known = self.endpoints[entry.name] = CachedEndpoint(
                    entry.name, entry.shard, entry.zone, status_since_ms=now
                )
                if entry.status is EndpointStatus.REMOVED:
                    known.status = DiscoveryStatus.GONE
            self._apply_entry(known, entry, source.name, now, unix, back)
        if changed is None:
            self._apply_omissions(source, now, back)

    def _apply_entry(
        self, known: CachedEndpoint, entry: ListedEndpoint, by: str, now: float, unix: float, back: bool
    ) -> None:
        if entry.status is EndpointStatus.REMOVED:
            known.listed, known.omitted_since_ms = False, None
            known.drain_announced = False
            self._set_status(known, DiscoveryStatus.GONE, f"gone, by {by}", now)
            return
        other = bool(entry.identity and known.identity and entry.identity != known.identity)
        later = (
            entry.started_at_ms != 0
            and entry.started_at_ms > known.started_at_ms + self.bounds.start_time_tolerance_ms
        )
        if back:
            # An older list: it brings nothing back that a later one, or the node itself, took away.
            known.listed, known.identity = True, known.identity or entry.identity
            if known.status in (DiscoveryStatus.GONE, DiscoveryStatus.REUSED):
                self._set_status(known, DiscoveryStatus.DOUBTFUL, f"named by an older list of {by}", now)
            return
        if other or (later and known.start_time_known and known.boot_id):
            # Another store, or another start of this one: what was known of the one before is over.
            known.boot_id, known.drain_announced, known.start_time_known, known.uptime_reported = (
                "",
                False,
                False,
                False,
            )
        known.listed, known.omitted_since_ms = True, None
        known.identity = entry.identity or known.identity
        known.zone, known.confirmed_by, known.confirmed_unix_ms = entry.zone or known.zone, by, unix
        if entry.started_at_ms and (later or not known.start_time_known):
            known.started_at_ms, known.start_time_known = entry.started_at_ms, True
        elif not entry.started_at_ms:
            known.start_time_known = (
                True  # a list in good health says that it has been up for long, or nothing lately
            )
        if entry.status is EndpointStatus.DRAINING:
            self._mark_draining(known, f"drains, by {by}", now)
        elif (
            known.status is DiscoveryStatus.DRAINING
            and known.drain_announced
            and known.reason.endswith("own word")
            and not later
        ):
            pass  # the node knows it sooner than the list
        elif known.status is DiscoveryStatus.REUSED and not other:
            pass  # the list does not know yet who is there; a trial will tell
        else:
            known.drain_announced = False
            self._confirm(known, f"named by {by}", now)

    def _apply_omissions(self, source: SourceState, now: float, back: bool) -> None:
        here = [
            known
            for known in self.endpoints.values()
            if known.status in (DiscoveryStatus.USABLE, DiscoveryStatus.COLD)
        ]
        lost = [
            known for known in here if known.name not in source.entries and known.omitted_since_ms is None
        ]
        mass = len(lost) >= 2 and len(lost) > self.bounds.max_vanished_fraction * len(here)
        if mass:
            self._warn(
                f"{source.name}: its list leaves out {len(lost)} of {len(here)} nodes; those that answer are used on"
            )
        for known in self.endpoints.values():
            if known.name in source.entries or known.omitted_since_ms is not None:
                continue
            known.listed = False
            if known in lost and (mass or back):
                known.omitted_since_ms, known.next_attempt_at_ms = now, now
                known.reason = f"left out by {source.name} with many others; used while it answers"
            elif known.status is not DiscoveryStatus.REUSED and known.status is not DiscoveryStatus.GONE:
                if known.status is DiscoveryStatus.DOUBTFUL and (back or not source.entries):
                    continue  # an empty or an old list says nothing of one that is being tried
                self._set_status(known, DiscoveryStatus.GONE, f"left out by {source.name}", now)

    def _confirm(self, known: CachedEndpoint, why: str, now: float) -> None:
        if not known.start_time_known:
            known.started_at_ms, known.start_time_known = (
                now,
                True,
            )  # what is not known to be warm counts as cold
        cold = known.started_at_ms and now - known.started_at_ms < self.bounds.warmup_ms
        self._set_status(known, DiscoveryStatus.COLD if cold else DiscoveryStatus.USABLE, why, now)

    def _record_uptime(
        self, known: CachedEndpoint, word: EndpointEvidence, restarted: bool, now: float
    ) -> None:
        """How long it has been up: its own word, and a list's only where that makes it younger."""
        known.uptime_reported = word.uptime_ms is not None
        if word.uptime_ms is None:
            if restarted:
                known.started_at_ms, known.start_time_known = now, True
            return
        started = now - word.uptime_ms
        if (
            restarted
            or not known.start_time_known
            or started > known.started_at_ms + self.bounds.start_time_tolerance_ms
        ):
            known.started_at_ms, known.start_time_known = started, True

    def _update_warmup(self, known: CachedEndpoint, now: float) -> None:
        cold = bool(known.started_at_ms) and now - known.started_at_ms < self.bounds.warmup_ms
        if cold != (known.status is DiscoveryStatus.COLD):
            self._set_status(
                known,
                DiscoveryStatus.COLD if cold else DiscoveryStatus.USABLE,
                "started lately" if cold else "has warmed up",
                now,
            )

    def _mark_draining(self, known: CachedEndpoint, why: str, now: float) -> None:
        known.drain_announced = True
        if known.status not in (DiscoveryStatus.GONE, DiscoveryStatus.REUSED):
            self._set_status(known, DiscoveryStatus.DRAINING, why, now)

    def _set_status(self, known: CachedEndpoint, state: DiscoveryStatus, why: str, now: float) -> None:
        if state is not known.status:
            known.status_since_ms = now
        known.status, known.reason = state, why
        if state in (DiscoveryStatus.DOUBTFUL, DiscoveryStatus.REUSED):
            known.next_attempt_at_ms = max(known.next_attempt_at_ms, now)

    def _warn(self, text: str) -> None:
        self.warnings.append(text)
