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


TURN: Holder = ("design", "gateway", "turn")


def apportion(whole: int, parts: Mapping[Holder, float]) -> dict[Holder, int]:
    """A whole number shared in step with parts, by largest remainders: the shares add up to it exactly."""
    if len(parts) == 1 and whole > 0:
        return dict.fromkeys(parts, whole)
    total = sum(part for part in parts.values() if part > 0)
    if whole <= 0 or total <= 0:
        return {TURN: whole} if whole > 0 else {}
    exact = {holder: whole * part / total for holder, part in parts.items() if part > 0}
    shares = {holder: int(part) for holder, part in exact.items()}
    left = whole - sum(shares.values())
    order = sorted(exact, key=lambda holder: (shares[holder] - exact[holder], holder))
    for at in range(abs(left)):
        shares[order[at % len(order)]] += 1 if left > 0 else -1
    return {holder: share for holder, share in shares.items() if share}


def apportion_causes(whole: int, parts: Mapping[str, float]) -> dict[str, int]:
    """A wait shared among its causes as among its holders; with no cause known it was the gateway's own turn."""
    shares = apportion(whole, {("cause", cause, ""): value for cause, value in parts.items()})
    return {"turn" if holder == TURN else holder[1]: share for holder, share in shares.items()}


CODES = {phase: code for code, phase in enumerate(PHASES)}


def cut(marks: Sequence[int], end_ns: int) -> list[tuple[str, int, int]]:
    """A time line as it was noted (time, code of the phase, time, code, ...) as spans: phase, begin and end.

    They follow one another without a gap. Time never runs back here, whatever the clock did; a phase that is told twice
    running is one span.
    """
    spans: list[tuple[str, int, int]] = []
    last = marks[0]
    at, phase = last, marks[1]
    for place in range(2, len(marks), 2):
        last = max(last, marks[place])
        if marks[place + 1] != phase:
            spans.append((PHASES[phase], at, last))
            at, phase = last, marks[place + 1]
    spans.append((PHASES[phase], at, max(end_ns, last)))
    return spans


Hold = tuple[int, int, dict[Holder, float], dict[str, float]]  # begin, end, milliseconds by holder, by cause


class Account(msgspec.Struct, array_like=True, omit_defaults=True, tag=1):
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
    line: list[tuple[str, int, int]] = []  # phase, begin and end after its coming, in order

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


class Annotation(msgspec.Struct, array_like=True, tag=2, gc=False):
    """One request as the gateway notes it in passing: all that an Account is made of, at the least cost."""

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
    first: str
    units: float
    end_ns: int
    marks: list[int]
    holds: list[Hold]  # only those that lasted past a turn of the scheduler
    attempts: list[tuple[str, str, float, float]]  # node, how it ended, milliseconds out, the usual


def account(noted: Annotation) -> Account:
    """The account of what was noted; what was held and by whom is shared out exactly."""
    spans = cut(noted.marks, noted.end_ns)
    begin = spans[0][1]
    latency = spans[-1][2] - begin
    causes: dict[str, int] = {}
    blame: dict[Holder, int] = {}
    for holders, parts, whole in _fitted([span for span in spans if span[0] == "held"], noted.holds):
        for holder, share in apportion(whole, holders).items():
            blame[holder] = blame.get(holder, 0) + share
        for cause, share in apportion_causes(whole, parts).items():
            causes[cause] = causes.get(cause, 0) + share
    return Account(
        request=noted.request,
        began_unix_ms=round((noted.end_unix_ns - latency) / 1e6, 3),
        gateway=noted.gateway,
        volume=noted.volume,
        class_name=noted.class_name,
        key=noted.key,
        outcome=noted.outcome,
        reason=noted.reason,
        status=noted.status,
        latency=latency,
        spans=added(spans),
        causes=causes,
        blame=[(*holder, share) for holder, share in blame.items()],
        nodes=[attempt[0] for attempt in noted.attempts],
        ends=[attempt[1] for attempt in noted.attempts],
        client_request=noted.client_request,
        first=noted.first,
        units=noted.units,
        store=[int(attempt[2] * 1e6) for attempt in noted.attempts],
        usual=[int(attempt[3] * 1e6) for attempt in noted.attempts],
        line=[(phase, at - begin, end - begin) for phase, at, end in spans],
    )


def _fitted(
    spans: list[tuple[str, int, int]], holds: Sequence[Hold]
) -> list[tuple[dict[Holder, float], dict[str, float], int]]:
    """For each held span what was seen of it, and its length; one that no turn saw was the gateway's own."""
    found = []
    left = list(holds)
    for _, begin, end in spans:
        inside = next((hold for hold in left if hold[0] <= end and hold[1] >= begin), None)
        found.append(
            (inside[2], inside[3], end - begin) if inside else ({TURN: 1.0}, {"turn": 1.0}, end - begin)
        )
        if inside is not None:
            left.remove(inside)
    return found
