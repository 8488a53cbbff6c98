"""Accounts summed up by the minute, for evenings long past: who waited, how long, for whom. Pure.

Counts, times and histograms of what is kept are exact, and add up over minutes, segments and gateways. Bounded are the cells
of the wait matrix (``CELLS_MOST``) and the volumes with figures of their own (``VOLUMES_MOST``) for a minute. What is left out
of the matrix is added up by waiter as "others"; no cell that is left out is larger than ``below``, which is the stated error
of a cell for each piece of a minute that is added up.
"""

from __future__ import annotations

import heapq
from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram

from winchdyke.latency_attribution.spans import Account, Holder

CELLS_MOST = 400
VOLUMES_MOST = 500
WORST = 3  # accounts of a minute that are kept whole: its slowest
OTHERS = "(others)"  # volumes without figures of their own
FOLDED: Holder = ("others", "folded", "")
NO_ANSWER = frozenset({"store-reset", "timed-out"})  # ends of attempts that may have run, with no answer
SLOW_EVIDENCE = 1.5  # times the usual from which on a node's attempts are evidence


def histogram() -> Any:
    """Microseconds up to an hour, to two digits."""
    return HdrHistogram(1, 3_600_000_000, 2)


class Latencies(msgspec.Struct, array_like=True):
    """Requests or attempts: how many, their time in all (nanoseconds), and an HDR histogram (V2, base64, microseconds)."""

    count: int
    total: int
    histogram: bytes


class VolumeSum(msgspec.Struct, array_like=True):
    """A volume's minute. Times in nanoseconds."""

    volume: str
    latency: Latencies
    held: int
    outcomes: dict[str, int]
    phases: dict[str, int]
    causes: dict[str, int]


class NodeSum(msgspec.Struct, array_like=True):
    """A node's minute: its attempts, those past their usual, and what they took beyond it, by volume."""

    node: str
    latency: Latencies
    slow: int
    usual: int
    excess: int
    volumes: dict[str, int]
    ends: dict[str, int]  # attempts by how they ended
    lost: dict[str, int]  # attempts with no answer, by volume; the eight with the most


class Sums(msgspec.Struct, array_like=True, tag=3):
    """One minute of one gateway, or a piece of it where two segments meet."""

    minute: int  # since the Unix epoch
    gateway: str
    requests: int
    held: int
    volumes: list[VolumeSum]
    classes: list[tuple[str, Latencies]]
    nodes: list[NodeSum]
    matrix: list[
        tuple[str, str, str, str, int]
    ]  # waiter, then kind, name and what of the holder, nanoseconds
    folded: int  # nanoseconds of cells that were added up as others
    below: int  # no cell that was left out is larger
    firsts: int
    worst: list[Account]


def _latencies(values: list[int]) -> Latencies:
    made = histogram()
    for value in values:
        made.record_value(max(1, value // 1000))
    return Latencies(len(values), sum(values), made.encode())


class Minute:
    """One minute of one gateway while it is added up."""

    def __init__(self) -> None:
        self.requests = self.held = self.firsts = 0
        self.matrix: Counter[tuple[str, Holder]] = Counter()
        self.latencies: defaultdict[str, list[int]] = defaultdict(list)
        self.classes: defaultdict[str, list[int]] = defaultdict(list)
        self.helds: Counter[str] = Counter()
        self.counts: defaultdict[tuple[str, str], Counter[str]] = defaultdict(Counter)
        self.nodes: defaultdict[str, list[tuple[int, int, str, str]]] = defaultdict(list)
        self.worst: list[tuple[int, str, Account]] = []

    def add(self, account: Account) -> None:
        """Count one account."""
        volume, held = account.volume, account.held
        self.requests += 1
        self.held += held
        self.firsts += bool(account.first)
        self.latencies[volume].append(account.latency)
        self.classes[account.class_name].append(account.latency)
        self.helds[volume] += held
        self.counts[volume, "outcomes"][account.outcome] += 1
        self.counts[volume, "phases"].update(dict(account.spans))
        self.counts[volume, "causes"].update(account.causes)
        for kind, name, what, share in account.blame:
            self.matrix[volume, (kind, name, what)] += share
        for node, how, out, usual in zip(
            account.nodes, account.ends, account.store, account.usual, strict=True
        ):
            self.nodes[node].append((out, usual, volume, how))
        entry = (account.latency, account.request, account)
        (heapq.heappush if len(self.worst) < WORST else heapq.heappushpop)(self.worst, entry)

    def sums(self, minute: int, gateway: str) -> Sums:
        """What is kept of it."""
        own = {volume for volume, _ in self.helds.most_common(VOLUMES_MOST)}
        if len(own) < len(self.helds):
            self._fold_volumes(own)
        cells = self.matrix.most_common()
        kept, left = cells[:CELLS_MOST], cells[CELLS_MOST:]
        others: Counter[str] = Counter()
        for (volume, _), share in left:
            others[volume] += share
        matrix = [(volume, *holder, share) for (volume, holder), share in kept]
        return Sums(
            minute, gateway, self.requests, self.held,
            [self._volume(volume) for volume in self.latencies],
            [(name, _latencies(values)) for name, values in self.classes.items()],
            [_node(name, seen) for name, seen in self.nodes.items()],
            matrix + [(volume, *FOLDED, share) for volume, share in others.items()],
            sum(others.values()), left[0][1] if left else 0, self.firsts,
            [account for _, _, account in self.worst],
        )  # fmt: skip

    def _fold_volumes(self, own: set[str]) -> None:
        for volume in [volume for volume in self.latencies if volume not in own]:
            self.latencies[OTHERS] += self.latencies.pop(volume)
            self.helds[OTHERS] += self.helds.pop(volume)
            for what in ("outcomes", "phases", "causes"):
                self.counts[OTHERS, what].update(self.counts.pop((volume, what), Counter()))
        for waiter, holder in [cell for cell in self.matrix if cell[0] not in own]:
            self.matrix[OTHERS, holder] += self.matrix.pop((waiter, holder))

    def _volume(self, volume: str) -> VolumeSum:
        outcomes, phases, causes = (dict(self.counts[volume, w]) for w in ("outcomes", "phases", "causes"))
        held = self.helds[volume]
        return VolumeSum(volume, _latencies(self.latencies[volume]), held, outcomes, phases, causes)


def _node(name: str, seen: list[tuple[int, int, str, str]]) -> NodeSum:
    volumes: Counter[str] = Counter()
    slow = 0
    for out, usual, volume, _ in seen:
        if usual and out > SLOW_EVIDENCE * usual:
            slow += 1
            volumes[volume] += out - usual
    usual = sum(usual for _, usual, _, _ in seen)
    latency = _latencies([out for out, *_ in seen])
    ends = Counter(how for *_, how in seen)
    lost = Counter(volume for *_, volume, how in seen if how in NO_ANSWER)
    slowest, losers = dict(volumes.most_common(8)), dict(lost.most_common(8))
    return NodeSum(name, latency, slow, usual, sum(volumes.values()), slowest, dict(ends), losers)


def summed_up(accounts: Iterable[Account]) -> list[Sums]:
    """Accounts as sums by minute and gateway, in order of time."""
    minutes: defaultdict[tuple[int, str], Minute] = defaultdict(Minute)
    for account in accounts:
        minutes[int(account.began_unix_ms // 60_000), account.gateway].add(account)
    return [made.sums(minute, gateway) for (minute, gateway), made in sorted(minutes.items())]
