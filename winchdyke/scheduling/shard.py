"""A shard: its endpoints, its queue of requests, and the throughput that this gateway gets from it."""

from __future__ import annotations

from winchdyke.scheduling.codel import CoDel
from winchdyke.scheduling.endpoint_state import LONG_AGO_MS, EndpointState
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.quota import VolumeQuota

THROUGHPUT_HALF_LIFE_MS = 15_000.0
MIN_THROUGHPUT_SPAN_MS = THROUGHPUT_HALF_LIFE_MS / 3  # a shorter observation is averaged over this time


class Shard:
    """The state of one shard at this gateway.

    Attributes:
        endpoints: Its endpoints by name.
        queue: Queued requests by id, in the order in which they were queued.
        codels: CoDel state by request class.
        quotas: Quotas of the volumes with requests for this shard, by volume.
        without_ready_endpoint_since_ms: When it lost its last ready endpoint; None while it has one,
            ``LONG_AGO_MS`` if it never had one.
        served_units: Units served by warm endpoints, with exponential decay.
        served_span_ms: The time in which these were served, with the same decay.
        last_served_at_ms: When an endpoint last served a request; 0 if never.
    """

    def __init__(self) -> None:
        self.endpoints: dict[str, EndpointState] = {}
        self.queue: dict[str, PendingRequest] = {}
        self.codels: dict[str, CoDel] = {}
        self.quotas: dict[str, VolumeQuota] = {}
        self.without_ready_endpoint_since_ms: float | None = LONG_AGO_MS
        self.served_units = 0.0
        self.served_span_ms = 0.0
        self.last_served_at_ms = 0.0

    def record_served(self, now: float, units: float, warm: bool) -> None:
        """Records units served by an endpoint; only those of warm endpoints count for the throughput."""
        if warm and self.last_served_at_ms:
            elapsed_ms = now - self.last_served_at_ms
            decay = 0.5 ** (elapsed_ms / THROUGHPUT_HALF_LIFE_MS)
            self.served_units = self.served_units * decay + units
            self.served_span_ms = self.served_span_ms * decay + now - self.last_served_at_ms
        self.last_served_at_ms = now

    @property
    def throughput_units_per_s(self) -> float:
        """The rate at which the shard serves this gateway, at least its share of the volumes' expected rates.

        Without that minimum, a gateway that has just started, and has no measured rate yet, would leave
        endpoints idle.
        """
        expected = sum(
            quota.plan.expected_units_per_s / quota.sharing_gateways / len(quota.shards)
            for quota in self.quotas.values()
        )
        return max(expected, 1000 * self.served_units / max(self.served_span_ms, MIN_THROUGHPUT_SPAN_MS))

    def active_endpoint(self) -> EndpointState | None:
        """Returns the endpoint that serves the shard now; None if no endpoint is ready.

        Among several ready endpoints, one that is not suspected is preferred, then the one that started last.
        """
        ready = [endpoint for endpoint in self.endpoints.values() if endpoint.ready]
        return max(
            ready,
            key=lambda endpoint: (endpoint.suspected_since_ms is None, endpoint.started_at_ms),
            default=None,
        )

    def update_readiness(self, now: float) -> None:
        """Updates ``without_ready_endpoint_since_ms`` after a change of the endpoint list."""
        if any(endpoint.ready for endpoint in self.endpoints.values()):
            self.without_ready_endpoint_since_ms = None
        elif self.without_ready_endpoint_since_ms is None:
            self.without_ready_endpoint_since_ms = now
