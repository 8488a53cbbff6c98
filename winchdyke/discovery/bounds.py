"""Limits and time spans by which the endpoint view decides."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DiscoveryBounds:
    """Limits of the endpoint view.

    Attributes:
        warmup_ms: Time after its start for which an endpoint counts as warming up.
        min_health_check_interval_ms: Least time between two health checks of unconfirmed endpoints.
        initial_backoff_ms: Pause after a failed health check; it doubles with each further failure.
        max_backoff_ms: The longest such pause.
        max_vanished_fraction: Fraction of the endpoints in service that a list may omit at once and still be trusted.
        omission_grace_ms: Time for which omitted endpoints stay in service while they respond, and for which
            a list with an older version is not trusted.
        start_time_tolerance_ms: Difference up to which two start times mean the same start.
        response_freshness_ms: Time for which a response shows that an endpoint is reachable.
    """

    warmup_ms: float = 10_000.0
    min_health_check_interval_ms: float = 20.0
    initial_backoff_ms: float = 500.0
    max_backoff_ms: float = 15_000.0
    max_vanished_fraction: float = 0.5
    omission_grace_ms: float = 300_000.0
    start_time_tolerance_ms: float = 1_000.0
    response_freshness_ms: float = 10_000.0
