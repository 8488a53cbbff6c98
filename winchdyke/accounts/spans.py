"""The account of one request: a time line cut into spans that add up exactly to its latency. Pure.

Times are whole nanoseconds of the monotonic clock, so that sums are exact. At any moment a request is in one phase.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

PHASES = (
    "arriving",  # its head is being understood
    "held",  # waiting at this gateway; split by cause
    "dial",  # a connection to the store
    "send",  # the request on its way to the store
    "body",  # waiting for the client's body
    "store",  # waiting for the store's answer
    "answer",  # the store's answer on its way
    "client",  # the client taking its answer
)
CAUSES = (
    "turn",
    "window",
    "share",
    "pause",
    "cold",
    "trial",
    "no-node",
    "limit",
    "order",
    "budget",
    "repeat",
    "unknown",
)
Holder = tuple[str, str, str]  # what holds: kind (volume, node, design), its name, its class or what of it


def apportion(whole: int, parts: Mapping[Holder, float]) -> dict[Holder, int]:
    """A whole number shared in step with parts, by largest remainders: the shares add up to it exactly."""
    if len(parts) == 1 and whole > 0:
        return dict.fromkeys(parts, whole)
    total = sum(part for part in parts.values() if part > 0)
    if whole <= 0 or total <= 0:
        return {("design", "gateway", "turn"): whole} if whole > 0 else {}
    exact = {holder: whole * part / total for holder, part in parts.items() if part > 0}
    shares = {holder: int(part) for holder, part in exact.items()}
    left = whole - sum(shares.values())
    order = sorted(exact, key=lambda holder: (shares[holder] - exact[holder], holder))
    for at in range(abs(left)):
        shares[order[at % len(order)]] += 1 if left > 0 else -1
    return {holder: share for holder, share in shares.items() if share}


class Line:
    """A request's time line while it runs."""

    __slots__ = ("marks",)

    def __init__(self, now_ns: int) -> None:
        self.marks: list[tuple[int, str]] = [(now_ns, "arriving")]

    def mark(self, now_ns: int, phase: str) -> None:
        """From now on the request is in a phase. Time never runs back here."""
        last, present = self.marks[-1]
        if phase != present:
            self.marks.append((max(last, now_ns), phase))

    def spans(self, end_ns: int) -> list[tuple[str, int, int]]:
        """Phase, begin and end, one after another without a gap."""
        ends = [*(at for at, _ in self.marks[1:]), max(end_ns, self.marks[-1][0])]
        return [(phase, at, end) for (at, phase), end in zip(self.marks, ends, strict=True)]


class Account(msgspec.Struct, array_like=True, omit_defaults=True):
    """One request, as the ledger keeps it. Times in nanoseconds; ``blame`` adds up to what ``spans`` say was held."""

    request: str
    began_unix_ms: float
    gateway: str
    volume: str
    class_name: str
    key: str
    outcome: str
    reason: str
    status: int
    latency: int
    spans: list[tuple[str, int]]
    causes: dict[str, int]
    blame: list[tuple[str, str, str, int]]
    nodes: list[str]
    ends: list[str]
    client_request: str = ""
    first: str = (
        ""  # the request whose first try this one repeats; "?" where that came through another gateway
    )
    units: float = 1.0
    store: list[int] = []  # for each attempt, its time out at the store
    usual: list[int] = []  # for each attempt, what the node's usual would have been

    @property
    def held(self) -> int:
        """How long it waited at the gateway."""
        return sum(span for phase, span in self.spans if phase == "held")


def added(spans: Sequence[tuple[str, int, int]]) -> list[tuple[str, int]]:
    """Spans of the same phase added up, in order of first appearance."""
    sums: dict[str, int] = {}
    for phase, begin, end in spans:
        sums[phase] = sums.get(phase, 0) + end - begin
    return [(phase, span) for phase, span in sums.items() if span]
