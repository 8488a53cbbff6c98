"""Records the phases, waits and attempts of each request, and queues them for the ledger."""

from __future__ import annotations

import time
from collections import OrderedDict
from collections.abc import Callable
from time import monotonic_ns
from typing import TYPE_CHECKING

from winchdyke.latency_attribution.records import ObservedWait, QueuedGroup, TraceRecord
from winchdyke.latency_attribution.vocabulary import OUTCOME_SERVED, PHASE_CODES

if TYPE_CHECKING:
    from winchdyke.latency_attribution.ledger_writer import LedgerWriter
    from winchdyke.latency_attribution.queue_observer import QueueObserver

MAX_TRACKED_FIRST_REQUESTS = 50_000
NS_PER_MS = 1e6


class RequestTrace:
    """The trace of one request while it runs.

    Attributes:
        phase_marks: Begin (ns) and code of each phase in turn; a request starts in the phase with code 0.
        waits: Waits in the queue that lasted longer than one turn of the scheduler.
        attempts: Endpoint, outcome, time at the endpoint (ms) and expected time there (ms) of each attempt.
    """

    __slots__ = ("attempts", "phase_marks", "waits")

    def __init__(self, now_ns: int) -> None:
        self.phase_marks: list[int] = [now_ns, 0]
        self.waits: list[ObservedWait] = []
        self.attempts: list[tuple[str, str, float, float]] = []

    def enter_phase(self, name: str) -> None:
        """Records that the request enters a phase now."""
        self.phase_marks += (monotonic_ns(), PHASE_CODES[name])


class Recorder:
    """Records the requests of one gateway."""

    def __init__(
        self, gateway: str, writer: LedgerWriter, observer: Callable[[], QueueObserver | None]
    ) -> None:
        """``observer`` returns the observer of the current scheduler, or None."""
        self.gateway = gateway
        self.writer = writer
        self._observer = observer
        # The first request of a sequence of unserved ones and its time (ms), by volume and key.
        self._first_requests: OrderedDict[tuple[str, str], tuple[str, float]] = OrderedDict()

    def start_trace(self) -> RequestTrace:
        """Starts the trace of a request that has arrived."""
        return RequestTrace(monotonic_ns())

    def start_wait(self, request: str, shard: int, class_name: str, now_ms: float) -> None:
        """Records that a request is passed to the scheduler."""
        observer = self._observer()
        if observer is not None:
            observer.record_queued(request, shard, class_name, now_ms)

    def end_wait(self, trace: RequestTrace, request: str, since_ns: int, now_ms: float) -> None:
        """Records that the scheduler has decided on a request that waited since ``since_ns``."""
        observer = self._observer()
        if observer is not None and not observer.take_immediate(request):
            holders, causes = observer.record_dequeued(request, now_ms)
            if holders:
                trace.waits.append((since_ns, monotonic_ns(), holders, causes))

    def publish_snapshot(self) -> None:
        """Publishes the groups of requests that are queued now in the ledger's directory."""
        observer = self._observer()
        if observer is None:
            return
        groups = [
            QueuedGroup(
                shard=group.shard,
                class_name=group.class_name,
                count=group.count,
                cause=group.cause,
                holders=[(*holder, share) for holder, share in group.shares.items()],
            )
            for group in observer.queued_groups()
        ]
        self.writer.publish_snapshot(self.gateway, groups)

    def expected_latency_ms(self, endpoint_name: str, class_name: str, units: float) -> float:
        """Returns the expected latency of an endpoint for some work; 0 if it is unknown."""
        observer = self._observer()
        if observer is None:
            return 0.0
        endpoint = observer.scheduler.endpoints.get(endpoint_name)
        return observer.expected_latency_ms(endpoint, class_name, units) if endpoint is not None else 0.0

    def finish(
        self,
        trace: RequestTrace,
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
        """Queues the trace of a request that has ended for the ledger."""
        served = outcome == OUTCOME_SERVED
        first_request = ""
        if self._first_requests or not served:
            now_ms = monotonic_ns() / NS_PER_MS
            first_request = self._match_first(volume, key or request, request, served, deadline_ms, now_ms)
        self.writer.put(
            TraceRecord(
                request,
                time.time_ns(),
                self.gateway,
                volume,
                class_name,
                key,
                outcome,
                reason,
                status,
                client_request,
                first_request,
                units,
                monotonic_ns(),
                trace.phase_marks,
                trace.waits,
                trace.attempts,
            )
        )

    def _match_first(
        self, volume: str, key: str, request: str, served: bool, deadline_ms: float, now_ms: float
    ) -> str:
        """Returns the id of the request that this one retries, or "".

        A retry has the volume and key of an unserved request and arrives within the deadline after it, as the scheduler
        matches retries too.
        """
        known = self._first_requests.get((volume, key))
        first = (request, now_ms)
        if known is not None and now_ms <= known[1] + deadline_ms:
            first = known
        if served:
            self._first_requests.pop((volume, key), None)
        else:
            self._first_requests[volume, key] = first
            self._first_requests.move_to_end((volume, key))
            if len(self._first_requests) > MAX_TRACKED_FIRST_REQUESTS:
                self._first_requests.popitem(last=False)
        return first[0] if first[0] != request else ""
