"""Drives the scheduler of one gateway: collects events, fires timers and carries out the actions that it returns.

The loop itself decides nothing. The submitter of a request gets a :class:`RequestHandle`, which receives the actions for
that request; everything else is posted as an event. All events posted before the loop runs are passed to the scheduler in
one batch.
"""

from __future__ import annotations

import heapq
import time
from collections import Counter, deque
from collections.abc import Callable, Mapping
from itertools import islice
from typing import TYPE_CHECKING, Protocol

import anyio
import structlog

from winchdyke import interface as api
from winchdyke.scheduling import Scheduler
from winchdyke.scheduling.quota import VolumeQuota

# Imported at run time only where it is used: it loads the configuration language, which takes a third of the start-up.
if TYPE_CHECKING:
    from winchdyke.latency_attribution.queue_observer import QueueObserver

RequestAction = api.StartAttempt | api.ShedRequest | api.FailRequest | api.CancelAttempt
FinalAction = api.ShedRequest | api.FailRequest
Timer = tuple[float, int, int]  # due time in ms, sequence number, the scheduler's timer id

MAX_REMOVED_ENDPOINTS = 64
OVERDUE_GRACE_MS = 200.0

# The names of the counters of actions, which are fields of the log event ``stopped``.
ACTION_COUNTERS: dict[type[api.Action], str] = {
    api.StartAttempt: "attempts_started",
    api.ShedRequest: "requests_shed",
    api.FailRequest: "requests_failed",
    api.SetTimer: "timers_set",
    api.CancelAttempt: "attempts_cancelled",
    api.AbandonAttempt: "attempts_abandoned",
    api.WatchEndpoints: "endpoint_watches_requested",
    api.LogMessage: "messages_logged",
}


def monotonic_ms() -> float:
    """Return the gateway's monotonic clock, in milliseconds."""
    return time.monotonic() * 1000


class BatchScheduler(Protocol):
    """The interface to the scheduler."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Process a batch of events and return the resulting actions; ``now`` is in milliseconds."""


class RequestHandle:
    """A submitted request and the queue of the scheduler's actions for it. Its owner is the task that carries them out.

    Attributes:
        request_id: Identifies the request in events and actions.
        deadline_ms: The client's deadline, on the gateway's clock.
        actions: Actions that the owner has not taken yet.
        attempts_started: Attempts that the owner has started.
        attempts_in_flight: Attempts that the scheduler has started and that have not ended.
        client_disconnected: Whether the client disconnected before the final answer.
        finished: Whether the request needs no further answer.
        override_reason: Reason code of an answer that the loop gave in place of the scheduler; empty: it gave none.
        on_cancel: Called to cancel an attempt by its index; -1: the running one.
        on_abandon: Called to cancel an attempt by its index if no byte of it has been written.
    """

    __slots__ = (
        "_wake",
        "actions",
        "attempts_in_flight",
        "attempts_started",
        "client_disconnected",
        "deadline_ms",
        "finished",
        "on_abandon",
        "on_cancel",
        "override_reason",
        "request_id",
    )

    def __init__(self, request_id: str, deadline_ms: float) -> None:
        self.request_id = request_id
        self.deadline_ms = deadline_ms
        self.actions: deque[RequestAction] = deque()
        self.attempts_started = 0
        self.attempts_in_flight = 0
        self.client_disconnected = False
        self.finished = False
        self.override_reason = ""
        self.on_cancel: Callable[[int], None] | None = None
        self.on_abandon: Callable[[int], None] | None = None
        self._wake: anyio.Event | None = None

    def deliver(self, action: RequestAction) -> None:
        """Queue an action and wake the owner."""
        self.actions.append(action)
        self.wake()

    def wake(self) -> None:
        """Wake the owner if it is waiting for an action."""
        if self._wake is not None:
            self._wake.set()

    async def next_action(self) -> RequestAction | None:
        """Wait for the next action; None once the client has disconnected and no action is left."""
        while not self.actions:
            if self.client_disconnected:
                return None
            self._wake = anyio.Event()
            await self._wake.wait()
        return self.actions.popleft()


class SchedulerLoop:
    """The scheduler of one gateway, with its clock, its timers and its open requests.

    Attributes:
        settings: The scheduler's settings.
        clock: Monotonic time in milliseconds.
        observing: Whether the reasons for queueing are observed.
        observer: Observes why requests are queued; None: not observed.
        open_requests: Submitted requests that have no final answer yet, by id.
        disconnected_requests: Requests whose client has disconnected and whose attempts go on, by id.
        counts: Counters of actions, named by ``ACTION_COUNTERS``, and of failures that the loop handled.
        endpoints: The endpoint list as passed to the scheduler, by name.
        on_watch_endpoints: Called when the scheduler requests changes of the endpoint list.
        on_event_posted: Called for each posted event instead of waking :meth:`run`, for use with another loop that calls
            :meth:`process_events`.
    """

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        scheduler_factory: Callable[[api.Settings, int, float], BatchScheduler] = Scheduler,
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.observing = False
        self.observer: QueueObserver | None = None
        self.open_requests: dict[str, RequestHandle] = {}
        self.disconnected_requests: dict[str, RequestHandle] = {}
        self.counts: Counter[str] = Counter()
        self.endpoints: dict[str, api.Endpoint] = {}
        self.on_watch_endpoints: Callable[[], None] = lambda: None
        self.on_event_posted: Callable[[], None] | None = None
        self._scheduler_factory = scheduler_factory
        self._seed = seed
        self._schedulers_created = 0
        self._pending_events: list[api.Event] = []
        self._timers: list[Timer] = []
        self._timers_created = 0
        self._wake = anyio.Event()
        self._log = structlog.get_logger("scheduler_loop")
        self._scheduler = self._new_scheduler()

    # Configuration and inspection

    def start_observing(self) -> None:
        """Start to observe why requests are queued."""
        self.observing = True
        self._attach_observer()

    def volumes_with_quota(self, start: int = 0) -> list[str]:
        """Return the volumes that have a quota, without the first ``start`` that ever had one.

        A few of these may be returned as well, if quotas were forgotten since.
        """
        scheduler = self._scheduler
        if not isinstance(scheduler, Scheduler):
            return []
        return list(islice(scheduler.quotas, max(0, start - scheduler.quotas_forgotten), None))

    def apply_settings(self, settings: api.Settings, plans: Mapping[str, api.Plan]) -> int:
        """Apply other settings and plans from the next batch on; return the number of quotas that changed."""
        from winchdyke.config_rollout.hot_reload import apply_settings

        self.settings = settings
        scheduler = self._scheduler
        if not isinstance(scheduler, Scheduler):
            return 0
        return apply_settings(scheduler, settings, plans, self.clock())

    def refill_quotas(self, volumes: list[str]) -> None:
        """Refill the quotas of some volumes up to the current time."""
        from winchdyke.config_rollout.hot_reload import refill_quotas

        if isinstance(self._scheduler, Scheduler):
            refill_quotas(self._scheduler, volumes, self.clock())

    def quota(self, volume: str) -> VolumeQuota | None:
        """Return the scheduler's quota of a volume; None: there has been no request for the volume."""
        scheduler = self._scheduler
        if not isinstance(scheduler, Scheduler):
            return None
        return scheduler.quotas.get(volume)

    def queue_lengths(self) -> dict[int, int]:
        """Return how many requests are queued for each shard that has any."""
        scheduler = self._scheduler
        if not isinstance(scheduler, Scheduler):
            return {}
        return {shard: len(scheduler.shards[shard].queue) for shard in scheduler.shards_with_queue}

    # Events

    def submit(self, request: api.Request, handle: RequestHandle | None = None) -> RequestHandle:
        """Submit a request to the scheduler, which then has to answer it exactly once.

        Raises:
            ValueError: A request with this id is open.
        """
        if request.request_id in self.open_requests:
            raise ValueError(f"request {request.request_id} is open already")
        handle = handle or RequestHandle(request.request_id, self.clock() + request.time_left_ms)
        self.open_requests[request.request_id] = handle
        self.post(request)
        return handle

    def post(self, event: api.Event) -> None:
        """Queue an event for the next batch."""
        self._pending_events.append(event)
        if self.on_event_posted is None:
            self._wake.set()
        else:
            self.on_event_posted()

    def client_disconnected(self, handle: RequestHandle) -> None:
        """Record that the client of a request has disconnected; no effect on a finished request."""
        if handle.finished:
            return
        handle.finished = True
        handle.client_disconnected = True
        self.open_requests.pop(handle.request_id, None)
        if handle.attempts_in_flight:
            self.disconnected_requests[handle.request_id] = handle
        self.post(api.ClientDisconnected(handle.request_id))
        handle.wake()

    def attempt_ended(self, handle: RequestHandle, event: api.AttemptEnded) -> None:
        """Record the end of an attempt, which may finish its request."""
        handle.attempts_in_flight -= 1
        if not handle.attempts_in_flight:
            self.disconnected_requests.pop(handle.request_id, None)
        if event.request_finished and not handle.finished:
            handle.finished = True
            self.open_requests.pop(handle.request_id, None)
        self.post(event)

    # The loop

    async def run(self) -> None:
        """Process events until cancelled."""
        while True:
            if self._pending_events or self._timer_due():
                # Other ready tasks post their events first, so that these share a batch.
                await anyio.sleep(0)
            else:
                self._wake = anyio.Event()
                if self._timers:
                    with anyio.move_on_after(max(0.0, self._timers[0][0] - self.clock()) / 1000):
                        await self._wake.wait()
                else:
                    await self._wake.wait()
            self.process_events()

    @property
    def next_timer_at_ms(self) -> float | None:
        """Due time of the next timer, on the gateway's clock; None: no timer is set."""
        return self._timers[0][0] if self._timers else None

    def _timer_due(self) -> bool:
        return bool(self._timers) and self._timers[0][0] <= self.clock()

    def process_events(self) -> None:
        """Pass all posted events and due timers to the scheduler, and carry out its actions."""
        now = self.clock()
        timers = self._timers
        events = self._pending_events
        self._pending_events = []
        while timers and timers[0][0] <= now:
            events.append(api.TimerFired(heapq.heappop(timers)[2]))
        if not events:
            return
        for event in events:
            if isinstance(event, api.EndpointList):
                self._record_endpoints(event)
        try:
            for action in self._scheduler.handle(now, events):
                self._execute(now, action)
            if self.observer is not None:
                self.observer.observe(now)
        except Exception as error:
            self._replace_scheduler(error)

    def _record_endpoints(self, event: api.EndpointList) -> None:
        if event.kind in (api.EndpointListKind.FULL, api.EndpointListKind.CACHED):
            self.endpoints = {}
        for endpoint in event.endpoints:
            self.endpoints.pop(endpoint.name, None)
            self.endpoints[endpoint.name] = endpoint
        # The latest removed endpoints are kept: their shard may still be looked up for an attempt in flight.
        removed = [
            name for name, endpoint in self.endpoints.items() if endpoint.status is api.EndpointStatus.REMOVED
        ]
        for name in removed[:-MAX_REMOVED_ENDPOINTS]:
            del self.endpoints[name]

    # Actions

    def _execute(self, now: float, action: api.Action) -> None:
        self.counts[ACTION_COUNTERS[type(action)]] += 1
        if isinstance(action, api.StartAttempt):
            self._start_attempt(action)
        elif isinstance(action, (api.ShedRequest, api.FailRequest)):
            self._finish_request(action)
        elif isinstance(action, api.SetTimer):
            self._timers_created += 1
            due_at_ms = now + max(0.0, action.after_ms)
            heapq.heappush(self._timers, (due_at_ms, self._timers_created, action.timer_id))
        elif isinstance(action, api.CancelAttempt):
            handle = self._handle_of(action.request_id)
            if handle is not None and handle.on_cancel is not None:
                handle.on_cancel(action.attempt)
        elif isinstance(action, api.AbandonAttempt):
            handle = self._handle_of(action.request_id)
            if handle is not None and handle.on_abandon is not None:
                handle.on_abandon(action.attempt)
        elif isinstance(action, api.WatchEndpoints):
            self.on_watch_endpoints()
        else:
            self._log.info("scheduler_message", message=action.message)

    def _start_attempt(self, action: api.StartAttempt) -> None:
        handle = self.open_requests.get(action.request_id)
        if handle is None:  # the client disconnected while this batch was processed
            not_sent = api.AttemptOutcome.NOT_SENT
            self.post(api.AttemptEnded(action.request_id, 0, action.endpoint, not_sent, 0.0, True))
            return
        handle.attempts_in_flight += 1
        handle.deliver(action)

    def _finish_request(self, action: FinalAction) -> None:
        handle = self.open_requests.get(action.request_id)
        if handle is None:
            return
        handle.finished = True
        del self.open_requests[action.request_id]
        handle.deliver(action)

    def _handle_of(self, request_id: str) -> RequestHandle | None:
        return self.open_requests.get(request_id) or self.disconnected_requests.get(request_id)

    # Answers in place of the scheduler

    def finish_all(self, reason: str) -> None:
        """Give every open request a final answer and cancel its attempts, before the process ends.

        Args:
            reason: The reason code of the answers.
        """
        for handle in list(self.open_requests.values()):
            if handle.on_cancel is not None:
                # If its response is already in the socket, it is delivered first and finishes the request.
                handle.on_cancel(-1)
            if handle.finished:
                continue
            self.counts["requests_finished_at_shutdown"] += 1
            self._override(handle, reason, shed=not handle.attempts_started)
            self.post(api.ClientDisconnected(handle.request_id))

    def finish_overdue(self, now: float) -> None:
        """Fail requests that have no attempt in flight and that the scheduler has not answered by their deadline."""
        overdue = [
            handle
            for handle in self.open_requests.values()
            if now > handle.deadline_ms + OVERDUE_GRACE_MS and not handle.attempts_in_flight
        ]
        for handle in overdue:
            self.counts["requests_overdue"] += 1
            self._override(handle, "engine-silent")
            self.post(api.ClientDisconnected(handle.request_id))

    def _override(self, handle: RequestHandle, reason: str, shed: bool = False) -> None:
        del self.open_requests[handle.request_id]
        handle.finished = True
        handle.override_reason = reason
        handle.actions.clear()
        action = api.ShedRequest(handle.request_id) if shed else api.FailRequest(handle.request_id)
        handle.deliver(action)
        if handle.on_cancel is not None:
            handle.on_cancel(-1)

    def _replace_scheduler(self, error: Exception) -> None:
        """Fail all open requests, whose state is lost, and continue with a new scheduler that gets the endpoint list."""
        self.counts["scheduler_failures"] += 1
        self._log.error(
            "scheduler_failed", error=repr(error), open_requests=len(self.open_requests), exc_info=error
        )
        self._pending_events = [
            event for event in self._pending_events if isinstance(event, api.EndpointList)
        ]
        self._timers = []
        for handle in list(self.open_requests.values()):
            self._override(handle, "engine-fault")
        self._scheduler = self._new_scheduler()
        self._attach_observer()
        self.post(api.EndpointList(api.EndpointListKind.CACHED, tuple(self.endpoints.values())))

    def _new_scheduler(self) -> BatchScheduler:
        seed = self._seed + self._schedulers_created
        self._schedulers_created += 1
        return self._scheduler_factory(self.settings, seed, self.clock())

    def _attach_observer(self) -> None:
        scheduler = self._scheduler
        self.observer = None
        if self.observing and isinstance(scheduler, Scheduler):
            from winchdyke.latency_attribution.queue_observer import QueueObserver

            self.observer = QueueObserver(scheduler)
