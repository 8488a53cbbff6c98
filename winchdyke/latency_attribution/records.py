"""The records stored in a ledger.

All records are msgpack arrays whose first element is the tag of the record type. The order of fields and the tags are the
stored format and must not change; names of fields may. Times are whole nanoseconds unless a name says otherwise, so that
sums are exact.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from winchdyke.latency_attribution.vocabulary import PHASE_QUEUED, Holder

# Begin and end (ns of the monotonic clock), milliseconds by holder, milliseconds by cause.
ObservedWait = tuple[int, int, dict[Holder, float], dict[str, float]]


class AttemptTimes(NamedTuple):
    """One attempt of an account: its endpoint, its outcome, its time there, and the expected time there."""

    endpoint: str
    outcome: str
    time_ns: int
    expected_ns: int


class Account(msgspec.Struct, array_like=True, omit_defaults=True, tag=1):
    """The account of one request: where its time was spent.

    Attributes:
        request: The id given by the gateway.
        began_unix_ms: When the request arrived.
        key: The key that identifies the request when it is retried.
        latency_ns: The time from arrival to end.
        phases_ns: The time in each phase; adds up to the latency.
        causes_ns: The time in the queue by cause; adds up to :attr:`queued_ns`.
        blame: Kind, name and detail of a holder, and the time in the queue attributed to it; adds up to
            :attr:`queued_ns` too.
        attempt_endpoints: The endpoint of each attempt.
        attempt_outcomes: The outcome of each attempt.
        client_request: The id given by the client.
        first_request: The id of the request that this one retries; "?" if that was at another gateway.
        units: The work of the request.
        attempt_times_ns: The time of each attempt at its endpoint.
        expected_times_ns: The expected time of each attempt at its endpoint.
        timeline: Phase, begin and end of each span after the arrival, in order.
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
        """The time that the request spent in the gateway's queue."""
        return sum(span_ns for phase, span_ns in self.phases_ns if phase == PHASE_QUEUED)

    def attempts(self) -> Iterator[AttemptTimes]:
        """Yields the attempts in order.

        Raises:
            ValueError: The lists of attempts differ in length.
        """
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


class TraceRecord(msgspec.Struct, array_like=True, tag=2, gc=False):
    """The trace of one request as a gateway stores it; readers compute the :class:`Account` from it.

    A gateway stores this form because it costs less than the account on the path of a request.

    Attributes:
        phase_marks: Begin and code of each phase in turn: time, code, time, code, ...
        waits: Waits in the queue that lasted longer than one turn of the scheduler.
        attempts: Endpoint, outcome, time at the endpoint (ms) and expected time there (ms) of each attempt.
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
    """Latencies of requests or attempts: count, total time, and an HDR histogram of microseconds (V2, base64)."""

    count: int
    total_ns: int
    histogram: bytes


class VolumeSum(msgspec.Struct, array_like=True):
    """The sums of one volume in one minute."""

    volume: str
    latency: LatencySum
    queued_ns: int
    outcomes: dict[str, int]
    phases_ns: dict[str, int]
    causes_ns: dict[str, int]


class EndpointSum(msgspec.Struct, array_like=True):
    """The sums of one endpoint in one minute.

    Attributes:
        slow_attempts: Attempts past :data:`~.sums.SLOW_ATTEMPT_FACTOR` times their expected time.
        expected_ns: The expected time of all attempts.
        excess_ns: The time of slow attempts beyond their expected time.
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
    """The sums of one gateway in one minute, or in a part of it if the minute's accounts were in several segments.

    Attributes:
        minute: Minutes since the Unix epoch.
        matrix: The wait matrix: waiting volume; kind, name and detail of the holder; nanoseconds.
        folded_ns: The time of the cells that were merged into "others".
        max_omitted_cell_ns: The largest of these cells.
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
    """The requests of one class that are queued for one shard: their number, the cause, and the holders' shares."""

    shard: int
    class_name: str
    count: int
    cause: str
    holders: list[tuple[str, str, str, float]]


class QueueSnapshot(msgspec.Struct, array_like=True):
    """The requests that a gateway has queued, and the accounts that its ledger dropped or failed to write."""

    unix_ms: float
    gateway: str
    groups: list[QueuedGroup]
    dropped: int
    failed: int


LedgerRecord = Account | TraceRecord | MinuteSums
