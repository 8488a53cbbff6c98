"""The transitions of one endpoint's status, from list entries, responses, connection failures and time. Without I/O.

:class:`~winchdyke.discovery.endpoint_view.EndpointView` decides which lists are trusted; this module applies entries and
responses to their endpoints. ``docs/discovery.md`` has the table of transitions.

Times are milliseconds on the gateway's monotonic clock; ``unix_ms`` is wall time, stored only for display and ordering.
"""

from __future__ import annotations

from msgspec.structs import replace

from winchdyke.discovery.bounds import DiscoveryBounds
from winchdyke.discovery.records import (
    NEVER_MS,
    CachedEndpoint,
    DiscoveryStatus,
    EndpointEvidence,
    ListedEndpoint,
)
from winchdyke.interface import EndpointStatus

DRAINING_BY_OWN_REPORT = "drains, by its own word"  # stored in the cache and in the history
MAX_BACKOFF_DOUBLINGS = 10


def restored_from_cache(cached: CachedEndpoint, now_ms: float) -> CachedEndpoint:
    """Returns a cached endpoint after a restart: unconfirmed unless it was draining, removed, or its address was reused."""
    status = DiscoveryStatus.DRAINING if cached.drain_announced else DiscoveryStatus.UNCONFIRMED
    if cached.status in (DiscoveryStatus.REMOVED, DiscoveryStatus.ADDRESS_REUSED):
        status = cached.status
    return replace(
        cached,
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


class EndpointTransitions:
    """Applies list entries, responses, failures and time to the records of endpoints."""

    def __init__(self, bounds: DiscoveryBounds) -> None:
        self.bounds = bounds

    # Lists

    def apply_entry(
        self,
        endpoint: CachedEndpoint,
        entry: ListedEndpoint,
        source_name: str,
        now_ms: float,
        unix_ms: float,
        is_older: bool,
    ) -> None:
        """Applies an entry of the authoritative source; ``is_older``: the list is older than one already received."""
        if entry.status is EndpointStatus.REMOVED:
            endpoint.listed = False
            endpoint.omitted_since_ms = None
            endpoint.drain_announced = False
            self.set_status(endpoint, DiscoveryStatus.REMOVED, f"gone, by {source_name}", now_ms)
            return
        if is_older:
            self._apply_older_entry(endpoint, entry, source_name, now_ms)
            return
        is_other_store = bool(entry.identity and endpoint.identity and entry.identity != endpoint.identity)
        is_later_start = self._is_later_start(endpoint, entry)
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
            self.mark_draining(endpoint, f"drains, by {source_name}", now_ms)
            return
        if self._drains_by_own_report(endpoint) and not is_later_start:
            return  # the endpoint itself reports a drain before the list does
        if endpoint.status is DiscoveryStatus.ADDRESS_REUSED and not is_other_store:
            return  # the list still names the previous store; a health check identifies the current one
        endpoint.drain_announced = False
        self._confirm(endpoint, f"named by {source_name}", now_ms)

    def apply_suspect_omission(self, endpoint: CachedEndpoint, source_name: str, now_ms: float) -> None:
        """Handles an endpoint in service that an untrusted list omits: it stays in service while it responds."""
        endpoint.listed = False
        endpoint.omitted_since_ms = now_ms
        endpoint.next_attempt_at_ms = now_ms
        endpoint.reason = f"left out by {source_name} with many others; used while it answers"

    def apply_omission(
        self, endpoint: CachedEndpoint, source_name: str, now_ms: float, is_evidence: bool
    ) -> None:
        """Removes an omitted endpoint; an unconfirmed one only with ``is_evidence``: the list is neither empty nor older."""
        endpoint.listed = False
        if endpoint.status in (DiscoveryStatus.ADDRESS_REUSED, DiscoveryStatus.REMOVED):
            return
        if endpoint.status is DiscoveryStatus.UNCONFIRMED and not is_evidence:
            return
        self.set_status(endpoint, DiscoveryStatus.REMOVED, f"left out by {source_name}", now_ms)

    # Responses

    def apply_response(
        self, endpoint: CachedEndpoint, evidence: EndpointEvidence, now_ms: float, unix_ms: float
    ) -> None:
        """Records a response of the endpoint under its expected identity."""
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
            endpoint.drain_announced = False  # the previous process announced it
        if evidence.draining:
            self.mark_draining(endpoint, DRAINING_BY_OWN_REPORT, now_ms)
        else:
            self._update_after_response(endpoint, now_ms)

    def apply_connect_failure(self, endpoint: CachedEndpoint, now_ms: float) -> None:
        """Records a failed connection; the endpoint stays in service only if a trusted list names it."""
        endpoint.last_response_at_ms = NEVER_MS
        endpoint.failed_attempts += 1
        endpoint.next_attempt_at_ms = now_ms + self._backoff_ms(endpoint.failed_attempts)
        if not endpoint.is_in_service:
            return
        if endpoint.omitted_since_ms is not None:
            reason = "does not answer, and the list left it out"
            self.set_status(endpoint, DiscoveryStatus.REMOVED, reason, now_ms)
        elif not endpoint.listed:
            self.set_status(endpoint, DiscoveryStatus.UNCONFIRMED, "does not answer", now_ms)

    def mark_address_reused(self, endpoint: CachedEndpoint, identity: str, now_ms: float) -> None:
        """Records that another store responded at the endpoint's address."""
        reason = f"{identity} answers at its address"
        self.set_status(endpoint, DiscoveryStatus.ADDRESS_REUSED, reason, now_ms)
        endpoint.last_response_at_ms = NEVER_MS

    def mark_draining(self, endpoint: CachedEndpoint, reason: str, now_ms: float) -> None:
        """Records that a list or the endpoint itself announced a drain."""
        endpoint.drain_announced = True
        if endpoint.status not in (DiscoveryStatus.REMOVED, DiscoveryStatus.ADDRESS_REUSED):
            self.set_status(endpoint, DiscoveryStatus.DRAINING, reason, now_ms)

    # Time

    def tick(self, endpoint: CachedEndpoint, now_ms: float) -> None:
        """Applies timeouts: the end of the warmup and of the grace period of an omission."""
        if endpoint.status is DiscoveryStatus.WARMING_UP:
            self._update_warmup(endpoint, now_ms)
        omitted_since_ms = endpoint.omitted_since_ms
        if omitted_since_ms is not None and now_ms - omitted_since_ms >= self.bounds.omission_grace_ms:
            endpoint.omitted_since_ms = None
            self.set_status(endpoint, DiscoveryStatus.REMOVED, "left out by the list for long", now_ms)

    def is_health_check_due(self, endpoint: CachedEndpoint, now_ms: float) -> bool:
        """Whether the endpoint is unconfirmed, or omitted without a recent response, and its backoff has ended."""
        if endpoint.next_attempt_at_ms > now_ms:
            return False
        if endpoint.status in (DiscoveryStatus.UNCONFIRMED, DiscoveryStatus.ADDRESS_REUSED):
            return True
        if endpoint.omitted_since_ms is None:
            return False
        return now_ms - endpoint.last_response_at_ms > self.bounds.response_freshness_ms

    def set_status(
        self, endpoint: CachedEndpoint, status: DiscoveryStatus, reason: str, now_ms: float
    ) -> None:
        """Sets the status and its reason; a health check that the status requires is due now unless a backoff applies."""
        if status is not endpoint.status:
            endpoint.status_since_ms = now_ms
        endpoint.status = status
        endpoint.reason = reason
        if status in (DiscoveryStatus.UNCONFIRMED, DiscoveryStatus.ADDRESS_REUSED):
            endpoint.next_attempt_at_ms = max(endpoint.next_attempt_at_ms, now_ms)

    # Internals

    def _apply_older_entry(
        self, endpoint: CachedEndpoint, entry: ListedEndpoint, source_name: str, now_ms: float
    ) -> None:
        """Applies an entry of an older list, which overrides neither a later list nor the endpoint's own report."""
        endpoint.listed = True
        endpoint.identity = endpoint.identity or entry.identity
        if endpoint.status in (DiscoveryStatus.REMOVED, DiscoveryStatus.ADDRESS_REUSED):
            reason = f"named by an older list of {source_name}"
            self.set_status(endpoint, DiscoveryStatus.UNCONFIRMED, reason, now_ms)

    def _is_later_start(self, endpoint: CachedEndpoint, entry: ListedEndpoint) -> bool:
        latest_same_start_ms = endpoint.started_at_ms + self.bounds.start_time_tolerance_ms
        return entry.started_at_ms != 0 and entry.started_at_ms > latest_same_start_ms

    def _apply_listed_start(
        self, endpoint: CachedEndpoint, entry: ListedEndpoint, is_later_start: bool
    ) -> None:
        if not entry.started_at_ms:
            endpoint.start_time_known = True  # no start time in a trusted list means that it started long ago
        elif is_later_start or not endpoint.start_time_known:
            endpoint.started_at_ms = entry.started_at_ms
            endpoint.start_time_known = True

    def _forget_process(self, endpoint: CachedEndpoint) -> None:
        """Clears the state of the previous process at the address."""
        endpoint.boot_id = ""
        endpoint.drain_announced = False
        endpoint.start_time_known = False
        endpoint.uptime_reported = False

    def _drains_by_own_report(self, endpoint: CachedEndpoint) -> bool:
        is_draining = endpoint.status is DiscoveryStatus.DRAINING and endpoint.drain_announced
        return is_draining and endpoint.reason == DRAINING_BY_OWN_REPORT

    def _record_uptime(
        self, endpoint: CachedEndpoint, evidence: EndpointEvidence, restarted: bool, now_ms: float
    ) -> None:
        """Sets the start time from the endpoint's uptime; a start time from a list stays if it is later."""
        endpoint.uptime_reported = evidence.uptime_ms is not None
        if evidence.uptime_ms is None:
            if restarted:
                endpoint.started_at_ms = now_ms
                endpoint.start_time_known = True
            return
        started_at_ms = now_ms - evidence.uptime_ms
        latest_same_start_ms = endpoint.started_at_ms + self.bounds.start_time_tolerance_ms
        if restarted or not endpoint.start_time_known or started_at_ms > latest_same_start_ms:
            endpoint.started_at_ms = started_at_ms
            endpoint.start_time_known = True

    def _update_after_response(self, endpoint: CachedEndpoint, now_ms: float) -> None:
        drain_ended = endpoint.status is DiscoveryStatus.DRAINING and not endpoint.drain_announced
        if drain_ended or endpoint.status in (DiscoveryStatus.UNCONFIRMED, DiscoveryStatus.ADDRESS_REUSED):
            reason = "answered under its identity" if endpoint.identity else "answered"
            self._confirm(endpoint, reason, now_ms)
        elif endpoint.is_in_service:
            self._update_warmup(endpoint, now_ms)

    def _confirm(self, endpoint: CachedEndpoint, reason: str, now_ms: float) -> None:
        if not endpoint.start_time_known:
            endpoint.started_at_ms = now_ms  # an unknown start time counts as a start just now
            endpoint.start_time_known = True
        self.set_status(endpoint, self._service_status(endpoint, now_ms), reason, now_ms)

    def _update_warmup(self, endpoint: CachedEndpoint, now_ms: float) -> None:
        status = self._service_status(endpoint, now_ms)
        is_warming_up = status is DiscoveryStatus.WARMING_UP
        if is_warming_up == (endpoint.status is DiscoveryStatus.WARMING_UP):
            return
        reason = "started lately" if is_warming_up else "has warmed up"
        self.set_status(endpoint, status, reason, now_ms)

    def _service_status(self, endpoint: CachedEndpoint, now_ms: float) -> DiscoveryStatus:
        """The status of an endpoint in service: warming up or usable."""
        started_at_ms = endpoint.started_at_ms
        if started_at_ms and now_ms - started_at_ms < self.bounds.warmup_ms:
            return DiscoveryStatus.WARMING_UP
        return DiscoveryStatus.USABLE

    def _backoff_ms(self, failed_attempts: int) -> float:
        doublings = min(MAX_BACKOFF_DOUBLINGS, failed_attempts - 1)
        return min(self.bounds.max_backoff_ms, self.bounds.initial_backoff_ms * 2.0**doublings)
