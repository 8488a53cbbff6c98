"""One gateway's view of all endpoints: the authoritative source, trust in lists, and published endpoints. Without I/O.

:mod:`winchdyke.discovery.endpoint_transitions` decides the status of a single endpoint; ``winchdyke.model.discovery``
explores both modules exhaustively.

Times are milliseconds on the gateway's monotonic clock. Wall time (``unix_ms``) is stored for display and ordering
only, and is never compared with a bound, so that a wrong wall clock changes no decision.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.endpoint_transitions import EndpointTransitions, restored_from_cache
from winchdyke.discovery.records import (
    CachedEndpoint,
    DiscoveryStatus,
    EndpointEvidence,
    ListedEndpoint,
)
from winchdyke.interface import Endpoint, EndpointStatus

# Minimum number of endpoints; a list that omits a single one has probably not lost its data.
MIN_MASS_OMISSION = 2


@dataclass(slots=True)
class SourceState:
    """The last list of one source. ``regressed_since_ms``: when its version first went back; None if it did not."""

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
        endpoints: The record of each endpoint, by name.
        warnings: Texts for the log; the caller logs them and clears the list.
    """

    transitions_type: type[EndpointTransitions] = EndpointTransitions

    def __init__(self, bounds: DiscoveryBounds, sources: Iterable[str] = ("list",)) -> None:
        """``sources``: the names of the sources in order of precedence."""
        self.bounds = bounds
        self.sources = {name: SourceState(name) for name in sources}
        self.endpoints: dict[str, CachedEndpoint] = {}
        self.warnings: list[str] = []
        self._transitions = self.transitions_type(bounds)
        self._published: dict[str, Endpoint] = {}
        self._next_health_check_at_ms = 0.0

    # Inputs

    def restore_cached(self, cached: Iterable[CachedEndpoint], now_ms: float) -> None:
        """Adds endpoints from the cache: unused until confirmed; drains and identities are retained."""
        for endpoint in cached:
            if endpoint.name not in self.endpoints:
                self.endpoints[endpoint.name] = restored_from_cache(endpoint, now_ms)

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
        """Applies a source's list, or changes to it if not ``complete``.

        ``version`` is 0 if the source has none; ``is_cached_copy``: the source itself marks its list as old.
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
        # A drain is accepted from every source, not only from the authoritative one.
        for entry in received:
            if entry.status is EndpointStatus.DRAINING and entry.name in self.endpoints:
                endpoint = self.endpoints[entry.name]
                self._transitions.mark_draining(endpoint, f"drains, by {source_name}", now_ms)

    def mark_source_failed(self, source_name: str, now_ms: float, unix_ms: float = 0.0) -> None:
        """Marks a source as failed: the next healthy source in order becomes authoritative."""
        previous = self._authoritative_source()
        self.sources[source_name].healthy = False
        current = self._authoritative_source()
        if current is not None and current is not previous and current.healthy:
            self._apply_source(current, None, now_ms, unix_ms, False)

    def record_response(
        self, name: str, evidence: EndpointEvidence, now_ms: float, unix_ms: float = 0.0
    ) -> bool:
        """Records an endpoint's response. Returns whether requests may be sent on its connection."""
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return True
        if endpoint.identity and evidence.identity and evidence.identity != endpoint.identity:
            if endpoint.status is not DiscoveryStatus.ADDRESS_REUSED:
                self.warnings.append(
                    f"{name}: store {evidence.identity} answers in place of {endpoint.identity}; no request is sent to it"
                )
            self._transitions.mark_address_reused(endpoint, evidence.identity, now_ms)
            return False
        self._transitions.apply_response(endpoint, evidence, now_ms, unix_ms)
        return not endpoint.drain_announced and endpoint.status is not DiscoveryStatus.REMOVED

    def record_connect_failure(self, name: str, now_ms: float) -> None:
        """Records a failed connection to an endpoint."""
        endpoint = self.endpoints.get(name)
        if endpoint is not None:
            self._transitions.apply_connect_failure(endpoint, now_ms)

    def tick(self, now_ms: float) -> None:
        """Applies timeouts to all endpoints."""
        for endpoint in self.endpoints.values():
            if endpoint.status is DiscoveryStatus.WARMING_UP or endpoint.omitted_since_ms is not None:
                self._transitions.tick(endpoint, now_ms)

    # Outputs

    def next_health_check(self, now_ms: float) -> str | None:
        """Returns the endpoint to check next, the most recently confirmed first; None if no check is due."""
        if now_ms < self._next_health_check_at_ms:
            return None
        is_due = self._transitions.is_health_check_due
        due = [endpoint for endpoint in self.endpoints.values() if is_due(endpoint, now_ms)]
        if not due:
            return None
        self._next_health_check_at_ms = now_ms + self.bounds.min_health_check_interval_ms
        first = min(due, key=lambda each: (each.failed_attempts, -each.confirmed_unix_ms, each.name))
        first.next_attempt_at_ms = now_ms + self.bounds.initial_backoff_ms
        return first.name

    def take_changes(self) -> list[Endpoint]:
        """Returns all endpoints whose published form changed since the last call."""
        changes = []
        for endpoint in self.endpoints.values():
            current = _published_form(endpoint)
            if current == self._published.get(endpoint.name):
                continue
            if current is None:
                del self._published[endpoint.name]
                changes.append(Endpoint(endpoint.name, EndpointStatus.REMOVED, endpoint.shard, endpoint.zone))
            else:
                self._published[endpoint.name] = current
                changes.append(current)
        return changes

    def snapshot(self) -> list[Endpoint]:
        """Returns all published endpoints as of the last :meth:`take_changes`."""
        return list(self._published.values())

    def is_usable(self, name: str) -> bool:
        """Whether requests may be sent to an endpoint."""
        endpoint = self.endpoints.get(name)
        return endpoint is not None and endpoint.is_in_service

    # Lists

    def _authoritative_source(self) -> SourceState | None:
        """Returns the first healthy source; if none is healthy, the first one that ever reported a list."""
        reporting = [source for source in self.sources.values() if source.has_reported]
        for source in reporting:
            if source.healthy:
                return source
        return reporting[0] if reporting else None

    def _is_older_version(self, source: SourceState, version: int, now_ms: float) -> bool:
        """Whether a list's version is lower than one already received; after a grace period it is accepted."""
        if not 0 < version < source.version:
            return False
        if source.regressed_since_ms is None:
            source.regressed_since_ms = now_ms
            self.warnings.append(
                f"{source.name}: its list went back from version {source.version} to {version}; "
                "changes of later versions are kept"
            )
        if now_ms - source.regressed_since_ms < self.bounds.omission_grace_ms:
            return True
        self.warnings.append(
            f"{source.name}: version {version} outlasted the grace period and is accepted now"
        )
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
        """Applies changed entries, or the complete list if ``changed`` is None."""
        entries = list(source.entries.values()) if changed is None else changed
        for entry in entries:
            endpoint = self.endpoints.get(entry.name)
            if endpoint is None or entry.shard != endpoint.shard:
                endpoint = CachedEndpoint(entry.name, entry.shard, entry.zone, status_since_ms=now_ms)
                self.endpoints[entry.name] = endpoint
                if entry.status is EndpointStatus.REMOVED:
                    endpoint.status = DiscoveryStatus.REMOVED
            self._transitions.apply_entry(endpoint, entry, source.name, now_ms, unix_ms, is_older)
        if changed is None:
            self._apply_omissions(source, now_ms, is_older)

    def _apply_omissions(self, source: SourceState, now_ms: float, is_older: bool) -> None:
        """Removes endpoints that a complete list omits; if it omits many at once, they stay while they respond."""
        omitted = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.name not in source.entries and endpoint.omitted_since_ms is None
        ]
        is_trusted = not self._is_mass_omission(source, omitted) and not is_older
        is_evidence = not is_older and bool(source.entries)
        for endpoint in omitted:
            if endpoint.is_in_service and not is_trusted:
                self._transitions.apply_suspect_omission(endpoint, source.name, now_ms)
            else:
                self._transitions.apply_omission(endpoint, source.name, now_ms, is_evidence)

    def _is_mass_omission(self, source: SourceState, omitted: list[CachedEndpoint]) -> bool:
        """Whether a list omits so many endpoints in service that it may have lost its data."""
        in_service = sum(endpoint.is_in_service for endpoint in self.endpoints.values())
        omitted_in_service = sum(endpoint.is_in_service for endpoint in omitted)
        if omitted_in_service < MIN_MASS_OMISSION:
            return False
        if omitted_in_service <= self.bounds.max_vanished_fraction * in_service:
            return False
        self.warnings.append(
            f"{source.name}: its list omits {omitted_in_service} of {in_service} nodes in service; "
            "nodes that answer stay in service"
        )
        return True


def _published_form(endpoint: CachedEndpoint) -> Endpoint | None:
    """Returns an endpoint in the form published to the scheduler; None if it is not published."""
    name = endpoint.name
    shard = endpoint.shard
    zone = endpoint.zone
    if endpoint.status is DiscoveryStatus.USABLE:
        return Endpoint(name, EndpointStatus.READY, shard, zone, 0.0)
    if endpoint.status is DiscoveryStatus.WARMING_UP:
        return Endpoint(name, EndpointStatus.READY, shard, zone, endpoint.started_at_ms)
    if endpoint.status is DiscoveryStatus.DRAINING:
        return Endpoint(name, EndpointStatus.DRAINING, shard, zone)
    return None
