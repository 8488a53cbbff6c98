"""Decides the status of each endpoint from lists, their age, and what the endpoints report. Without I/O.

:class:`~winchdyke.discovery.records.DiscoveryStatus` lists the states; ``docs/discovery.md`` has the transitions, and
``winchdyke.model.discovery`` explores them exhaustively.

Times are milliseconds on the gateway's monotonic clock. Wall time is only stored, to display and to order by, and never
compared with a bound, so that a wrong wall clock changes no decision.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from msgspec.structs import replace

from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.records import (
    NEVER_MS,
    CachedEndpoint,
    DiscoveryStatus,
    EndpointEvidence,
    ListedEndpoint,
)
from winchdyke.interface import Endpoint, EndpointStatus

DRAINING_BY_OWN_REPORT = "drains, by its own word"  # stored in the cache and in the history
MAX_BACKOFF_DOUBLINGS = 10


@dataclass(slots=True)
class SourceState:
    """The last list of one source. ``regressed_since_ms``: since when its versions are older than one received."""

    name: str
    entries: dict[str, ListedEndpoint] = field(default_factory=dict)
    version: int = 0
    has_reported: bool = False
    healthy: bool = False
    regressed_since_ms: float | None = None


class EndpointView:
    """One gateway's view of all endpoints.

    Attributes:
        sources: The sources by name, in order of precedence.
        endpoints: What is known of each endpoint, by name.
        warnings: Texts for the log; the caller takes them and clears the list.
    """

    def __init__(self, bounds: DiscoveryBounds, sources: Iterable[str] = ("list",)) -> None:
        """``sources``: their names in order of precedence."""
        self.bounds = bounds
        self.sources = {name: SourceState(name) for name in sources}
        self.endpoints: dict[str, CachedEndpoint] = {}
        self.warnings: list[str] = []
        self._published: dict[str, Endpoint] = {}
        self._next_health_check_at_ms = 0.0

    # Inputs

    def restore_cached(self, cached: Iterable[CachedEndpoint], now_ms: float) -> None:
        """Add endpoints from the cache: not used before they are confirmed; drains and identities are retained."""
        for endpoint in cached:
            if endpoint.name not in self.endpoints:
                self.endpoints[endpoint.name] = self._restored(endpoint, now_ms)

    def apply_list(
        self,
        source_name: str,
        entries: Iterable[ListedEndpoint],
        now_ms: float,
        unix_ms: float = 0.0,
        complete: bool = True,
        version: int = 0,
        is_cached_copy: bool = False,
    ) -> None:
        """Take a source's list, or changes of it where not ``complete``.

        ``version`` is 0 where the source has none; ``is_cached_copy``: the source itself says that its list is old.
        """
        source = self.sources[source_name]
        received = list(entries)
        is_older = self._is_older_version(source, version, now_ms)
        if not is_older:
            source.regressed_since_ms = None
            source.version = version or source.version
        if complete:
            source.entries = {}
        source.entries.update({entry.name: entry for entry in received})
        source.has_reported = True
        source.healthy = True
        if self._authoritative_source() is source:
            changed = None if complete else received
            self._apply_source(source, changed, now_ms, unix_ms, is_older or is_cached_copy)
        # Drains count from every source, not only from the authoritative one.
        for entry in received:
            if entry.status is EndpointStatus.DRAINING and entry.name in self.endpoints:
                self._mark_draining(self.endpoints[entry.name], f"drains, by {source_name}", now_ms)

    def mark_source_failed(self, source_name: str, now_ms: float, unix_ms: float = 0.0) -> None:
        """A source could not be reached: the next healthy one in order becomes authoritative."""
        previous = self._authoritative_source()
        self.sources[source_name].healthy = False
        current = self._authoritative_source()
        if current is not None and current is not previous and current.healthy:
            self._apply_source(current, None, now_ms, unix_ms, False)

    def record_response(
        self, name: str, evidence: EndpointEvidence, now_ms: float, unix_ms: float = 0.0
    ) -> bool:
        """An endpoint responded. Returns whether requests may be sent on this connection."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return True
        if endpoint.identity and evidence.identity and evidence.identity != endpoint.identity:
            self._mark_address_reused(endpoint, evidence.identity, now_ms)
            return False
        endpoint.identity = endpoint.identity or evidence.identity
        restarted = bool(endpoint.boot_id and evidence.boot_id and evidence.boot_id != endpoint.boot_id)
        if restarted or not endpoint.uptime_reported:
            self._record_uptime(endpoint, evidence, restarted, now_ms)
        endpoint.boot_id = evidence.boot_id or endpoint.boot_id
        endpoint.last_response_at_ms = now_ms
        endpoint.failed_attempts = 0
        endpoint.confirmed_by = "its answer"
        endpoint.confirmed_unix_ms = unix_ms
        if restarted and not evidence.draining:
            endpoint.drain_announced = False  # the announcement was the previous process's
        self._update_after_response(endpoint, evidence, now_ms)
        return not endpoint.drain_announced and endpoint.status is not DiscoveryStatus.REMOVED

    def record_connect_failure(self, name: str, now_ms: float) -> None:
        """An endpoint could not be reached; it stays in service only where a trusted list names it."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return
        endpoint.last_response_at_ms = NEVER_MS
        endpoint.failed_attempts += 1
        endpoint.next_attempt_at_ms = now_ms + self._backoff_ms(endpoint.failed_attempts)
        if not endpoint.is_in_service:
            return
        if endpoint.omitted_since_ms is not None:
            reason = "does not answer, and the list left it out"
            self._set_status(endpoint, DiscoveryStatus.REMOVED, reason, now_ms)
        elif not endpoint.listed:
            self._set_status(endpoint, DiscoveryStatus.UNCONFIRMED, "does not answer", now_ms)

    def tick(self, now_ms: float) -> None:
        """Apply what time alone changes: warmup ends, and a suspect list is trusted after its grace period."""
        for endpoint in self.endpoints.values():
            if endpoint.status is DiscoveryStatus.WARMING_UP:
                self._update_warmup(endpoint, now_ms)
            omitted_since_ms = endpoint.omitted_since_ms
            if omitted_since_ms is not None and now_ms - omitted_since_ms >= self.bounds.omission_grace_ms:
                endpoint.omitted_since_ms = None
                self._set_status(endpoint, DiscoveryStatus.REMOVED, "left out by the list for long", now_ms)

    # Outputs

    def next_health_check(self, now_ms: float) -> str | None:
        """The name of the endpoint to check next; None where no check is due. Most recently confirmed first."""
        if now_ms < self._next_health_check_at_ms:
            return None
        due = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.next_attempt_at_ms <= now_ms and self._needs_health_check(endpoint, now_ms)
        ]
        if not due:
            return None
        self._next_health_check_at_ms = now_ms + self.bounds.min_health_check_interval_ms
        first = min(due, key=lambda each: (each.failed_attempts, -each.confirmed_unix_ms, each.name))
        first.next_attempt_at_ms = now_ms + self.bounds.initial_backoff_ms
        return first.name

    def take_changes(self) -> list[Endpoint]:
        """All endpoints whose published form changed since the last call."""
        changes = []
        for endpoint in self.endpoints.values():
            current = self._published_form(endpoint)
            published = self._published.get(endpoint.name)
            if current == published:
                continue
            if current is None:
                changes.append(Endpoint(endpoint.name, EndpointStatus.REMOVED, endpoint.shard, endpoint.zone))
                self._published.pop(endpoint.name, None)
            else:
                changes.append(current)
                self._published[endpoint.name] = current
        return changes

    def snapshot(self) -> list[Endpoint]:
        """All published endpoints, as of the last :meth:`take_changes`."""
        return list(self._published.values())

    def is_usable(self, name: str) -> bool:
        """Whether requests may go to an endpoint."""
        endpoint = self.endpoints.get(name)
        return endpoint is not None and endpoint.is_in_service

    def _published_form(self, endpoint: CachedEndpoint) -> Endpoint | None:
        if endpoint.status is DiscoveryStatus.USABLE:
            return Endpoint(endpoint.name, EndpointStatus.READY, endpoint.shard, endpoint.zone, 0.0)
        if endpoint.status is DiscoveryStatus.WARMING_UP:
            return Endpoint(
                endpoint.name, EndpointStatus.READY, endpoint.shard, endpoint.zone, endpoint.started_at_ms
            )
        if endpoint.status is DiscoveryStatus.DRAINING:
            return Endpoint(endpoint.name, EndpointStatus.DRAINING, endpoint.shard, endpoint.zone)
        return None

    # Lists

    def _authoritative_source(self) -> SourceState | None:
        reporting = [source for source in self.sources.values() if source.has_reported]
        for source in reporting:
            if source.healthy:
                return source
        return reporting[0] if reporting else None

    def _is_older_version(self, source: SourceState, version: int, now_ms: float) -> bool:
        """Whether a list's version is lower than one received; after a grace period the lower one is accepted."""
        if not 0 < version < source.version:
            return False
        if source.regressed_since_ms is None:
            source.regressed_since_ms = now_ms
            self._warn(
                f"{source.name}: its list went back from version {source.version} to {version}; "
                "what came since is kept"
            )
        if now_ms - source.regressed_since_ms < self.bounds.omission_grace_ms:
            return True
        self._warn(f"{source.name}: version {version} has stood for long; it counts from now on")
        source.version = version
        return False

    def _apply_source(
        self,
        source: SourceState,
        changed: list[ListedEndpoint] | None,
        now_ms: float,
        unix_ms: float,
        is_older: bool,
    ) -> None:
        """Apply changed entries, or the complete list where ``changed`` is None."""
        entries = list(source.entries.values()) if changed is None else changed
        for entry in entries:
            endpoint = self.endpoints.get(entry.name)
            if endpoint is None or entry.shard != endpoint.shard:
                endpoint = CachedEndpoint(entry.name, entry.shard, entry.zone, status_since_ms=now_ms)
                self.endpoints[entry.name] = endpoint
                if entry.status is EndpointStatus.REMOVED:
                    endpoint.status = DiscoveryStatus.REMOVED
            self._apply_entry(endpoint, entry, source.name, now_ms, unix_ms, is_older)
        if changed is None:
            self._apply_omissions(source, now_ms, is_older)

    def _apply_entry(
        self,
        endpoint: CachedEndpoint,
        entry: ListedEndpoint,
        source_name: str,
        now_ms: float,
        unix_ms: float,
        is_older: bool,
    ) -> None:
        if entry.status is EndpointStatus.REMOVED:
            endpoint.listed = False
            endpoint.omitted_since_ms = None
            endpoint.drain_announced = False
            self._set_status(endpoint, DiscoveryStatus.REMOVED, f"gone, by {source_name}", now_ms)
            return
        if is_older:
            self._apply_older_entry(endpoint, entry, source_name, now_ms)
            return
        tolerance_ms = self.bounds.start_time_tolerance_ms
        is_other_store = bool(entry.identity and endpoint.identity and entry.identity != endpoint.identity)
        is_later_start = (
            entry.started_at_ms != 0 and entry.started_at_ms > endpoint.started_at_ms + tolerance_ms
        )
        if is_other_store or (is_later_start and endpoint.start_time_known and endpoint.boot_id):
            self._forget_process(endpoint)
        endpoint.listed = True
        endpoint.omitted_since_ms = None
        endpoint.identity = entry.identity or endpoint.identity
        endpoint.zone = entry.zone or endpoint.zone
        endpoint.confirmed_by = source_name
        endpoint.confirmed_unix_ms = unix_ms
        self._apply_listed_start(endpoint, entry, is_later_start)
        if entry.status is EndpointStatus.DRAINING:
            self._mark_draining(endpoint, f"drains, by {source_name}", now_ms)
            return
        if self._drains_by_own_report(endpoint) and not is_later_start:
            return  # the endpoint knows it earlier than the list
        if endpoint.status is DiscoveryStatus.ADDRESS_REUSED and not is_other_store:
            return  # the list still names the previous store; a health check will show who is there
        endpoint.drain_announced = False
        self._confirm(endpoint, f"named by {source_name}", now_ms)

    def _apply_older_entry(
        self, endpoint: CachedEndpoint, entry: ListedEndpoint, source_name: str, now_ms: float
    ) -> None:
        """An older list undoes nothing that a later one, or the endpoint itself, reported."""
        endpoint.listed = True
        endpoint.identity = endpoint.identity or entry.identity
        if endpoint.status in (DiscoveryStatus.REMOVED, DiscoveryStatus.ADDRESS_REUSED):
            reason = f"named by an older list of {source_name}"
            self._set_status(endpoint, DiscoveryStatus.UNCONFIRMED, reason, now_ms)

    def _apply_listed_start(
        self, endpoint: CachedEndpoint, entry: ListedEndpoint, is_later_start: bool
    ) -> None:
        if not entry.started_at_ms:
            endpoint.start_time_known = True  # a trusted list without a start time means no recent start
        elif is_later_start or not endpoint.start_time_known:
            endpoint.started_at_ms = entry.started_at_ms
            endpoint.start_time_known = True

    def _apply_omissions(self, source: SourceState, now_ms: float, is_older: bool) -> None:
        """Remove endpoints that a complete list omits; where it omits many at once they stay while they respond."""
        in_service = [endpoint for endpoint in self.endpoints.values() if endpoint.is_in_service]
        omitted = [
            endpoint
            for endpoint in in_service
            if endpoint.name not in source.entries and endpoint.omitted_since_ms is None
        ]
        max_omitted = self.bounds.max_vanished_fraction * len(in_service)
        is_mass_omission = len(omitted) >= 2 and len(omitted) > max_omitted
        if is_mass_omission:
            self._warn(
                f"{source.name}: its list leaves out {len(omitted)} of {len(in_service)} nodes; "
                "those that answer are used on"
            )
        for endpoint in self.endpoints.values():
            if endpoint.name not in source.entries and endpoint.omitted_since_ms is None:
                is_suspect = endpoint.is_in_service and (is_mass_omission or is_older)
                self._apply_omission(endpoint, source, now_ms, is_older, is_suspect)

    def _apply_omission(
        self, endpoint: CachedEndpoint, source: SourceState, now_ms: float, is_older: bool, is_suspect: bool
    ) -> None:
        endpoint.listed = False
        if is_suspect:
            endpoint.omitted_since_ms = now_ms
            endpoint.next_attempt_at_ms = now_ms
            endpoint.reason = f"left out by {source.name} with many others; used while it answers"
            return
        if endpoint.status in (DiscoveryStatus.ADDRESS_REUSED, DiscoveryStatus.REMOVED):
            return
        if endpoint.status is DiscoveryStatus.UNCONFIRMED and (is_older or not source.entries):
            return  # an empty or older list is no evidence against an endpoint that is being checked
        self._set_status(endpoint, DiscoveryStatus.REMOVED, f"left out by {source.name}", now_ms)

    # Responses

    def _mark_address_reused(self, endpoint: CachedEndpoint, identity: str, now_ms: float) -> None:
        if endpoint.status is not DiscoveryStatus.ADDRESS_REUSED:
            self._warn(
                f"{endpoint.name}: {identity} answers where {endpoint.identity} was; it is sent nothing"
            )
        reason = f"{identity} answers at its address"
        self._set_status(endpoint, DiscoveryStatus.ADDRESS_REUSED, reason, now_ms)
        endpoint.last_response_at_ms = NEVER_MS

    def _update_after_response(
        self, endpoint: CachedEndpoint, evidence: EndpointEvidence, now_ms: float
    ) -> None:
        if evidence.draining:
            self._mark_draining(endpoint, DRAINING_BY_OWN_REPORT, now_ms)
            return
        drain_ended = endpoint.status is DiscoveryStatus.DRAINING and not endpoint.drain_announced
        if drain_ended or endpoint.status in (DiscoveryStatus.UNCONFIRMED, DiscoveryStatus.ADDRESS_REUSED):
            reason = "answered under its identity" if endpoint.identity else "answered"
            self._confirm(endpoint, reason, now_ms)
        elif endpoint.is_in_service:
            self._update_warmup(endpoint, now_ms)

    def _record_uptime(
        self, endpoint: CachedEndpoint, evidence: EndpointEvidence, restarted: bool, now_ms: float
    ) -> None:
        """Take the endpoint's own uptime; a list's start time counts only where it is later."""
        endpoint.uptime_reported = evidence.uptime_ms is not None
        if evidence.uptime_ms is None:
            if restarted:
                endpoint.started_at_ms = now_ms
                endpoint.start_time_known = True
            return
        started_at_ms = now_ms - evidence.uptime_ms
        latest_listed_ms = endpoint.started_at_ms + self.bounds.start_time_tolerance_ms
        if restarted or not endpoint.start_time_known or started_at_ms > latest_listed_ms:
            endpoint.started_at_ms = started_at_ms
            endpoint.start_time_known = True

    def _needs_health_check(self, endpoint: CachedEndpoint, now_ms: float) -> bool:
        if endpoint.status in (DiscoveryStatus.UNCONFIRMED, DiscoveryStatus.ADDRESS_REUSED):
            return True
        if endpoint.omitted_since_ms is None:
            return False
        return now_ms - endpoint.last_response_at_ms > self.bounds.response_freshness_ms

    def _backoff_ms(self, failed_attempts: int) -> float:
        doublings = min(MAX_BACKOFF_DOUBLINGS, failed_attempts - 1)
        return min(self.bounds.max_backoff_ms, self.bounds.initial_backoff_ms * 2.0**doublings)

    # Transitions of one endpoint

    @staticmethod
    def _restored(endpoint: CachedEndpoint, now_ms: float) -> CachedEndpoint:
        status = DiscoveryStatus.DRAINING if endpoint.drain_announced else DiscoveryStatus.UNCONFIRMED
        if endpoint.status in (DiscoveryStatus.REMOVED, DiscoveryStatus.ADDRESS_REUSED):
            status = endpoint.status
        return replace(
            endpoint,
            status=status,
            reason="from the list on the disk",
            status_since_ms=now_ms,
            started_at_ms=0.0,
            start_time_known=False,
            uptime_reported=False,
            listed=False,
            last_response_at_ms=NEVER_MS,
            omitted_since_ms=None,
            failed_attempts=0,
            next_attempt_at_ms=now_ms,
        )

    @staticmethod
    def _forget_process(endpoint: CachedEndpoint) -> None:
        """Drop what was known of the previous process at an address."""
        endpoint.boot_id = ""
        endpoint.drain_announced = False
        endpoint.start_time_known = False
        endpoint.uptime_reported = False

    @staticmethod
    def _drains_by_own_report(endpoint: CachedEndpoint) -> bool:
        return (
            endpoint.status is DiscoveryStatus.DRAINING
            and endpoint.drain_announced
            and endpoint.reason == DRAINING_BY_OWN_REPORT
        )

    def _confirm(self, endpoint: CachedEndpoint, reason: str, now_ms: float) -> None:
        if not endpoint.start_time_known:
            endpoint.started_at_ms = now_ms  # an unknown start time counts as a start just now
            endpoint.start_time_known = True
        self._set_status(endpoint, self._service_status(endpoint, now_ms), reason, now_ms)

    def _update_warmup(self, endpoint: CachedEndpoint, now_ms: float) -> None:
        status = self._service_status(endpoint, now_ms)
        is_warming_up = status is DiscoveryStatus.WARMING_UP
        if is_warming_up == (endpoint.status is DiscoveryStatus.WARMING_UP):
            return
        reason = "started lately" if is_warming_up else "has warmed up"
        self._set_status(endpoint, status, reason, now_ms)

    def _service_status(self, endpoint: CachedEndpoint, now_ms: float) -> DiscoveryStatus:
        """The status of an endpoint in service: warming up or usable."""
        started_at_ms = endpoint.started_at_ms
        if started_at_ms and now_ms - started_at_ms < self.bounds.warmup_ms:
            return DiscoveryStatus.WARMING_UP
        return DiscoveryStatus.USABLE

    def _mark_draining(self, endpoint: CachedEndpoint, reason: str, now_ms: float) -> None:
        endpoint.drain_announced = True
        if endpoint.status not in (DiscoveryStatus.REMOVED, DiscoveryStatus.ADDRESS_REUSED):
            self._set_status(endpoint, DiscoveryStatus.DRAINING, reason, now_ms)

    def _set_status(
        self, endpoint: CachedEndpoint, status: DiscoveryStatus, reason: str, now_ms: float
    ) -> None:
        if status is not endpoint.status:
            endpoint.status_since_ms = now_ms
        endpoint.status = status
        endpoint.reason = reason
        if status in (DiscoveryStatus.UNCONFIRMED, DiscoveryStatus.ADDRESS_REUSED):
            endpoint.next_attempt_at_ms = max(endpoint.next_attempt_at_ms, now_ms)

    def _warn(self, text: str) -> None:
        self.warnings.append(text)
