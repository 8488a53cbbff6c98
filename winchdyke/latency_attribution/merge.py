"""Merges ledgers of several gateways to find which requests, through any gateway, made an endpoint slow. Without I/O.

A gateway observes only its own requests, so a wait that it attributes to a slow endpoint may be contention by requests of
other gateways. A first pass over merged ledgers adds up, for each endpoint and time bin, the time that requests of each
volume and class spent there through any gateway, and the work that was done. A second pass divides the waits that were
attributed to the endpoint: the fraction of its throughput that it lacked, relative to its own best in these ledgers, stays
with the endpoint; the rest is divided among the requests there by their time at it (an estimate, as at one gateway). Clocks
that differ by ``clock_skew_ms`` shift a request by as much, so bins are at least twice as wide.
"""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import msgspec

from winchdyke.latency_attribution.apportionment import apportion
from winchdyke.latency_attribution.records import Account
from winchdyke.latency_attribution.vocabulary import (
    DETAIL_SLOW,
    KIND_ENDPOINT,
    KIND_VOLUME,
    OUTCOME_SERVED,
    PHASE_QUEUED,
    PHASES_AT_STORE,
    Holder,
)

MIN_BIN_MS = 500.0  # in shorter bins, random variation hides the throughput
# The quantile of an endpoint's bins that counts as its best throughput; the maximum would vary at random.
THROUGHPUT_QUANTILE = 0.9
MAX_TRACKED_KEYS = 200_000
# A request counts as a possible retry up to this time after an unserved one.
MAX_RETRY_DELAY_MS = 15_000.0
MIN_ATTEMPT_MS = 1e-3
NS_PER_MS = 1e6


@dataclass(frozen=True, slots=True)
class AttemptInterval:
    """The interval in which an attempt was at its endpoint, in Unix milliseconds by its gateway's clock."""

    endpoint: str
    begin_ms: float
    end_ms: float


@dataclass(frozen=True, slots=True)
class _ObservedRequest:
    began_unix_ms: float
    gateway: str
    served: bool


def attempt_intervals(account: Account) -> Iterator[AttemptInterval]:
    """Yields the interval of each attempt of an account; none if the account has no timeline."""
    intervals_ns: list[tuple[int, int]] = []
    begin_ns: int | None = None
    last_end_ns = 0
    for phase, phase_begin_ns, phase_end_ns in account.timeline:
        if phase in PHASES_AT_STORE:
            if begin_ns is None:
                begin_ns = phase_begin_ns
            last_end_ns = phase_end_ns
        elif begin_ns is not None:
            intervals_ns.append((begin_ns, last_end_ns))
            begin_ns = None
    if begin_ns is not None:
        intervals_ns.append((begin_ns, last_end_ns))
    for endpoint, (first_ns, end_ns) in zip(account.attempt_endpoints, intervals_ns, strict=False):
        begin_ms = account.began_unix_ms + first_ns / NS_PER_MS
        yield AttemptInterval(endpoint, begin_ms, account.began_unix_ms + end_ns / NS_PER_MS)


def merge_accounts(accounts: Iterable[Account], clock_skew_ms: float = 0.0) -> list[Account]:
    """Returns the accounts of several gateways with waits attributed across gateways.

    All accounts are held in memory; for large ledgers, read them twice with a :class:`ContentionTimeline` instead.
    """
    retained = list(accounts)
    timeline = ContentionTimeline(clock_skew_ms)
    for account in retained:
        timeline.add(account)
    return [timeline.reattribute(account) for account in retained]


class ContentionTimeline:
    """The time that requests spent at each endpoint, by time bin, through all gateways.

    Attributes:
        bin_ms: The width of a bin.
        evicted_keys: Keys that were dropped from the search for retries, for lack of space.
    """

    def __init__(self, clock_skew_ms: float = 0.0) -> None:
        """``clock_skew_ms``: the largest difference between the gateways' clocks."""
        self.bin_ms = max(MIN_BIN_MS, 2 * clock_skew_ms)
        self.evicted_keys = 0
        # Milliseconds that requests spent at an endpoint, by endpoint and bin, then by volume and class.
        self._presence_ms: defaultdict[tuple[str, int], defaultdict[tuple[str, str], float]] = defaultdict(
            lambda: defaultdict(float)
        )
        self._completed_units: defaultdict[str, defaultdict[int, float]] = defaultdict(
            lambda: defaultdict(float)
        )
        self._max_units: dict[str, float] = {}
        self._observed: OrderedDict[tuple[str, str], list[_ObservedRequest]] = OrderedDict()

    def add(self, account: Account) -> None:
        """Adds one account (first pass)."""
        owner = (account.volume, account.class_name)
        for interval, outcome in zip(attempt_intervals(account), account.attempt_outcomes, strict=False):
            duration_ms = max(interval.end_ms - interval.begin_ms, MIN_ATTEMPT_MS)
            for bin_number, overlap_ms in self._bins(interval.begin_ms, interval.end_ms):
                self._presence_ms[interval.endpoint, bin_number][owner] += overlap_ms
                if outcome == OUTCOME_SERVED:
                    units = account.units * overlap_ms / duration_ms
                    self._completed_units[interval.endpoint][bin_number] += units
        if account.key:
            self._remember(account)
        self._max_units.clear()

    def max_units_per_bin(self, endpoint: str) -> float:
        """Returns the units of work an endpoint can do in a bin: a high quantile over the bins in which it did any."""
        if endpoint not in self._max_units:
            values = sorted(self._completed_units[endpoint].values())
            index = int(THROUGHPUT_QUANTILE * (len(values) - 1))
            self._max_units[endpoint] = values[index] if values else 0.0
        return self._max_units[endpoint]

    def slowness_shares(self, endpoint: str, bin_number: int) -> dict[Holder, float]:
        """Divides an endpoint's slowness in a bin among itself, by the throughput it lacked, and the requests there.

        The shares sum to 1.
        """
        itself: Holder = (KIND_ENDPOINT, endpoint, DETAIL_SLOW)
        presence_ms = self._presence_ms.get((endpoint, bin_number))
        if not presence_ms:
            return {itself: 1.0}
        max_units = self.max_units_per_bin(endpoint)
        lacked = 1.0
        if max_units:
            lacked = max(0.0, 1 - self._completed_units[endpoint].get(bin_number, 0.0) / max_units)
        total_ms = sum(presence_ms.values())
        shares: dict[Holder, float] = {
            (KIND_VOLUME, volume, class_name): (1 - lacked) * time_ms / total_ms
            for (volume, class_name), time_ms in presence_ms.items()
        }
        shares[itself] = lacked
        return shares

    def reattribute(self, account: Account) -> Account:
        """Returns the account with its waits for slow endpoints divided anew (second pass); sums stay exact."""
        slow = [entry for entry in account.blame if _is_slow_endpoint(entry[0], entry[2])]
        queued = [
            (begin_ns, end_ns)
            for phase, begin_ns, end_ns in account.timeline
            if phase == PHASE_QUEUED and end_ns > begin_ns
        ]
        if not slow or not queued:
            return account
        blame: Counter[Holder] = Counter()
        for kind, name, detail, share_ns in account.blame:
            if not _is_slow_endpoint(kind, detail):
                blame[kind, name, detail] += share_ns
        for _, endpoint, _, share_ns in slow:
            weights = self._slowness_weights(endpoint, account.began_unix_ms, queued)
            blame.update(apportion(share_ns, weights))
        entries = [(*holder, share_ns) for holder, share_ns in blame.items()]
        return msgspec.structs.replace(account, blame=entries)

    def count_possible_retries(self) -> int:
        """Counts requests that may be retries of an unserved request at another gateway; the ledgers can't prove it."""
        count = 0
        for requests in self._observed.values():
            if len({request.gateway for request in requests}) < 2:
                continue
            for request in requests:
                count += any(self._may_retry(request, earlier) for earlier in requests)
        return count

    def _may_retry(self, request: _ObservedRequest, earlier: _ObservedRequest) -> bool:
        """Returns whether a request may retry an earlier one that another gateway did not serve, by the time between them."""
        if earlier.served or earlier.gateway == request.gateway:
            return False
        delay_ms = request.began_unix_ms - earlier.began_unix_ms
        return -self.bin_ms <= delay_ms <= MAX_RETRY_DELAY_MS + self.bin_ms

    def _slowness_weights(
        self, endpoint: str, began_unix_ms: float, queued: list[tuple[int, int]]
    ) -> dict[Holder, float]:
        """Returns the milliseconds by holder that made an endpoint slow during intervals (ns after ``began_unix_ms``)."""
        weights: defaultdict[Holder, float] = defaultdict(float)
        for begin_ns, end_ns in queued:
            begin_ms = began_unix_ms + begin_ns / NS_PER_MS
            end_ms = began_unix_ms + end_ns / NS_PER_MS
            for bin_number, overlap_ms in self._bins(begin_ms, end_ms):
                for holder, share in self.slowness_shares(endpoint, bin_number).items():
                    weights[holder] += overlap_ms * share
        return weights

    def _bins(self, begin_ms: float, end_ms: float) -> Iterator[tuple[int, float]]:
        """Yields the bins that an interval overlaps, with the milliseconds in each."""
        bin_number = int(begin_ms // self.bin_ms)
        while bin_number * self.bin_ms < end_ms:
            bin_end_ms = (bin_number + 1) * self.bin_ms
            overlap_ms = min(end_ms, bin_end_ms) - max(begin_ms, bin_number * self.bin_ms)
            if overlap_ms > 0:
                yield bin_number, overlap_ms
            bin_number += 1

    def _remember(self, account: Account) -> None:
        """Remembers a request by volume and key; the oldest key is evicted beyond ``MAX_TRACKED_KEYS``."""
        observed = _ObservedRequest(account.began_unix_ms, account.gateway, account.outcome == OUTCOME_SERVED)
        self._observed.setdefault((account.volume, account.key), []).append(observed)
        if len(self._observed) > MAX_TRACKED_KEYS:
            self._observed.popitem(last=False)
            self.evicted_keys += 1


def _is_slow_endpoint(kind: str, detail: str) -> bool:
    return kind == KIND_ENDPOINT and detail == DETAIL_SLOW
