"""Limits and timeouts of the endpoint view."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DiscoveryBounds:
    """Limits and timeouts of the endpoint view.

    Attributes:
        warmup_ms: Time after its start during which an endpoint is warming up.
        min_health_check_interval_ms: Minimum time between two health checks of unconfirmed endpoints.
        initial_backoff_ms: Backoff after a failed health check; it doubles with each further failure.
        max_backoff_ms: Maximum backoff.
        max_vanished_fraction: Largest fraction of the endpoints in service that a trusted list may omit at once.
        omission_grace_ms: Time for which endpoints omitted by an untrusted list stay in service while they respond,
            and for which a list with an older version is not trusted.
        start_time_tolerance_ms: Largest difference between two reported times of the same start.
        response_freshness_ms: Time for which an endpoint counts as reachable after a response.
    """

    warmup_ms: float = 10_000.0
    min_health_check_interval_ms: float = 20.0
    initial_backoff_ms: float = 500.0
    max_backoff_ms: float = 15_000.0
    max_vanished_fraction: float = 0.5
    omission_grace_ms: float = 300_000.0
    start_time_tolerance_ms: float = 1_000.0
    response_freshness_ms: float = 10_000.0
