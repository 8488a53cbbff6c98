"""Gradient2: an adaptive limit on the requests in flight at one endpoint, learnt from the latency of served attempts.

After Netflix's concurrency-limits library. A short average of latency is compared with a long one; the limit shrinks
with their gradient and grows by about its square root. Latency is divided by the expected work of the request, so that
large requests do not read as congestion.
"""

from __future__ import annotations

INITIAL_LIMIT = 4.0
MIN_LIMIT = 1.0
MAX_LIMIT = 16.0
# With more gateways than this, the minimum limits of all of them end at this many requests for an endpoint.
MAX_UNDIVIDED_GATEWAYS = 6
UPDATE_INTERVAL_MS = 500.0
MIN_SAMPLES = 3
SHORT_AVERAGE_GAIN = 0.15
LONG_AVERAGE_GAIN = 0.01
TOLERANCE = 1.25  # ratio of the short to the long average that still counts as noise
MIN_GRADIENT = 0.5
SMOOTHING = 0.5
MIN_LATENCY_MS = 1e-6  # keeps ratios finite where the clock has not advanced


class Gradient2Limit:
    """The number of requests that this gateway may have in flight at an endpoint.

    Attributes:
        limit: The limit; below 1 it is kept by a pause after each response.
        min_limit: The least that the limit falls to.
        sharing_gateways: Gateways among which the endpoint's limit is divided.
        peak_in_flight: Most requests in flight since the last update.
        mean_latency_ms: Short average of latency.
        mean_expected_ms: Short average of the expected work.
        short_ratio: Short average of latency over expected work.
        long_ratio: Long average of the same.
    """

    def __init__(self, now: float) -> None:
        self.sharing_gateways = 1.0
        self.min_limit = MIN_LIMIT
        self.limit = INITIAL_LIMIT
        self.peak_in_flight = 0
        self.next_update_at_ms = now + UPDATE_INTERVAL_MS
        self.sample_count = 0
        self.mean_latency_ms = 0.0
        self.mean_expected_ms = 0.0
        self.long_ratio = 0.0
        self.short_ratio = 1.0

    def divide_among(self, volume_gateways: int, gateway_count: int) -> None:
        """Divide the limit among the gateways that are likely to use the endpoint.

        Many gateways with a few requests each would otherwise keep an endpoint congested, each of them at its minimum.
        ``volume_gateways`` serve a volume that uses the endpoint; ``gateway_count`` is the whole deployment.
        """
        sharing_gateways = max(
            self.sharing_gateways, min(volume_gateways, gateway_count / MAX_UNDIVIDED_GATEWAYS)
        )
        self.limit = self.limit * self.sharing_gateways / sharing_gateways
        self.sharing_gateways = sharing_gateways
        self.min_limit = MIN_LIMIT / max(1.0, gateway_count / MAX_UNDIVIDED_GATEWAYS)

    def record(self, latency_ms: float, expected_ms: float) -> None:
        """Add the latency of an attempt, and the latency expected of its work alone, to the averages."""
        gain = self._gain(SHORT_AVERAGE_GAIN) if self.mean_expected_ms else 1.0
        self.mean_latency_ms += gain * (max(latency_ms, MIN_LATENCY_MS) - self.mean_latency_ms)
        self.mean_expected_ms += gain * (expected_ms - self.mean_expected_ms)
        self.short_ratio = self.mean_latency_ms / self.mean_expected_ms
        long_gain = self._gain(LONG_AVERAGE_GAIN) if self.long_ratio else 1.0
        self.long_ratio += long_gain * (self.short_ratio - self.long_ratio)
        self.sample_count += 1

    def update(self, now: float, max_normal_ratio: float) -> None:
        """Adapt the limit once an interval, given enough samples.

        ``max_normal_ratio`` bounds the long average, so that lasting congestion is not learnt as normal.
        """
        if now < self.next_update_at_ms or self.sample_count < MIN_SAMPLES / self.sharing_gateways:
            return
        self.long_ratio = min(self.long_ratio, max_normal_ratio)
        gradient = min(1.0, max(MIN_GRADIENT, TOLERANCE * self.long_ratio / self.short_ratio))
        # Growth fades with the gradient: at a limit of 4 it would otherwise outweigh the deepest cut.
        growth = (gradient - MIN_GRADIENT) / (1 - MIN_GRADIENT) * (2 * self.peak_in_flight >= self.limit)
        # Where many gateways share an endpoint samples are rare, so each update does more of the change.
        gain = SMOOTHING ** (1 / self.sharing_gateways)
        headroom = (self.limit / self.sharing_gateways) ** 0.5
        self.limit += gain * (self.limit * gradient + growth * headroom - self.limit)
        self.limit = min(MAX_LIMIT / self.sharing_gateways, max(self.min_limit, self.limit))
        self.next_update_at_ms = now + UPDATE_INTERVAL_MS
        self.sample_count = 0
        self.peak_in_flight = 0

    def reduce_after_shed(self) -> None:
        """Cut the limit at once: the endpoint has shed a request."""
        self.limit = max(self.min_limit, self.limit * MIN_GRADIENT)

    def _gain(self, gain: float) -> float:
        """The gain of an average that stands for the samples of all gateways that share the endpoint."""
        remaining: float = (1 - gain) ** self.sharing_gateways
        return 1 - remaining
