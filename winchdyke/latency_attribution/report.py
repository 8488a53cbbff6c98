"""Converts a summary or an account to plain values with the keys of the command's JSON. Without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from winchdyke.latency_attribution.records import Account
from winchdyke.latency_attribution.summary import EndpointSummary, Summary
from winchdyke.latency_attribution.wording import describe_holder, describe_waits

NS_PER_MS = 1e6
US_PER_MS = 1000
MAX_VOLUMES_PER_ENDPOINT = 8


def report_data(summary: Summary, volumes: Iterable[str] | None = None) -> dict[str, Any]:
    """Returns the report of a summary; times in milliseconds. ``volumes`` restricts it to these volumes."""
    by_queued = sorted(summary.volumes, key=lambda name: -summary.volumes[name].queued_ns)
    chosen = set(by_queued) if volumes is None else set(volumes)
    by_excess = sorted(summary.endpoints.items(), key=lambda entry: -entry[1].excess_ns)
    slowest = sorted(summary.slowest, key=lambda entry: -entry[0])
    return {
        **_totals(summary),
        "classes": [_class_row(name, latencies) for name, latencies in sorted(summary.classes.items())],
        "courses": [_volume_row(summary, name) for name in by_queued if name in chosen],
        "nodes": [_endpoint_row(name, endpoint) for name, endpoint in by_excess],
        "matrix": _matrix_rows(summary, None if volumes is None else chosen),
        "minutes": {
            minute: {volume: share_ns / NS_PER_MS for volume, share_ns in by_volume.items()}
            for minute, by_volume in sorted(summary.minutes.items())
        },
        "worst": [account_data(account) for _, _, account in slowest],
    }


def account_data(account: Account) -> dict[str, Any]:
    """Returns the data of one account; times in milliseconds."""
    return {
        "request": account.request,
        "gateway": account.gateway,
        "volume": account.volume,
        "class": account.class_name,
        "key": account.key,
        "outcome": account.outcome,
        "reason": account.reason,
        "status": account.status,
        "began_unix_ms": account.began_unix_ms,
        "latency_ms": account.latency_ns / NS_PER_MS,
        "spans_ms": {phase: time_ns / NS_PER_MS for phase, time_ns in account.phases_ns},
        "causes_ms": {cause: time_ns / NS_PER_MS for cause, time_ns in account.causes_ns.items()},
        "blame": [
            {
                "holder": describe_holder((kind, name, detail), account.volume),
                "ms": share_ns / NS_PER_MS,
            }
            for kind, name, detail, share_ns in account.blame
        ],
        "attempts": [
            {
                "node": attempt.endpoint,
                "end": attempt.outcome,
                "out_ms": attempt.time_ns / NS_PER_MS,
                "usual_ms": attempt.expected_ns / NS_PER_MS,
            }
            for attempt in account.attempts()
        ],
        "first_try": account.first_request or None,
    }


def _totals(summary: Summary) -> dict[str, Any]:
    return {
        "requests": summary.requests,
        "held_ms": summary.queued_ns / NS_PER_MS,
        "latency_ms": summary.latency_ns / NS_PER_MS,
        "from_unix_ms": summary.first_unix_ms if summary.requests else None,
        "to_unix_ms": summary.last_unix_ms if summary.requests else None,
        "second_tries": sum(summary.retries.values()) + summary.summed_retries,
        "second_tries_unknown": summary.possible_retries,
        "folded_ms": summary.folded_ns / NS_PER_MS,
        "cell_error_ms": summary.max_cell_error_ns / NS_PER_MS,
        "summed_requests": summary.summed_requests,
        "minutes_left_out": summary.omitted_minutes,
    }


def _class_row(name: str, latencies_us: Any) -> dict[str, Any]:
    return {
        "class": name,
        "requests": latencies_us.get_total_count(),
        "p50_ms": percentile_ms(latencies_us, 50),
        "p99_ms": percentile_ms(latencies_us, 99),
    }


def _volume_row(summary: Summary, name: str) -> dict[str, Any]:
    volume = summary.volumes[name]
    return {
        "volume": name,
        "requests": volume.requests,
        **volume.outcomes,
        "held_ms": volume.queued_ns / NS_PER_MS,
        "p50_ms": percentile_ms(volume.latencies_us, 50),
        "p99_ms": percentile_ms(volume.latencies_us, 99),
        "causes_ms": {cause: time_ns / NS_PER_MS for cause, time_ns in volume.causes_ns.most_common()},
        "sentence": describe_waits(summary, name),
    }


def _endpoint_row(name: str, endpoint: EndpointSummary) -> dict[str, Any]:
    by_volume = endpoint.excess_ns_by_volume.most_common(MAX_VOLUMES_PER_ENDPOINT)
    return {
        "node": name,
        "attempts": endpoint.attempts,
        "ends": dict(endpoint.outcomes),
        "slow": endpoint.slow_attempts,
        "excess_ms": endpoint.excess_ns / NS_PER_MS,
        "p50_ms": percentile_ms(endpoint.latencies_us, 50),
        "p99_ms": percentile_ms(endpoint.latencies_us, 99),
        "usual_ms": endpoint.expected_ns / max(1, endpoint.attempts) / NS_PER_MS,
        "courses": {volume: excess_ns / NS_PER_MS for volume, excess_ns in by_volume},
    }


def _matrix_rows(summary: Summary, volumes: set[str] | None) -> list[dict[str, Any]]:
    cells = sorted(summary.matrix.items(), key=lambda entry: (-entry[1], entry[0]))
    return [
        {"waiter": volume, "kind": kind, "holder": name, "what": detail, "ms": share_ns / NS_PER_MS}
        for (volume, (kind, name, detail)), share_ns in cells
        if volumes is None or volume in volumes
    ]


def percentile_ms(latencies_us: Any, percentile: float) -> float:
    """Returns a percentile of a histogram of microseconds, in milliseconds."""
    return float(latencies_us.get_value_at_percentile(percentile) / US_PER_MS)
