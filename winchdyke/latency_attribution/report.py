"""The report: accounts added up, and the sentence that answers why a course waited. Pure."""

from __future__ import annotations

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from winchdyke.latency_attribution.spans import Account, Holder
from winchdyke.latency_attribution.sums import FOLDED, NO_ANSWER, SLOW_EVIDENCE, Sums, histogram

WORST = 10
PAIRS_MOST = 2000  # cells of the matrix that are kept; what falls out is added up as "others"


@dataclass
class Course:
    """What is known of a volume: requests, answers, waits (nanoseconds), and its latencies in microseconds."""

    requests: int = 0
    outcomes: Counter[str] = field(default_factory=Counter)
    held: int = 0
    latency: Any = field(default_factory=histogram)
    phases: Counter[str] = field(default_factory=Counter)
    causes: Counter[str] = field(default_factory=Counter)


@dataclass
class NodeSeen:
    """What is known of a node: attempts, their time out and what would have been usual (nanoseconds)."""

    attempts: int = 0
    slow: int = 0
    out: int = 0
    usual: int = 0
    excess: int = 0
    latency: Any = field(default_factory=histogram)
    volumes: Counter[str] = field(default_factory=Counter)
    ends: Counter[str] = field(default_factory=Counter)
    lost: Counter[str] = field(default_factory=Counter)  # attempts of each volume with no answer


class Summary:
    """Accounts added up. Sums of waits are exact; the matrix keeps ``PAIRS_MOST`` cells and adds up the rest by waiter."""

    def __init__(self) -> None:
        self.courses: defaultdict[str, Course] = defaultdict(Course)
        self.nodes: defaultdict[str, NodeSeen] = defaultdict(NodeSeen)
        self.matrix: Counter[tuple[str, Holder]] = Counter()
        self.minutes: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self.worst: list[tuple[int, str, Account]] = []
        self.requests = self.held = self.latency = 0
        self.begin, self.end = math.inf, -math.inf
        self.firsts: Counter[str] = Counter()
        self.seen_at: dict[tuple[str, str], str] = {}
        self.unknown_firsts = 0
        self.error = 0  # nanoseconds that were folded into "others"
        self.below = 0  # what any cell of the matrix may lack at the most, from sums (nanoseconds)
        self.classes: defaultdict[str, Any] = defaultdict(histogram)
        self.summed = 0  # requests that are known from sums alone
        self.earlier_firsts = 0
        self.cut = 0  # minutes known as sums alone that could not be told apart as asked

    def add(self, account: Account) -> None:
        """Count one account."""
        course = self.courses[account.volume]
        held = account.held
        self.requests += 1
        self.held += held
        self.latency += account.latency
        self.begin, self.end = min(self.begin, account.began_unix_ms), max(self.end, account.began_unix_ms)
        course.requests += 1
        course.outcomes[account.outcome] += 1
        course.held += held
        course.latency.record_value(max(1, account.latency // 1000))
        self.classes[account.class_name].record_value(max(1, account.latency // 1000))
        course.phases.update(dict(account.spans))
        course.causes.update(account.causes)
        for kind, name, what, share in account.blame:
            self.matrix[account.volume, (kind, name, what)] += share
            self.minutes[int(account.began_unix_ms // 60_000)][account.volume] += share
        for node, how, out, usual in zip(
            account.nodes, account.ends, account.store, account.usual, strict=True
        ):
            self._node(node, out, usual, account.volume)
            self.nodes[node].ends[how] += 1
            self.nodes[node].lost[account.volume] += how in NO_ANSWER
        if account.first:
            self.firsts[account.first] += 1
        elif account.client_request and account.outcome != "served":
            # The same key at another gateway may be a second try of the same: told, never guessed.
            where = self.seen_at.setdefault((account.volume, account.key), account.gateway)
            self.unknown_firsts += where != account.gateway
        self._worst(account)
        if len(self.matrix) > 2 * PAIRS_MOST:
            self._fold()

    def add_sums(self, sums: Sums) -> None:
        """Count a minute that was summed up; where that folded cells, their sum stays and their holders are lost."""
        self.requests += sums.requests
        self.summed += sums.requests
        self.held += sums.held
        self.error += sums.folded
        self.below += sums.below
        self.earlier_firsts += sums.firsts
        self.begin, self.end = (
            min(self.begin, sums.minute * 60_000),
            max(self.end, sums.minute * 60_000 + 59_999),
        )
        for one in sums.volumes:
            course = self.courses[one.volume]
            course.requests += one.latency.count
            course.held += one.held
            self.latency += one.latency.total
            course.latency.decode_and_add(one.latency.histogram)
            course.outcomes.update(one.outcomes)
            course.phases.update(one.phases)
            course.causes.update(one.causes)
        for name, latencies in sums.classes:
            self.classes[name].decode_and_add(latencies.histogram)
        for seen in sums.nodes:
            node = self.nodes[seen.node]
            node.attempts += seen.latency.count
            node.out += seen.latency.total
            node.usual += seen.usual
            node.slow += seen.slow
            node.excess += seen.excess
            node.latency.decode_and_add(seen.latency.histogram)
            node.volumes.update(seen.volumes)
            node.ends.update(seen.ends)
            node.lost.update(seen.lost)
        for volume, kind, name, what, share in sums.matrix:
            self.matrix[volume, (kind, name, what)] += share
            self.minutes[sums.minute][volume] += share
        for account in sums.worst:
            self._worst(account)
        if len(self.matrix) > 2 * PAIRS_MOST:
            self._fold()

    def _worst(self, account: Account) -> None:
        entry = (account.latency, account.request, account)
        if len(self.worst) < WORST:
            heapq.heappush(self.worst, entry)
        elif entry[:2] > self.worst[0][:2]:
            heapq.heapreplace(self.worst, entry)

    def _node(self, name: str, out: int, usual: int, volume: str) -> None:
        node = self.nodes[name]
        node.attempts += 1
        node.out += out
        node.usual += usual
        node.latency.record_value(max(1, out // 1000))
        if usual and out > SLOW_EVIDENCE * usual:
            node.slow += 1
            node.excess += out - usual
            node.volumes[volume] += out - usual

    def _fold(self) -> None:
        kept = Counter(dict(self.matrix.most_common(PAIRS_MOST)))
        whole = set(kept)
        for (volume, holder), share in self.matrix.items():
            if (volume, holder) not in whole:
                kept[volume, FOLDED] += share
                self.error += share if holder != FOLDED else 0
        self.matrix = kept

    def holders(self, volume: str) -> list[tuple[Holder, int]]:
        """Who held a volume's requests, the worst first."""
        found = [(holder, share) for (waiter, holder), share in self.matrix.items() if waiter == volume]
        return sorted(found, key=lambda entry: (-entry[1], entry[0]))

    def sentence(self, volume: str) -> str:
        """Why a course waited, in a sentence with figures."""
        course = self.courses.get(volume)
        if course is None:
            return f"There is no request of {volume} here."
        p99 = course.latency.get_value_at_percentile(99) / 1e6
        out = course.phases["store"] + course.phases["answer"] + course.phases["dial"] + course.phases["send"]
        head = (
            f"{volume} sent {course.requests} requests ({course.outcomes['served']} served, "
            f"{course.outcomes['refused']} refused, {course.outcomes['failed']} failed; p99 {p99:.3f} s): "
            f"held {course.held / 1e9:.2f} s at gateways, {out / 1e9:.2f} s out at stores"
        )
        parts = [
            f"{100 * share / course.held:.0f}% {said(holder, volume)}"
            for holder, share in self.holders(volume)[:4]
            if course.held
        ]
        slow = [
            f"{name} added {node.volumes[volume] / 1e9:.2f} s beyond its usual"
            for name, node in sorted(self.nodes.items(), key=lambda entry: -entry[1].volumes[volume])[:2]
            if node.volumes[volume] > 0
        ]
        slow += [
            f"{name} lost {node.lost[volume]} answers"
            for name, node in sorted(self.nodes.items(), key=lambda entry: -entry[1].lost[volume])[:2]
            if node.lost[volume] > 0
        ]
        tail = f"; of the holding {', '.join(parts)}" if parts else ""
        return head + tail + (f"; {' and '.join(slow)}" if slow else "") + "."

    def slow_nodes(self) -> list[tuple[str, NodeSeen]]:
        """Nodes by what they added beyond their usual."""
        return sorted(
            ((n, seen) for n, seen in self.nodes.items() if seen.excess), key=lambda entry: -entry[1].excess
        )

    def data(self, volumes: Iterable[str] | None = None) -> dict[str, Any]:
        """The report as plain values; times in milliseconds."""
        names = sorted(self.courses, key=lambda name: -self.courses[name].held)
        chosen = [name for name in names if volumes is None or name in set(volumes)]
        return {
            "requests": self.requests, "held_ms": self.held / 1e6, "latency_ms": self.latency / 1e6,
            "from_unix_ms": self.begin if self.requests else None, "to_unix_ms": self.end if self.requests else None,
            "second_tries": sum(self.firsts.values()) + self.earlier_firsts, "second_tries_unknown": self.unknown_firsts,
            "folded_ms": self.error / 1e6, "cell_error_ms": self.below / 1e6, "summed_requests": self.summed,
            "minutes_left_out": self.cut,
            "classes": [
                {
                    "class": name, "requests": seen.get_total_count(),
                    "p50_ms": seen.get_value_at_percentile(50) / 1000, "p99_ms": seen.get_value_at_percentile(99) / 1000,
                }
                for name, seen in sorted(self.classes.items())
            ],
            "courses": [self._course(name) for name in chosen],
            "nodes": [
                {
                    "node": name, "attempts": node.attempts, "ends": dict(node.ends),
                    "slow": node.slow, "excess_ms": node.excess / 1e6,
                    "p50_ms": node.latency.get_value_at_percentile(50) / 1000,
                    "p99_ms": node.latency.get_value_at_percentile(99) / 1000,
                    "usual_ms": node.usual / max(1, node.attempts) / 1e6,
                    "courses": {volume: share / 1e6 for volume, share in node.volumes.most_common(8)},
                }
                for name, node in sorted(self.nodes.items(), key=lambda entry: -entry[1].excess)
            ],
            "matrix": [
                {"waiter": volume, "kind": holder[0], "holder": holder[1], "what": holder[2], "ms": share / 1e6}
                for (volume, holder), share in sorted(self.matrix.items(), key=lambda entry: (-entry[1], entry[0]))
                if volumes is None or volume in set(volumes)
            ],
            "minutes": {minute: {v: ns / 1e6 for v, ns in by.items()} for minute, by in sorted(self.minutes.items())},
            "worst": [explained(account) for _, _, account in sorted(self.worst, key=lambda entry: -entry[0])],
        }  # fmt: skip

    def _course(self, name: str) -> dict[str, Any]:
        course = self.courses[name]
        return {
            "volume": name, "requests": course.requests, **course.outcomes, "held_ms": course.held / 1e6,
            "p50_ms": course.latency.get_value_at_percentile(50) / 1000,
            "p99_ms": course.latency.get_value_at_percentile(99) / 1000,
            "causes_ms": {cause: share / 1e6 for cause, share in course.causes.most_common()},
            "sentence": self.sentence(name),
        }  # fmt: skip


def said(holder: Holder, waiter: str) -> str:
    """A holder in words."""
    kind, name, what = holder
    if kind == "volume":
        if what == "limit":
            return "for its own limit" if name == waiter else f"for the limit of {name}"
        return f"behind its own {what}" if name == waiter else f"behind {name}'s {what}"
    if kind == "node":
        words = {
            "slow": f"for {name} being slow",
            "suspect": f"for {name} being silent or gone",
            "none": f"for {name} with no node",
        }
        return words.get(what, f"for {name}")
    if kind == "others":
        return "behind others, folded"
    return {"turn": "in the gateway's own turns"}.get(what, f"by the design's own {name}")


def explained(account: Account) -> dict[str, Any]:
    """One account as plain values; times in milliseconds."""
    return {
        "request": account.request, "gateway": account.gateway, "volume": account.volume, "class": account.class_name,
        "key": account.key, "outcome": account.outcome, "reason": account.reason, "status": account.status,
        "began_unix_ms": account.began_unix_ms, "latency_ms": account.latency / 1e6,
        "spans_ms": {phase: span / 1e6 for phase, span in account.spans},
        "causes_ms": {cause: share / 1e6 for cause, share in account.causes.items()},
        "blame": [{"holder": said((k, n, w), account.volume), "ms": share / 1e6} for k, n, w, share in account.blame],
        "attempts": [
            {"node": node, "end": end, "out_ms": out / 1e6, "usual_ms": usual / 1e6}
            for node, end, out, usual in zip(account.nodes, account.ends, account.store, account.usual, strict=True)
        ],
        "first_try": account.first or None,
    }  # fmt: skip


def summed(
    entries: Iterable[Account | Sums],
    since: float | None = None,
    until: float | None = None,
    node: str | None = None,
) -> Summary:
    """A summary of what began in a stretch of wall time (Unix milliseconds) and met a node.

    Sums count with the minute they stand for, where it lies wholly in the stretch; they can't tell who met a node.
    """
    summary = Summary()
    for entry in entries:
        whole = isinstance(entry, Sums)
        begin, end = (
            (entry.minute * 60_000.0, entry.minute * 60_000.0 + 59_999.0)
            if isinstance(entry, Sums)
            else (entry.began_unix_ms, entry.began_unix_ms)
        )
        if (since is not None and begin < since) or (until is not None and end >= until):
            summary.cut += whole and not (
                (since is not None and end < since) or (until is not None and begin >= until)
            )
        elif isinstance(entry, Sums):
            if node is None:
                summary.add_sums(entry)
            else:
                summary.cut += 1
        elif node is None or node in entry.nodes:
            summary.add(entry)
    return summary
