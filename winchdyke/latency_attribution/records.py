"""The records stored in a ledger.

All are msgpack arrays told apart by their first element: the order of fields and the tags are the stored form and must
not change; names may. Times are whole nanoseconds unless a name says otherwise, so that sums are exact.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from winchdyke.latency_attribution.vocabulary import PHASE_QUEUED, Holder

# Begin, end (ns, monotonic), milliseconds by holder, milliseconds by cause.
ObservedWait = tuple[int, int, dict[Holder, float], dict[str, float]]


class AttemptTimes(NamedTuple):
    """One attempt of an account: its endpoint, how it ended, its time there, and the usual time there."""

    endpoint: str
    outcome: str
    time_ns: int
    expected_ns: int


class Account(msgspec.Struct, array_like=True, omit_defaults=True, tag=1):
    """One request.

    Attributes:
        request: The gateway's id of it.
        began_unix_ms: When it arrived.
        key: The key by which it is recognised when it is retried.
        latency_ns: From its arrival to its end.
        phases_ns: Time in each phase; adds up to the latency.
        causes_ns: Time in the queue by cause; adds up to :attr:`queued_ns`.
        blame: Kind, name and detail of a holder, and the time in the queue put down to it; adds up likewise.
        attempt_endpoints: The endpoint of each attempt.
        attempt_outcomes: How each attempt ended.
        client_request: The client's own id of it.
        first_request: The request that this one retries; "?" where that was at another gateway.
        units: Its work.
        attempt_times_ns: The time of each attempt at its endpoint.
        expected_times_ns: For each attempt the usual time at that endpoint.
        timeline: Phase, begin and end after its arrival, in order.
    """

    request: str
    began_unix_ms: float
    gateway: str
    volume: str
    class_name: str
    key: str
    outcome: str
    reason: str
    status: int
    latency_ns: int
    phases_ns: list[tuple[str, int]]
    causes_ns: dict[str, int]
    blame: list[tuple[str, str, str, int]]
    attempt_endpoints: list[str]
    attempt_outcomes: list[str]
    client_request: str = ""
    first_request: str = ""
    units: float = 1.0
    attempt_times_ns: list[int] = []
    expected_times_ns: list[int] = []
    timeline: list[tuple[str, int, int]] = []

    @property
    def queued_ns(self) -> int:
        """The time in the gateway's queue."""
        return sum(span_ns for phase, span_ns in self.phases_ns if phase == PHASE_QUEUED)

    def attempts(self) -> Iterator[AttemptTimes]:
        """Its attempts in order. Raises ValueError where its lists differ in length."""
        return map(
            AttemptTimes._make,
            zip(
                self.attempt_endpoints,
                self.attempt_outcomes,
                self.attempt_times_ns,
                self.expected_times_ns,
                strict=True,
            ),
        )


class Annotation(msgspec.Struct, array_like=True, tag=2, gc=False):
    """One request as a gateway notes it: all that an :class:`Account` is computed from, at the least cost.

    Attributes:
        phase_marks: Time and code of each phase in turn: time, code, time, code, ...
        waits: Waits in the queue that lasted past one turn of the scheduler.
        attempts: Endpoint, outcome, time at the endpoint (ms), and its usual time (ms).
    """

    request: str
    end_unix_ns: int
    gateway: str
    volume: str
    class_name: str
    key: str
    outcome: str
    reason: str
    status: int
    client_request: str
    first_request: str
    units: float
    end_ns: int
    phase_marks: list[int]
    waits: list[ObservedWait]
    attempts: list[tuple[str, str, float, float]]


class LatencySum(msgspec.Struct, array_like=True):
    """Requests or attempts: their number, their time in all, an HDR histogram of microseconds (V2, base64)."""

    count: int
    total_ns: int
    histogram: bytes


class VolumeSum(msgspec.Struct, array_like=True):
    """One volume in one minute."""

    volume: str
    latency: LatencySum
    queued_ns: int
    outcomes: dict[str, int]
    phases_ns: dict[str, int]
    causes_ns: dict[str, int]


class EndpointSum(msgspec.Struct, array_like=True):
    """One endpoint in one minute.

    Attributes:
        slow_attempts: Attempts that took clearly longer than usual.
        expected_ns: The usual time of all its attempts.
        excess_ns: The time of slow attempts beyond the usual.
        excess_ns_by_volume: That time for the eight volumes with the most.
        outcomes: Attempts by outcome.
        lost_by_volume: Attempts without a response, for the eight volumes with the most.
    """

    endpoint: str
    latency: LatencySum
    slow_attempts: int
    expected_ns: int
    excess_ns: int
    excess_ns_by_volume: dict[str, int]
    outcomes: dict[str, int]
    lost_by_volume: dict[str, int]


class MinuteSums(msgspec.Struct, array_like=True, tag=3):
    """One minute of one gateway, or a part of it where two segments meet.

    Attributes:
        minute: Since the Unix epoch.
        matrix: Waiting volume; kind, name and detail of the holder; nanoseconds.
        folded_ns: Time of the cells that were added up as others.
        max_omitted_cell_ns: No cell that was added up so is larger.
        retries: Requests that retried an earlier one.
        slowest: The accounts of the slowest requests.
    """

    minute: int
    gateway: str
    requests: int
    queued_ns: int
    volumes: list[VolumeSum]
    classes: list[tuple[str, LatencySum]]
    endpoints: list[EndpointSum]
    matrix: list[tuple[str, str, str, str, int]]
    folded_ns: int
    max_omitted_cell_ns: int
    retries: int
    slowest: list[Account]


class QueuedGroup(msgspec.Struct, array_like=True):
    """The requests of one class queued for one shard now: their number, the cause, and the holders' shares."""

    shard: int
    class_name: str
    count: int
    cause: str
    holders: list[tuple[str, str, str, float]]


class QueueSnapshot(msgspec.Struct, array_like=True):
    """What a gateway has queued now, and the accounts that its ledger dropped or failed to write."""

    unix_ms: float
    gateway: str
    groups: list[QueuedGroup]
    dropped: int
    failed: int


LedgerRecord = Account | Annotation | MinuteSums
