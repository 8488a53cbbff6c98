"""One task owns the Scheduler: events in, actions out, timers. It decides nothing.

Whoever has taken a request holds a :class:`Ticket` and is told through it what to do; all else that happens is
posted as an event. Events that have come together by the time the task runs are handed over together.
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

# Accounts and changes bring the configuration language along, a third of a start's time: read in where they are used.
if TYPE_CHECKING:
    from winchdyke.latency_attribution.queue_observer import QueueObserver

RequestAction = api.StartAttempt | api.ShedRequest | api.FailRequest | api.CancelAttempt
GONE_KEPT = 64  # nodes that have left whose entries are kept
OVERDUE_MS = 200.0  # past a request's time after which the engine answers without the scheduler


def monotonic_ms() -> float:
    """The gateway's clock: milliseconds."""
    return time.monotonic() * 1000


class BatchScheduler(Protocol):
    """What the engine needs of the scheduler."""

    def handle(self, now: float, events: list[api.Event]) -> list[api.Action]:
        """Actions that answer the events."""


class RequestHandle:
    """One request that has been taken, and what the scheduler says of it, in order."""

    __slots__ = (
        "_wake",
        "actions",
        "attempts",
        "attempts_out",
        "closed",
        "end",
        "fault",
        "gone",
        "id",
        "on_call_off",
        "on_cancel",
    )

    def __init__(self, request: str, end: float) -> None:
        self.id, self.end = request, end
        self.actions: deque[RequestAction] = deque()
        self.attempts = self.attempts_out = 0
        self.gone = self.closed = False
        self.fault = ""  # why the engine answered in the scheduler's place
        self.on_cancel: Callable[[int], None] | None = None
        self.on_call_off: Callable[[int], None] | None = None
        self._wake: anyio.Event | None = None

    def tell(self, action: RequestAction) -> None:
        """Put an action where the holder finds it."""
        self.actions.append(action)
        self.wake()

    def wake(self) -> None:
        """Let the holder look."""
        if self._wake is not None:
            self._wake.set()

    async def next(self) -> RequestAction | None:
        """The next action; None once the client has gone and none is left."""
        while not self.actions:
            if self.gone:
                return None
            self._wake = anyio.Event()
            await self._wake.wait()
        return self.actions.popleft()


class SchedulerLoop:
    """The scheduler of one gateway, with its clock and its timers."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        make: Callable[[api.Settings, int, float], BatchScheduler] = Scheduler,
        clock: Callable[[], float] = monotonic_ms,
    ) -> None:
        self.settings, self.clock = settings, clock
        self.observing = False
        self.observer: QueueObserver | None = None
        self._make, self._seed, self._starts = make, seed, 0
        self.tickets: dict[str, RequestHandle] = {}
        self.departed: dict[str, RequestHandle] = {}  # whose clients have left and whose attempts go on
        self.counts: Counter[str] = Counter()
        self.watch: Callable[[], None] = lambda: None
        self.on_post: Callable[[], None] | None = None  # told in place of the task, where turns are another's
        self.nodes: dict[str, api.Endpoint] = {}
        self._inbox: list[api.Event] = []
        self._timers: list[tuple[float, int, int]] = []
        self._timer_number = 0
        self._wake = anyio.Event()
        self._log = structlog.get_logger("engine")
        self._scheduler = self._begin()

    def _begin(self) -> BatchScheduler:
        self._starts += 1
        return self._make(self.settings, self._seed + self._starts - 1, self.clock())

    def observe(self) -> None:
        """From now on see why requests are held."""
        self.observing = True
        self._see()

    def accounts(self, since: int = 0) -> list[str]:
        """The volumes that have accounts, in order of their coming; those from a place on."""
        scheduler = self._scheduler
        return list(islice(scheduler.quotas, since, None)) if isinstance(scheduler, Scheduler) else []

    def retell(self, settings: api.Settings, plans: Mapping[str, api.Plan]) -> int:
        """Go by other plans from the next batch on; how many accounts changed theirs."""
        from winchdyke.config_rollout.hot_reload import retell

        self.settings = settings
        scheduler = self._scheduler
        return retell(scheduler, settings, plans, self.clock()) if isinstance(scheduler, Scheduler) else 0

    def freshen(self, names: list[str]) -> None:
        """Fill accounts up to now."""
        from winchdyke.config_rollout.hot_reload import freshen

        if isinstance(self._scheduler, Scheduler):
            freshen(self._scheduler, names, self.clock())

    def purse(self, volume: str) -> VolumeQuota | None:
        """The scheduler's account of a volume; None where it has not heard of it."""
        scheduler = self._scheduler
        return scheduler.quotas.get(volume) if isinstance(scheduler, Scheduler) else None

    def held(self) -> dict[int, int]:
        """How many requests wait for each shard."""
        scheduler = self._scheduler
        if not isinstance(scheduler, Scheduler):
            return {}
        return {number: len(scheduler.shards[number].queue) for number in scheduler.shards_with_queue}

    def _see(self) -> None:
        scheduler, self.observer = self._scheduler, None
        if self.observing and isinstance(scheduler, Scheduler):
            from winchdyke.latency_attribution.queue_observer import QueueObserver

            self.observer = QueueObserver(scheduler)

    def take(self, request: api.Request, ticket: RequestHandle | None = None) -> RequestHandle:
        """Hand a request to the scheduler, which owes it exactly one final answer from now on."""
        if request.request_id in self.tickets:
            raise ValueError(f"request {request.request_id} is held already")
        ticket = ticket or RequestHandle(request.request_id, self.clock() + request.time_left_ms)
        self.tickets[request.request_id] = ticket
        self.post(request)
        return ticket

    def post(self, event: api.Event) -> None:
        """Hand over an event; it is decided on at the task's next turn, with all that came meanwhile."""
        self._inbox.append(event)
        if self.on_post is None:
            self._wake.set()
        else:
            self.on_post()

    def gone(self, ticket: RequestHandle) -> None:
        """The client has left."""
        if not ticket.closed:
            ticket.closed = ticket.gone = True
            self.tickets.pop(ticket.id, None)
            if ticket.attempts_out:
                self.departed[ticket.id] = ticket
            self.post(api.ClientDisconnected(ticket.id))
            ticket.wake()

    def ended(self, ticket: RequestHandle, event: api.AttemptEnded) -> None:
        """An attempt has ended; where that finishes the request its ticket is closed."""
        ticket.attempts_out -= 1
        if not ticket.attempts_out:
            self.departed.pop(ticket.id, None)
        if event.request_finished and not ticket.closed:
            ticket.closed = True
            self.tickets.pop(ticket.id, None)
        self.post(event)

    async def run(self) -> None:
        """Decide until cancelled."""
        while True:
            if not self._inbox and not self._due():
                self._wake = anyio.Event()
                if self._timers:
                    with anyio.move_on_after(max(0.0, self._timers[0][0] - self.clock()) / 1000):
                        await self._wake.wait()
                else:
                    await self._wake.wait()
            else:
                await anyio.sleep(0)  # let all that is ready now be said, and handed over together
            self.turn()

    @property
    def next_due(self) -> float | None:
        """When the next timer comes due, on the engine's clock; None where there is none."""
        return self._timers[0][0] if self._timers else None

    def _due(self) -> bool:
        return bool(self._timers) and self._timers[0][0] <= self.clock()

    def turn(self) -> None:
        """Hand over what has come, and carry out what is decided."""
        now, timers = self.clock(), self._timers
        events, self._inbox = self._inbox, []
        while timers and timers[0][0] <= now:
            events.append(api.TimerFired(heapq.heappop(timers)[2]))
        if not events:
            return
        for event in events:
            if isinstance(event, api.EndpointList):
                self._remember(event)
        try:
            for action in self._scheduler.handle(now, events):
                self._carry_out(now, action)
            if self.observer is not None:
                self.observer.observe(now)
        except Exception as error:
            self._fault(error)

    def _remember(self, news: api.EndpointList) -> None:
        if news.kind in (api.EndpointListKind.FULL, api.EndpointListKind.CACHED):
            self.nodes = {}
        for node in news.endpoints:
            self.nodes.pop(node.name, None)
            self.nodes[node.name] = node
        # Where stores are ever new, what is gone must not be kept for good; what just went may still be asked for its shard.
        gone = [name for name, node in self.nodes.items() if node.status is api.EndpointStatus.REMOVED]
        for name in gone[:-GONE_KEPT]:
            del self.nodes[name]

    def _carry_out(self, now: float, action: api.Action) -> None:
        self.counts[type(action).__name__] += 1
        if isinstance(action, (api.StartAttempt, api.ShedRequest, api.FailRequest)):
            ticket = self.tickets.get(action.request_id)
            if ticket is None:  # it left in this very turn
                if isinstance(action, api.StartAttempt):
                    gone = api.AttemptEnded(
                        action.request_id, 0, action.endpoint, api.AttemptOutcome.NOT_SENT, 0.0, True
                    )
                    self.post(gone)
                return
            if isinstance(action, api.StartAttempt):
                ticket.attempts_out += 1
            else:
                ticket.closed = True
                del self.tickets[action.request_id]
            ticket.tell(action)
        elif isinstance(action, api.SetTimer):
            self._timer_number += 1
            heapq.heappush(
                self._timers, (now + max(0.0, action.after_ms), self._timer_number, action.timer_id)
            )
        elif isinstance(action, api.CancelAttempt):
            ticket = self.tickets.get(action.request_id) or self.departed.get(action.request_id)
            if ticket is not None and ticket.on_cancel is not None:
                ticket.on_cancel(action.attempt)
        elif isinstance(action, api.AbandonAttempt):
            ticket = self.tickets.get(action.request_id) or self.departed.get(action.request_id)
            if ticket is not None and ticket.on_call_off is not None:
                ticket.on_call_off(action.attempt)
        elif isinstance(action, api.WatchEndpoints):
            self.watch()
        else:
            self._log.info("scheduler", text=action.message)

    def _fault(self, error: Exception) -> None:
        # Guards against a request that waits for a scheduler that has failed, whatever the cause: all that it held
        # is answered, and a new one begins empty, as after a kill: limits and cold nodes with no credit. It hurts
        # where one bad request faults it again and again: each time all others fail with it.
        self.counts["faults"] += 1
        self._log.error("engine-fault", error=repr(error), held=len(self.tickets), exc_info=error)
        self._inbox, self._timers = (
            [event for event in self._inbox if isinstance(event, api.EndpointList)],
            [],
        )
        for ticket in list(self.tickets.values()):
            self._answer(ticket, "engine-fault")
        self._scheduler = self._begin()
        self._see()
        self.post(api.EndpointList(api.EndpointListKind.CACHED, tuple(self.nodes.values())))

    def _answer(
        self, ticket: RequestHandle, why: str, action: api.ShedRequest | api.FailRequest | None = None
    ) -> None:
        del self.tickets[ticket.id]
        ticket.closed, ticket.fault = True, why
        ticket.actions.clear()
        ticket.tell(action or api.FailRequest(ticket.id))
        if ticket.on_cancel is not None:
            ticket.on_cancel(-1)

    def answer_all(self, why: str) -> None:
        """Answer all that is held, whatever the scheduler would say, and call off its attempts: the process ends."""
        for ticket in list(self.tickets.values()):
            if ticket.on_cancel is not None:
                ticket.on_cancel(
                    -1
                )  # an answer that lies in the socket is its client's: looked for before another is made
            if ticket.closed:
                continue
            self.counts[why] += 1
            self._answer(
                ticket, why, api.FailRequest(ticket.id) if ticket.attempts else api.ShedRequest(ticket.id)
            )
            self.post(api.ClientDisconnected(ticket.id))

    def answer_overdue(self, now: float) -> None:
        """Answer what is held with no attempt out past its time: a scheduler that says nothing, whatever the cause."""
        for ticket in [t for t in self.tickets.values() if now > t.end + OVERDUE_MS and not t.attempts_out]:
            self.counts["overdue"] += 1
            self._answer(ticket, "engine-silent")
            self.post(api.ClientDisconnected(ticket.id))
