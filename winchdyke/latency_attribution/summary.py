"""Adds up accounts and minute sums to a summary by volume, endpoint, class and minute. Without I/O."""

from __future__ import annotations

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from winchdyke.latency_attribution.records import Account, EndpointSum, MinuteSums, VolumeSum
from winchdyke.latency_attribution.sums import MS_PER_MINUTE, is_slow, new_histogram, to_histogram_us
from winchdyke.latency_attribution.vocabulary import (
    NO_RESPONSE_OUTCOMES,
    OTHER_HOLDERS,
    OUTCOME_SERVED,
    Holder,
)

SLOWEST_REQUESTS = 10
MAX_MATRIX_CELLS = 2000  # cells kept when the matrix is folded, once it has more than twice as many
LAST_MS_OF_MINUTE = MS_PER_MINUTE - 1


@dataclass
class VolumeSummary:
    """The totals of one volume: requests, outcomes, time in the queue, and a histogram of latencies (microseconds)."""

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    queued_ns: int = 0
    latencies_us: Any = field(default_factory=new_histogram)
    phases_ns: Counter[str] = field(default_factory=Counter)
    causes_ns: Counter[str] = field(default_factory=Counter)

    def add(self, account: Account) -> None:
        """Adds one account."""
        self.requests += 1
        self.outcomes[account.outcome] += 1
        self.queued_ns += account.queued_ns
        self.latencies_us.record_value(to_histogram_us(account.latency_ns))
        self.phases_ns.update(dict(account.phases_ns))
        self.causes_ns.update(account.causes_ns)

    def add_sum(self, volume: VolumeSum) -> None:
        """Adds the volume's sums of a minute."""
        self.requests += volume.latency.count
        self.outcomes.update(volume.outcomes)
        self.queued_ns += volume.queued_ns
        self.latencies_us.decode_and_add(volume.latency.histogram)
        self.phases_ns.update(volume.phases_ns)
        self.causes_ns.update(volume.causes_ns)


@dataclass
class EndpointSummary:
    """The totals of one endpoint: its attempts, the slow ones, and their time beyond the expected time.

    Attributes:
        upstream_ns: The time of all attempts.
        expected_ns: The expected time of all attempts.
        lost_by_volume: Attempts without a response.
    """

    attempts: int = 0
    slow_attempts: int = 0
    upstream_ns: int = 0
    expected_ns: int = 0
    excess_ns: int = 0
    latencies_us: Any = field(default_factory=new_histogram)
    excess_ns_by_volume: Counter[str] = field(default_factory=Counter)
    outcomes: Counter[str] = field(default_factory=Counter)
    lost_by_volume: Counter[str] = field(default_factory=Counter)

    def add_sum(self, endpoint: EndpointSum) -> None:
        """Adds the endpoint's sums of a minute."""
        self.attempts += endpoint.latency.count
        self.slow_attempts += endpoint.slow_attempts
        self.upstream_ns += endpoint.latency.total_ns
        self.expected_ns += endpoint.expected_ns
        self.excess_ns += endpoint.excess_ns
        self.latencies_us.decode_and_add(endpoint.latency.histogram)
        self.excess_ns_by_volume.update(endpoint.excess_ns_by_volume)
        self.outcomes.update(endpoint.outcomes)
        self.lost_by_volume.update(endpoint.lost_by_volume)


class Summary:
    """Totals of accounts and minute sums. Times are exact; the wait matrix is bounded, and smaller cells are merged.

    Attributes:
        volumes: By name.
        endpoints: By name.
        classes: A histogram of latencies (microseconds) of each request class.
        matrix: Time in the queue (ns) by waiting volume and holder.
        minutes: Time in the queue (ns) by minute and volume.
        slowest: The slowest requests: latency, id, account; a heap.
        retries: Requests that retried another one, by the id of that one.
        summed_retries: Such requests that are known from minute sums alone.
        possible_retries: Requests that may retry one at another gateway.
        folded_ns: Time in cells of the matrix that were merged into "others".
        max_cell_error_ns: The largest time that a cell may lack because minute sums left it out.
        summed_requests: Requests that are known from minute sums alone.
        omitted_minutes: Minutes known from sums alone that an interval or endpoint filter could not divide.
    """

    def __init__(self) -> None:
        self.volumes: defaultdict[str, VolumeSummary] = defaultdict(VolumeSummary)
        self.endpoints: defaultdict[str, EndpointSummary] = defaultdict(EndpointSummary)
        self.classes: defaultdict[str, Any] = defaultdict(new_histogram)
        self.matrix: Counter[tuple[str, Holder]] = Counter()
        self.minutes: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.slowest: list[tuple[int, str, Account]] = []
        self.requests = 0
        self.queued_ns = 0
        self.latency_ns = 0
        self.first_unix_ms = math.inf
        self.last_unix_ms = -math.inf
        self.retries: Counter[str] = Counter()
        self.summed_retries = 0
        self.possible_retries = 0
        self.folded_ns = 0
        self.max_cell_error_ns = 0
        self.summed_requests = 0
        self.omitted_minutes = 0
        self._first_gateways: dict[tuple[str, str], str] = {}

    def add(self, account: Account) -> None:
        """Adds one account."""
        self.requests += 1
        self.queued_ns += account.queued_ns
        self.latency_ns += account.latency_ns
        self._extend_range(account.began_unix_ms, account.began_unix_ms)
        self.volumes[account.volume].add(account)
        self.classes[account.class_name].record_value(to_histogram_us(account.latency_ns))
        minute = int(account.began_unix_ms // MS_PER_MINUTE)
        for kind, name, detail, share_ns in account.blame:
            self._add_cell(minute, account.volume, (kind, name, detail), share_ns)
        self._add_attempts(account)
        self._add_retry(account)
        self._add_slowest(account)
        self._fold_matrix()

    def add_sums(self, sums: MinuteSums) -> None:
        """Adds the sums of a minute. Cells that it folded keep their time but not their holders."""
        self.requests += sums.requests
        self.summed_requests += sums.requests
        self.queued_ns += sums.queued_ns
        self.folded_ns += sums.folded_ns
        self.max_cell_error_ns += sums.max_omitted_cell_ns
        self.summed_retries += sums.retries
        begin_unix_ms = sums.minute * MS_PER_MINUTE
        self._extend_range(begin_unix_ms, begin_unix_ms + LAST_MS_OF_MINUTE)
        for volume in sums.volumes:
            self.latency_ns += volume.latency.total_ns
            self.volumes[volume.volume].add_sum(volume)
        for class_name, latencies in sums.classes:
            self.classes[class_name].decode_and_add(latencies.histogram)
        for endpoint in sums.endpoints:
            self.endpoints[endpoint.endpoint].add_sum(endpoint)
        for volume_name, kind, name, detail, share_ns in sums.matrix:
            self._add_cell(sums.minute, volume_name, (kind, name, detail), share_ns)
        for account in sums.slowest:
            self._add_slowest(account)
        self._fold_matrix()

    def holders(self, volume: str) -> list[tuple[Holder, int]]:
        """Returns the holders that a volume's requests waited for, with the nanoseconds; the longest wait first."""
        found = [(holder, share_ns) for (waiter, holder), share_ns in self.matrix.items() if waiter == volume]
        return sorted(found, key=lambda entry: (-entry[1], entry[0]))

    def _extend_range(self, first_unix_ms: float, last_unix_ms: float) -> None:
        self.first_unix_ms = min(self.first_unix_ms, first_unix_ms)
        self.last_unix_ms = max(self.last_unix_ms, last_unix_ms)

    def _add_cell(self, minute: int, volume: str, holder: Holder, share_ns: int) -> None:
        self.matrix[volume, holder] += share_ns
        self.minutes[minute][volume] += share_ns

    def _add_attempts(self, account: Account) -> None:
        for attempt in account.attempts():
            endpoint = self.endpoints[attempt.endpoint]
            endpoint.attempts += 1
            endpoint.upstream_ns += attempt.time_ns
            endpoint.expected_ns += attempt.expected_ns
            endpoint.latencies_us.record_value(to_histogram_us(attempt.time_ns))
            if is_slow(attempt):
                excess_ns = attempt.time_ns - attempt.expected_ns
                endpoint.slow_attempts += 1
                endpoint.excess_ns += excess_ns
                endpoint.excess_ns_by_volume[account.volume] += excess_ns
            endpoint.outcomes[attempt.outcome] += 1
            endpoint.lost_by_volume[account.volume] += attempt.outcome in NO_RESPONSE_OUTCOMES

    def _add_retry(self, account: Account) -> None:
        """Counts a retry of a known request, or a request without success whose key was first seen at another gateway as possible."""
        if account.first_request:
            self.retries[account.first_request] += 1
        elif account.client_request and account.outcome != OUTCOME_SERVED:
            # The same key at another gateway may be a retry: counted as possible, never as certain.
            key = (account.volume, account.key)
            first_gateway = self._first_gateways.setdefault(key, account.gateway)
            self.possible_retries += first_gateway != account.gateway

    def _add_slowest(self, account: Account) -> None:
        entry = (account.latency_ns, account.request, account)
        if len(self.slowest) < SLOWEST_REQUESTS:
            heapq.heappush(self.slowest, entry)
        elif entry[:2] > self.slowest[0][:2]:
            heapq.heapreplace(self.slowest, entry)

    def _fold_matrix(self) -> None:
        """Merges the smaller cells of a matrix that has grown to twice its bound into "others"."""
        if len(self.matrix) <= 2 * MAX_MATRIX_CELLS:
            return
        folded = Counter(dict(self.matrix.most_common(MAX_MATRIX_CELLS)))
        retained = set(folded)
        for (volume, holder), share_ns in self.matrix.items():
            if (volume, holder) in retained:
                continue
            folded[volume, OTHER_HOLDERS] += share_ns
            if holder != OTHER_HOLDERS:
                self.folded_ns += share_ns
        self.matrix = folded


def summarize(
    entries: Iterable[Account | MinuteSums],
    since_unix_ms: float | None = None,
    until_unix_ms: float | None = None,
    endpoint: str | None = None,
) -> Summary:
    """Returns a summary of the requests that began in an interval and had an attempt at an endpoint.

    Minute sums are included if their minute lies within the interval. Minutes that lie partly within it, and all minutes if
    an endpoint is given, are counted as omitted.
    """
    summary = Summary()
    since = -math.inf if since_unix_ms is None else since_unix_ms
    until = math.inf if until_unix_ms is None else until_unix_ms
    for entry in entries:
        if isinstance(entry, MinuteSums):
            _add_minute(summary, entry, since, until, endpoint)
        elif since <= entry.began_unix_ms < until and _has_attempt_at(entry, endpoint):
            summary.add(entry)
    return summary


def _has_attempt_at(account: Account, endpoint: str | None) -> bool:
    return endpoint is None or endpoint in account.attempt_endpoints


def _add_minute(summary: Summary, sums: MinuteSums, since: float, until: float, endpoint: str | None) -> None:
    """Adds a minute that lies within the interval; one that the interval or an endpoint filter divides counts as omitted."""
    begin_unix_ms = float(sums.minute * MS_PER_MINUTE)
    end_unix_ms = begin_unix_ms + LAST_MS_OF_MINUTE
    if end_unix_ms < since or begin_unix_ms >= until:
        return
    if begin_unix_ms < since or end_unix_ms >= until or endpoint is not None:
        summary.omitted_minutes += 1
    else:
        summary.add_sums(sums)
