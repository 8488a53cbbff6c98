"""From a request's course through the gateway to its account in the ledger."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from time import monotonic_ns

from winchdyke.latency_attribution.ledger import Held, Writer
from winchdyke.latency_attribution.spans import CODES, Annotation, Hold
from winchdyke.latency_attribution.why import Observer

FIRSTS_MOST = 50_000  # first tries that are remembered, to know second ones by


class RequestTrace:
    """One request while it runs: what is noted of it, and no more."""

    __slots__ = ("attempts", "holds", "marks")

    def __init__(self, now_ns: int) -> None:
        self.marks: list[int] = [now_ns, 0]
        self.holds: list[Hold] = []
        self.attempts: list[
            tuple[str, str, float, float]
        ] = []  # node, how it ended, milliseconds out, the usual

    def phase(self, name: str) -> None:
        """It enters a phase now."""
        self.marks += (monotonic_ns(), CODES[name])


class Recorder:
    """Makes accounts of the requests of one gateway and hands them to its ledger."""

    def __init__(self, gateway: str, writer: Writer, observer: Callable[[], Observer | None]) -> None:
        self.gateway, self.writer, self._observer = gateway, writer, observer
        self._firsts: OrderedDict[tuple[str, str], tuple[str, float]] = OrderedDict()

    def begin(self) -> RequestTrace:
        """A request has come."""
        return RequestTrace(monotonic_ns())

    def hold(self, request: str, shard: int, class_name: str, now: float) -> None:
        """It is held from now on."""
        observer = self._observer()
        if observer is not None:
            observer.begin(request, shard, class_name, now)

    def release(self, course: RequestTrace, request: str, since_ns: int, now: float) -> None:
        """It is held no more."""
        observer = self._observer()
        if observer is not None and not observer.at_once(request):
            holders, causes = observer.end(request, now)
            if holders:
                course.holds.append((since_ns, monotonic_ns(), holders, causes))

    def tell(self) -> None:
        """Let the ledger's folder say what is held now."""
        observer = self._observer()
        if observer is not None:
            groups = observer.held()
            self.writer.tell(
                self.gateway,
                [
                    Held(shard, name, count, cause, [(*holder, part) for holder, part in shares.items()])
                    for shard, name, count, cause, shares in groups
                ],
            )

    def usual(self, node: str, class_name: str, units: float) -> float:
        """A node's usual latency for so much work, in milliseconds; 0 where it is not known."""
        observer = self._observer()
        view = observer.scheduler.endpoints.get(node) if observer is not None else None
        return observer.usual(view, class_name, units) if observer is not None and view is not None else 0.0

    def _first(
        self, volume: str, key: str, request: str, served: bool, deadline_ms: float, now: float
    ) -> str:
        """The request whose first try this one repeats, as the module matches them: by volume and key, in its time."""
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
        course: RequestTrace,
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
    ) -> None:
        """It is over: what was noted goes to the ledger."""
        served = outcome == "served"
        first = ""
        if self._firsts or not served:
            first = self._first(volume, key or request, request, served, deadline_ms, monotonic_ns() / 1e6)
        self.writer.put(
            Annotation(
                request, time.time_ns(), self.gateway, volume, class_name, key, outcome, reason, status, client_request,
                first, units, monotonic_ns(), course.marks, course.holds, course.attempts,
            )
        )  # fmt: skip
