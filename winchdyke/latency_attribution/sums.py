"""Adds up accounts by the minute, the form in which a ledger retains them for long. Without I/O.

Counts, times and histograms are exact and add up over minutes, segments and gateways. For each minute, the cells of the
wait matrix (``MAX_MATRIX_CELLS``) and the volumes with figures of their own (``MAX_VOLUMES``) are bounded. Smaller cells are
merged by waiting volume into "others", and volumes with shorter waits into "(others)".

In each record no cell that was merged into "others" is larger than ``max_omitted_cell_ns``. So a cell that the record lacks had
at most that time, unless its volume was merged into "(others)": those cells are not counted in this bound.
"""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

from hdrh.histogram import HdrHistogram

from winchdyke.latency_attribution.records import (
    Account,
    AttemptTimes,
    EndpointSum,
    LatencySum,
    MinuteSums,
    VolumeSum,
)
from winchdyke.latency_attribution.vocabulary import (
    NO_RESPONSE_OUTCOMES,
    OTHER_HOLDERS,
    OTHER_VOLUMES,
    Holder,
)

MAX_MATRIX_CELLS = 400
MAX_VOLUMES = 500
MAX_VOLUMES_PER_ENDPOINT = 8
SLOWEST_REQUESTS = 3  # requests of each minute whose accounts are retained
SLOW_ATTEMPT_FACTOR = 1.5  # multiple of the expected time beyond which an attempt counts as slow
MS_PER_MINUTE = 60_000
NS_PER_US = 1000
MAX_LATENCY_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2


def new_histogram() -> Any:
    """Returns an HDR histogram of microseconds up to an hour, with two significant digits."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def to_histogram_us(time_ns: int) -> int:
    """Converts nanoseconds to a histogram's microseconds, at least 1."""
    return max(1, time_ns // NS_PER_US)


def is_slow(attempt: AttemptTimes) -> bool:
    """Whether an attempt took longer than ``SLOW_ATTEMPT_FACTOR`` times its expected time."""
    return bool(attempt.expected_ns) and attempt.time_ns > SLOW_ATTEMPT_FACTOR * attempt.expected_ns


def sum_by_minute(accounts: Iterable[Account]) -> list[MinuteSums]:
    """Adds up accounts by minute and gateway, and returns the sums in order of time."""
    minutes: defaultdict[tuple[int, str], MinuteAccumulator] = defaultdict(MinuteAccumulator)
    for account in accounts:
        minutes[int(account.began_unix_ms // MS_PER_MINUTE), account.gateway].add(account)
    return [
        accumulator.to_record(minute, gateway) for (minute, gateway), accumulator in sorted(minutes.items())
    ]


class VolumeAccumulator:
    """Collects the figures of one volume in one minute. Times are in nanoseconds."""

    def __init__(self) -> None:
        self.latencies_ns: list[int] = []
        self.queued_ns = 0
        self.outcomes: Counter[str] = Counter()
        self.phases_ns: Counter[str] = Counter()
        self.causes_ns: Counter[str] = Counter()

    def add(self, account: Account) -> None:
        """Adds one account."""
        self.latencies_ns.append(account.latency_ns)
        self.queued_ns += account.queued_ns
        self.outcomes[account.outcome] += 1
        self.phases_ns.update(dict(account.phases_ns))
        self.causes_ns.update(account.causes_ns)

    def merge(self, other: VolumeAccumulator) -> None:
        """Adds the figures of another accumulator."""
        self.latencies_ns += other.latencies_ns
        self.queued_ns += other.queued_ns
        self.outcomes.update(other.outcomes)
        self.phases_ns.update(other.phases_ns)
        self.causes_ns.update(other.causes_ns)

    def to_record(self, volume: str) -> VolumeSum:
        """Returns the record of the volume."""
        return VolumeSum(
            volume=volume,
            latency=_latency_sum(self.latencies_ns),
            queued_ns=self.queued_ns,
            outcomes=dict(self.outcomes),
            phases_ns=dict(self.phases_ns),
            causes_ns=dict(self.causes_ns),
        )


class MinuteAccumulator:
    """Collects the figures of one gateway in one minute. Times are in nanoseconds."""

    def __init__(self) -> None:
        self._requests = 0
        self._queued_ns = 0
        self._retries = 0
        self._volumes: defaultdict[str, VolumeAccumulator] = defaultdict(VolumeAccumulator)
        self._classes: defaultdict[str, list[int]] = defaultdict(list)  # latencies in ns, by request class
        # Waiting volume and times of each attempt, by endpoint.
        self._attempts: defaultdict[str, list[tuple[str, AttemptTimes]]] = defaultdict(list)
        self._matrix: Counter[tuple[str, Holder]] = Counter()  # ns by waiting volume and holder
        # A min-heap by latency in ns; the request's name orders equal latencies.
        self._slowest: list[tuple[int, str, Account]] = []

    def add(self, account: Account) -> None:
        """Adds one account."""
        volume = account.volume
        self._requests += 1
        self._queued_ns += account.queued_ns
        self._retries += bool(account.first_request)
        self._volumes[volume].add(account)
        self._classes[account.class_name].append(account.latency_ns)
        for kind, name, detail, share_ns in account.blame:
            self._matrix[volume, (kind, name, detail)] += share_ns
        for attempt in account.attempts():
            self._attempts[attempt.endpoint].append((volume, attempt))
        entry = (account.latency_ns, account.request, account)
        if len(self._slowest) < SLOWEST_REQUESTS:
            heapq.heappush(self._slowest, entry)
        else:
            heapq.heappushpop(self._slowest, entry)

    def to_record(self, minute: int, gateway: str) -> MinuteSums:
        """Returns the record of the minute (minutes since the Unix epoch); merges the smaller volumes and cells."""
        self._merge_smaller_volumes()
        cells = self._matrix.most_common()
        merged_cells = cells[MAX_MATRIX_CELLS:]
        others_ns: Counter[str] = Counter()
        for (volume, _), share_ns in merged_cells:
            others_ns[volume] += share_ns
        matrix = [(volume, *holder, share_ns) for (volume, holder), share_ns in cells[:MAX_MATRIX_CELLS]]
        matrix += [(volume, *OTHER_HOLDERS, share_ns) for volume, share_ns in others_ns.items()]
        return MinuteSums(
            minute=minute,
            gateway=gateway,
            requests=self._requests,
            queued_ns=self._queued_ns,
            volumes=[accumulator.to_record(volume) for volume, accumulator in self._volumes.items()],
            classes=[(name, _latency_sum(values_ns)) for name, values_ns in self._classes.items()],
            endpoints=[_endpoint_sum(name, attempts) for name, attempts in self._attempts.items()],
            matrix=matrix,
            folded_ns=sum(others_ns.values()),
            max_omitted_cell_ns=merged_cells[0][1] if merged_cells else 0,
            retries=self._retries,
            slowest=[account for _, _, account in self._slowest],
        )

    def _merge_smaller_volumes(self) -> None:
        """Merges volumes beyond ``MAX_VOLUMES`` into "(others)"; those with the longest waits keep their figures."""
        if len(self._volumes) <= MAX_VOLUMES:
            return
        queued_ns = Counter({volume: each.queued_ns for volume, each in self._volumes.items()})
        retained = {volume for volume, _ in queued_ns.most_common(MAX_VOLUMES)}
        for volume in [volume for volume in self._volumes if volume not in retained]:
            merged = self._volumes.pop(volume)
            self._volumes[OTHER_VOLUMES].merge(merged)
        for volume, holder in [cell for cell in self._matrix if cell[0] not in retained]:
            self._matrix[OTHER_VOLUMES, holder] += self._matrix.pop((volume, holder))


def _latency_sum(values_ns: list[int]) -> LatencySum:
    """Returns the count and total of latencies, which are exact, and their encoded histogram in microseconds."""
    histogram = new_histogram()
    for value_ns in values_ns:
        histogram.record_value(to_histogram_us(value_ns))
    return LatencySum(len(values_ns), sum(values_ns), histogram.encode())


def _endpoint_sum(name: str, attempts: list[tuple[str, AttemptTimes]]) -> EndpointSum:
    """Returns the record of an endpoint from the volume and times of each attempt."""
    excess_ns: Counter[str] = Counter()
    lost: Counter[str] = Counter()
    slow_attempts = 0
    for volume, attempt in attempts:
        if is_slow(attempt):
            slow_attempts += 1
            excess_ns[volume] += attempt.time_ns - attempt.expected_ns
        if attempt.outcome in NO_RESPONSE_OUTCOMES:
            lost[volume] += 1
    return EndpointSum(
        endpoint=name,
        latency=_latency_sum([attempt.time_ns for _, attempt in attempts]),
        slow_attempts=slow_attempts,
        expected_ns=sum(attempt.expected_ns for _, attempt in attempts),
        excess_ns=sum(excess_ns.values()),
        excess_ns_by_volume=dict(excess_ns.most_common(MAX_VOLUMES_PER_ENDPOINT)),
        outcomes=dict(Counter(attempt.outcome for _, attempt in attempts)),
        lost_by_volume=dict(lost.most_common(MAX_VOLUMES_PER_ENDPOINT)),
    )
