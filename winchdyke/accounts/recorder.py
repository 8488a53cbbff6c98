"""From a request's course through the gateway to its account in the ledger."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable

from winchdyke.accounts.ledger import Writer
from winchdyke.accounts.spans import Account, Holder, Line, added, apportion
from winchdyke.accounts.why import Observer

FIRSTS_MOST = 50_000  # first tries that are remembered, to know second ones by


class Course:
    """One request while it runs: its line, its holds, its attempts."""

    __slots__ = ("attempts", "holds", "line")

    def __init__(self, now_ns: int) -> None:
        self.line = Line(now_ns)
        self.holds: list[tuple[int, int, dict[Holder, float], dict[str, float]]] = []
        self.attempts: list[
            tuple[str, str, float, float]
        ] = []  # node, how it ended, milliseconds out, the usual

    def phase(self, name: str) -> None:
        """It enters a phase now."""
        self.line.mark(time.monotonic_ns(), name)


class Recorder:
    """Makes accounts of the requests of one gateway and hands them to its ledger."""

    def __init__(self, gateway: str, writer: Writer, observer: Callable[[], Observer | None]) -> None:
        self.gateway, self.writer, self._observer = gateway, writer, observer
        self._firsts: OrderedDict[tuple[str, str], tuple[str, float]] = OrderedDict()

    def begin(self) -> Course:
        """A request has come."""
        return Course(time.monotonic_ns())

    def hold(self, request: str, shard: int, class_name: str, now: float) -> None:
        """It is held from now on."""
        observer = self._observer()
        if observer is not None:
            observer.begin(request, shard, class_name, now)

    def release(self, course: Course, request: str, since_ns: int, now: float) -> None:
        """It is held no more."""
        observer = self._observer()
        holders, causes = observer.end(request, now) if observer is not None else ({}, {})
        course.holds.append((since_ns, time.monotonic_ns(), holders, causes))

    def usual(self, node: str, class_name: str, units: float) -> float:
        """A node's usual latency for so much work, in milliseconds; 0 where it is not known."""
        observer = self._observer()
        view = observer.scheduler.nodes.get(node) if observer is not None else None
        return observer.usual(view, class_name, units) if observer is not None and view is not None else 0.0

    def _first(
        self, volume: str, key: str, request: str, served: bool, deadline_ms: float, now: float
    ) -> str:
        """The request whose first try this one repeats, as the module matches them: by volume and key, in its time."""
        if served and not self._firsts:
            return ""
        known = self._firsts.get((volume, key))
        first = known if known is not None and now <= known[1] + deadline_ms else (request, now)
        if served:
            self._firsts.pop((volume, key), None)
        else:
            self._firsts[volume, key] = first
            self._firsts.move_to_end((volume, key))
            if len(self._firsts) > FIRSTS_MOST:
                self._firsts.popitem(last=False)
        return first[0] if first[0] != request else ""

    def end(
        self,
        course: Course,
        *,
        request: str,
        volume: str,
        class_name: str,
        key: str,
        units: float,
        outcome: str,
        reason: str,
        status: int,
        client_request: str,
        deadline_ms: float,
    ) -> Account:
        """It is over: its account goes to the ledger."""
        end_ns, now = time.monotonic_ns(), time.monotonic() * 1000
        spans = course.line.spans(end_ns)
        causes: dict[str, int] = {}
        blame: dict[Holder, int] = {}
        holds = [span for span in spans if span[0] == "held"]
        for (_, begin, end), (holders, parts) in zip(holds, _fitted(holds, course.holds), strict=True):
            whole = end - begin
            if len(parts) <= 1 and len(holders) == 1:  # sent at once, as most are: nothing to share out
                for cause in parts:
                    causes[cause] = causes.get(cause, 0) + whole
                for holder in holders:
                    blame[holder] = blame.get(holder, 0) + whole
                continue
            for holder, share in apportion(whole, holders).items():
                blame[holder] = blame.get(holder, 0) + share
            named: dict[Holder, float] = {("cause", cause, ""): value for cause, value in parts.items()}
            for (_, cause, _), share in apportion(whole, named).items():
                name = "turn" if cause == "gateway" else cause
                causes[name] = causes.get(name, 0) + share
        account = Account(
            request=request,
            began_unix_ms=round(time.time() * 1000 - (end_ns - spans[0][1]) / 1e6, 3),
            gateway=self.gateway,
            volume=volume,
            class_name=class_name,
            key=key,
            outcome=outcome,
            reason=reason,
            status=status,
            latency=end_ns - spans[0][1],
            spans=added(spans),
            causes=causes,
            blame=[(*holder, share) for holder, share in blame.items()],
            nodes=[attempt[0] for attempt in course.attempts],
            ends=[attempt[1] for attempt in course.attempts],
            client_request=client_request,
            first=self._first(volume, key or request, request, outcome == "served", deadline_ms, now),
            units=units,
            store=[int(attempt[2] * 1e6) for attempt in course.attempts],
            usual=[int(attempt[3] * 1e6) for attempt in course.attempts],
        )
        self.writer.put(account)
        return account


def _fitted(
    spans: list[tuple[str, int, int]], holds: list[tuple[int, int, dict[Holder, float], dict[str, float]]]
) -> list[tuple[dict[Holder, float], dict[str, float]]]:
    """For each held span what was seen of it; a span with no hold of its own has nothing."""
    if len(spans) == len(holds):  # each span was told as one hold
        return [(hold[2], hold[3]) for hold in holds]
    found = []
    for _, begin, end in spans:
        inside = [hold for hold in holds if hold[0] <= end and hold[1] >= begin]
        found.append((inside[0][2], inside[0][3]) if inside else ({}, {}))
        if inside:
            holds = [hold for hold in holds if hold is not inside[0]]
    return found
