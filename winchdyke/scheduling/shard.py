"""A shard: its endpoints, the requests that are queued for it, and what it has served this gateway."""

from __future__ import annotations

from winchdyke.scheduling.codel import CoDel
from winchdyke.scheduling.endpoint_state import LONG_AGO_MS, EndpointState
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.quota import VolumeQuota

THROUGHPUT_HALF_LIFE_MS = 15_000.0
MIN_THROUGHPUT_SPAN_MS = THROUGHPUT_HALF_LIFE_MS / 3  # a shorter observation counts as part of this time


class Shard:
    """A shard as this gateway sees it.

    Attributes:
        endpoints: Its endpoints by name.
        queue: Requests that wait for one, by id, in the order in which they were queued.
        codels: CoDel by request class.
        quotas: Quotas of the volumes that were requested here.
        without_ready_endpoint_since_ms: Since when it has no ready endpoint; None while it has one.
        served_units: Units served here by warm endpoints, decaying.
        served_span_ms: The time in which they were served, decaying.
        last_served_at_ms: When the last of them was served; 0: never.
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
        """Count units that an endpoint has served; only those of warm ones enter the throughput."""
        if warm and self.last_served_at_ms:
            elapsed_ms = now - self.last_served_at_ms
            decay = 0.5 ** (elapsed_ms / THROUGHPUT_HALF_LIFE_MS)
            self.served_units = self.served_units * decay + units
            self.served_span_ms = self.served_span_ms * decay + now - self.last_served_at_ms
        self.last_served_at_ms = now

    @property
    def throughput_units_per_s(self) -> float:
        """The rate at which this gateway is served here, at least its part of the volumes' expected rates.

        A gateway that has just started has served nothing yet, and would otherwise leave endpoints idle.
        """
        expected = sum(
            quota.plan.expected_units_per_s / quota.sharing_gateways / len(quota.shards)
            for quota in self.quotas.values()
        )
        return max(expected, 1000 * self.served_units / max(self.served_span_ms, MIN_THROUGHPUT_SPAN_MS))

    def active_endpoint(self) -> EndpointState | None:
        """The endpoint that serves the shard now: of several ready ones one that is not suspected, and started last."""
        ready = [endpoint for endpoint in self.endpoints.values() if endpoint.ready]
        return max(
            ready,
            key=lambda endpoint: (endpoint.suspected_since_ms is None, endpoint.started_at_ms),
            default=None,
        )

    def update_readiness(self, now: float) -> None:
        """Note whether a ready endpoint is left, after a change of the endpoint list."""
        if any(endpoint.ready for endpoint in self.endpoints.values()):
            self.without_ready_endpoint_since_ms = None
        elif self.without_ready_endpoint_since_ms is None:
            self.without_ready_endpoint_since_ms = now
