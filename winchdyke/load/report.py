"""Results of a load run: latencies (HDR histograms, 3 digits), outcomes, delays of the generator. Pure."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram

LOWEST_US, HIGHEST_US, DIGITS = 1, 120_000_000, 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9, 100.0)


def _histogram() -> Any:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass
class Results:
    """Results of one worker, or of several merged.

    Attributes:
        latencies: Histograms of the time from a request's planned time to its response, in microseconds, by
            operation and volume.
        outcomes: Number of requests, by operation and outcome.
        send_delays: Histogram of the time from a request's planned time until it was sent, in microseconds.
        bytes: Bytes of bodies sent and received.
        seconds: Duration of the run.
    """

    latencies: dict[tuple[str, str], Any] = field(default_factory=dict)
    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    send_delays: Any = field(default_factory=_histogram)
    bytes: int = 0
    seconds: float = 0.0

    def add(self, operation: str, volume: str, outcome: str, latency_ms: float) -> None:
        """Add a request that has ended; its latency counts only if it was served."""
        self.outcomes[operation, outcome] += 1
        if outcome == "served":
            key = operation, volume
            if key not in self.latencies:
                self.latencies[key] = _histogram()
            self.latencies[key].record_value(max(LOWEST_US, min(HIGHEST_US, int(latency_ms * 1000))))

    def pack(self) -> dict[str, Any]:
        """Return the results as plain values, to be sent to another process."""
        return {
            "taken": [[*key, each.encode().decode()] for key, each in self.latencies.items()],
            "outcomes": [[*key, count] for key, count in self.outcomes.items()],
            "late": self.send_delays.encode().decode(), "bytes": self.bytes, "seconds": self.seconds,
        }  # fmt: skip

    def merge(self, packed: dict[str, Any]) -> None:
        """Add the packed results of another process."""
        for operation, volume, text in packed["taken"]:
            if (operation, volume) not in self.latencies:
                self.latencies[operation, volume] = _histogram()
            self.latencies[operation, volume].decode_and_add(text.encode())
        for operation, outcome, count in packed["outcomes"]:
            self.outcomes[operation, outcome] += count
        self.send_delays.decode_and_add(packed["late"].encode())
        self.bytes += packed["bytes"]
        self.seconds = max(self.seconds, packed["seconds"])

    def _by_operation(self) -> dict[str, Any]:
        found: dict[str, Any] = {}
        for (operation, _), each in self.latencies.items():
            found.setdefault(operation, _histogram()).add(each)
        return found

    def figures(self) -> dict[str, Any]:
        """Return the JSON report; latencies are in ms."""

        def percentiles(each: Any) -> dict[str, float]:
            values = {f"p{p:g}": each.get_value_at_percentile(p) / 1000 for p in PERCENTILES}
            return {"count": float(each.get_total_count()), **values}

        outcomes: dict[str, dict[str, int]] = {}
        for (operation, outcome), count in sorted(self.outcomes.items()):
            outcomes.setdefault(operation, {})[outcome] = count
        return {
            "seconds": self.seconds, "bytes": self.bytes, "outcomes": outcomes, "sent_late_ms": percentiles(self.send_delays),
            "latency_ms": {name: percentiles(each) for name, each in sorted(self._by_operation().items())},
            "by_volume_ms": {f"{op} {volume}": percentiles(each) for (op, volume), each in sorted(self.latencies.items())},
        }  # fmt: skip

    def text(self) -> str:
        """Return the report as text."""
        data = self.figures()
        requests = sum(sum(each.values()) for each in data["outcomes"].values())
        seconds = max(1e-9, self.seconds)
        lines = [
            f"{requests} requests in {seconds:.1f} s ({requests / seconds:.0f}/s), {self.bytes / seconds / 1e6:.1f} MB/s"
        ]
        lines.append(f"{'':10}" + "".join(f"{'p' + format(p, 'g'):>10}" for p in PERCENTILES) + "   outcomes")
        for name, outcomes in data["outcomes"].items():
            row = data["latency_ms"].get(name)
            values = "".join(f"{row[f'p{p:g}']:10.1f}" if row else f"{'-':>10}" for p in PERCENTILES)
            counts = ", ".join(f"{outcome} {count}" for outcome, count in outcomes.items())
            lines.append(f"{name:10}{values}   {counts}")
        late = data["sent_late_ms"]
        lines.append(
            f"ms since each request's planned time; 99% of the requests were sent at most {late['p99']:.1f} ms late"
        )
        if late["p99"] > 50:
            lines.append("the load generator itself was behind: give it more --processes, or a lower --rate")
        return "\n".join(lines)
