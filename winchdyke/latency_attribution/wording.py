"""Describes holders and waits in sentences for reports.

A holder is the volume, endpoint or rule of the scheduler that a queued request waited for.
"""

from __future__ import annotations

from winchdyke.latency_attribution.summary import Summary, VolumeSummary
from winchdyke.latency_attribution.vocabulary import (
    CAUSE_TURN,
    DETAIL_NO_ENDPOINT,
    DETAIL_QUOTA,
    DETAIL_SLOW,
    DETAIL_SUSPECTED,
    KIND_ENDPOINT,
    KIND_OTHERS,
    KIND_VOLUME,
    OUTCOME_FAILED,
    OUTCOME_REJECTED,
    OUTCOME_SERVED,
    PHASE_CONNECT,
    PHASE_RESPONSE,
    PHASE_SEND,
    PHASE_UPSTREAM,
    Holder,
)

MAX_HOLDERS = 4
MAX_ENDPOINTS = 2
US_PER_S = 1e6
NS_PER_S = 1e9


def describe_holder(holder: Holder, waiter: str) -> str:
    """Returns a phrase for what the volume ``waiter`` waited for, put after a share of time: "behind ...", "for ..." or "by ..."."""
    kind, name, detail = holder
    if kind == KIND_VOLUME:
        return _describe_volume(name, detail, waiter)
    if kind == KIND_ENDPOINT:
        return _describe_endpoint(name, detail)
    if kind == KIND_OTHERS:
        return "behind others (merged)"
    if detail == CAUSE_TURN:
        return "for the scheduler's next turn"
    # KIND_DESIGN with another detail: a rule of the scheduler, such as slow start.
    return f"by the scheduler's rule {name}"


def _describe_volume(name: str, detail: str, waiter: str) -> str:
    """Returns the phrase for a volume: "for" its limit, or "behind" its requests of the class ``detail``."""
    is_own = name == waiter
    if detail == DETAIL_QUOTA:
        return "for its own limit" if is_own else f"for the limit of {name}"
    return f"behind its own {detail}" if is_own else f"behind {name}'s {detail}"


def _describe_endpoint(name: str, detail: str) -> str:
    """Returns the phrase for an endpoint or a shard, "for ...", with its fault if ``detail`` names one."""
    if detail == DETAIL_SLOW:
        return f"for {name}, which was slow"
    if detail == DETAIL_SUSPECTED:
        return f"for {name}, which may be down"
    if detail == DETAIL_NO_ENDPOINT:
        return f"for {name}, which has no endpoint"
    return f"for {name}"


def describe_waits(summary: Summary, volume: str) -> str:
    """Describes why a volume's requests waited, in a sentence with figures."""
    found = summary.volumes.get(volume)
    if found is None:
        return f"No request of {volume} is in these ledgers."
    text = _describe_requests(volume, found)
    holders = [
        f"{100 * share_ns / found.queued_ns:.0f}% {describe_holder(holder, volume)}"
        for holder, share_ns in summary.holders(volume)[:MAX_HOLDERS]
        if found.queued_ns
    ]
    if holders:
        text += f"; of the time held {', '.join(holders)}"
    endpoints = _describe_slow_endpoints(summary, volume) + _describe_lost_responses(summary, volume)
    if endpoints:
        text += f"; {' and '.join(endpoints)}"
    return f"{text}."


def _describe_requests(name: str, volume: VolumeSummary) -> str:
    """Returns the start of a volume's sentence: its requests by outcome, and their time at gateways and at stores."""
    p99_s = volume.latencies_us.get_value_at_percentile(99) / US_PER_S
    phases_ns = volume.phases_ns
    upstream_ns = phases_ns[PHASE_UPSTREAM] + phases_ns[PHASE_RESPONSE]
    upstream_ns += phases_ns[PHASE_CONNECT] + phases_ns[PHASE_SEND]
    outcomes = volume.outcomes
    return (
        f"{name} sent {volume.requests} requests ({outcomes[OUTCOME_SERVED]} served, "
        f"{outcomes[OUTCOME_REJECTED]} refused, {outcomes[OUTCOME_FAILED]} failed; p99 {p99_s:.3f} s): "
        f"held {volume.queued_ns / NS_PER_S:.2f} s at gateways, {upstream_ns / NS_PER_S:.2f} s at stores"
    )


def _describe_slow_endpoints(summary: Summary, volume: str) -> list[str]:
    """Returns a clause for each endpoint that delayed the volume most beyond its expected time; put after the holders."""
    excess_ns = {name: each.excess_ns_by_volume[volume] for name, each in summary.endpoints.items()}
    return [
        f"{name} added {excess_ns[name] / NS_PER_S:.2f} s beyond its expected time"
        for name in _largest(excess_ns)
    ]


def _describe_lost_responses(summary: Summary, volume: str) -> list[str]:
    """Returns a clause for each endpoint that lost the most responses of the volume; put after the slow endpoints."""
    lost = {name: each.lost_by_volume[volume] for name, each in summary.endpoints.items()}
    return [f"{name} lost {lost[name]} answers" for name in _largest(lost)]


def _largest(figures: dict[str, int]) -> list[str]:
    """Returns up to ``MAX_ENDPOINTS`` names, those with the largest figures above 0."""
    names = sorted(figures, key=lambda name: -figures[name])[:MAX_ENDPOINTS]
    return [name for name in names if figures[name] > 0]
