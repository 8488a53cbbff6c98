"""Computes a request's account from its trace: spans of phases that add up exactly to the latency. Without I/O.

Times are whole nanoseconds of the monotonic clock. A request is in exactly one phase at any moment.
"""

from __future__ import annotations

from collections.abc import Sequence

from winchdyke.latency_attribution.apportionment import apportion, apportion_causes
from winchdyke.latency_attribution.records import Account, ObservedWait, TraceRecord
from winchdyke.latency_attribution.vocabulary import (
    CAUSE_TURN,
    PHASE_QUEUED,
    PHASES,
    TURN_HOLDER,
    Holder,
)

NS_PER_MS = 1e6

Span = tuple[str, int, int]  # phase, begin, end


def split_into_spans(phase_marks: Sequence[int], end_ns: int) -> list[Span]:
    """Converts marks (time, code of the phase, time, code, ...) to spans without gaps between them.

    A time earlier than the one before it counts as equal to it; a phase marked twice in a row gives one span.
    """
    spans: list[Span] = []
    latest_ns = phase_marks[0]
    begin_ns = latest_ns
    phase = phase_marks[1]
    for index in range(2, len(phase_marks), 2):
        latest_ns = max(latest_ns, phase_marks[index])
        next_phase = phase_marks[index + 1]
        if next_phase != phase:
            spans.append((PHASES[phase], begin_ns, latest_ns))
            begin_ns = latest_ns
            phase = next_phase
    spans.append((PHASES[phase], begin_ns, max(end_ns, latest_ns)))
    return spans


def total_by_phase(spans: Sequence[Span]) -> list[tuple[str, int]]:
    """Returns the total time in each phase, in order of first appearance."""
    totals: dict[str, int] = {}
    for phase, begin_ns, end_ns in spans:
        totals[phase] = totals.get(phase, 0) + end_ns - begin_ns
    return [(phase, total_ns) for phase, total_ns in totals.items() if total_ns]


def account_from_trace(trace: TraceRecord) -> Account:
    """Computes the account of a trace; the time in the queue is divided exactly among holders and causes."""
    spans = split_into_spans(trace.phase_marks, trace.end_ns)
    begin_ns = spans[0][1]
    latency_ns = spans[-1][2] - begin_ns
    blame, causes_ns = _attribute_waits(spans, trace.waits)
    attempts = trace.attempts
    return Account(
        request=trace.request,
        began_unix_ms=round((trace.end_unix_ns - latency_ns) / NS_PER_MS, 3),
        gateway=trace.gateway,
        volume=trace.volume,
        class_name=trace.class_name,
        key=trace.key,
        outcome=trace.outcome,
        reason=trace.reason,
        status=trace.status,
        latency_ns=latency_ns,
        phases_ns=total_by_phase(spans),
        causes_ns=causes_ns,
        blame=[(*holder, share_ns) for holder, share_ns in blame.items()],
        attempt_endpoints=[endpoint for endpoint, _, _, _ in attempts],
        attempt_outcomes=[outcome for _, outcome, _, _ in attempts],
        client_request=trace.client_request,
        first_request=trace.first_request,
        units=trace.units,
        attempt_times_ns=[int(time_ms * NS_PER_MS) for _, _, time_ms, _ in attempts],
        expected_times_ns=[int(expected_ms * NS_PER_MS) for _, _, _, expected_ms in attempts],
        timeline=[(phase, at_ns - begin_ns, end_ns - begin_ns) for phase, at_ns, end_ns in spans],
    )


def _attribute_waits(
    spans: Sequence[Span], waits: Sequence[ObservedWait]
) -> tuple[dict[Holder, int], dict[str, int]]:
    """Divides the time in the queue by holder and by cause.

    A span that no observed wait overlaps lasted less than a turn of the scheduler, and is attributed to that turn.
    """
    blame: dict[Holder, int] = {}
    causes_ns: dict[str, int] = {}
    remaining = list(waits)
    for phase, begin_ns, end_ns in spans:
        if phase != PHASE_QUEUED:
            continue
        holders: dict[Holder, float] = {TURN_HOLDER: 1.0}
        causes: dict[str, float] = {CAUSE_TURN: 1.0}
        wait = next((each for each in remaining if each[0] <= end_ns and each[1] >= begin_ns), None)
        if wait is not None:
            remaining.remove(wait)
            _, _, holders, causes = wait
        queued_ns = end_ns - begin_ns
        for holder, share_ns in apportion(queued_ns, holders).items():
            blame[holder] = blame.get(holder, 0) + share_ns
        for cause, share_ns in apportion_causes(queued_ns, causes).items():
            causes_ns[cause] = causes_ns.get(cause, 0) + share_ns
    return blame, causes_ns
