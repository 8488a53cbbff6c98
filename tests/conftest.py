"""Shared by all tests: the settings of a small deployment, and a gateway whose clock the test controls."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest
from hypothesis import settings as hypothesis_settings

from winchdyke import Scheduler
from winchdyke import interface as api

hypothesis_settings.register_profile("deterministic", derandomize=True, deadline=None)
hypothesis_settings.load_profile("deterministic")

READ = api.RequestClass(
    "read", 2.0, 300.0, 2000.0, 0.1, api.RepeatSafety.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0
)
WRITE = api.RequestClass(
    "write",
    3.0,
    500.0,
    3000.0,
    0.1,
    api.RepeatSafety.IDEMPOTENCY_KEY,
    api.DeduplicationScope.SHARD,
    4000.0,
    modifies_data=True,
)
ONCE = api.RequestClass(
    "once", 2.0, 500.0, 3000.0, 0.1, api.RepeatSafety.AT_MOST_ONCE, api.DeduplicationScope.ALL, 0.0
)
TURNS = api.RequestClass(
    "turns",
    2.0,
    500.0,
    3000.0,
    0.1,
    api.RepeatSafety.IDEMPOTENT,
    api.DeduplicationScope.ALL,
    0.0,
    in_order=True,
)
SETTINGS = api.Settings(
    gateway_count=2,
    gateway_index=0,
    classes=(READ, WRITE, ONCE, TURNS),
    plans=(
        api.Plan("gold", 1.5, 3.0, 8.0, 8.0),
        api.Plan("open", 1.0, 1.0, 4.0, 0.0),
        api.Plan("capped", 1.0, 1.0, 3.0, 0.0, limit_units_per_s=10.0, limit_burst_units=32.0),
    ),
    clock_tick_ms=1.0,
    mean_request_units=2.0,
    max_request_units=8.0,
    fair_share_priority_factor=0.3,
    excess_priority_factor=0.05,
    max_attempts=3,
    max_retry_after_ms=500.0,
    slow_start_initial_capacity=0.2,
    slow_start_duration_ms=10000.0,
    slow_start_overload_factor=3.0,
    slow_start_overload_window_ms=1000.0,
    slow_start_initial_units=12.0,
    order_settle_ms=400.0,
    retry_budget_window_ms=5000.0,
    retry_budget_base=2.0,
    retry_budget_ratio=0.1,
)


class Gateway:
    """A gateway without sockets whose clock the test controls; asserts that each request gets one final answer.

    Attributes:
        now: The current time in milliseconds.
        timers: Due time and id of each timer that has not fired.
        sends: Time and action of each attempt that was started.
        answers: The final answer of each finished request, by request id.
        attempts: Number of attempts, by request id.
        logs: Logged messages.
        cancelled: Cancelled attempts.
        watches: Number of requests to watch the endpoint list.
    """

    def __init__(self, seed: int = 7, **changes: object) -> None:
        self.settings = replace(SETTINGS, **changes)  # type: ignore[arg-type]
        self.now = 1000.0
        self.scheduler = Scheduler(self.settings, seed=seed, now=self.now)
        self.timers: list[tuple[float, int]] = []
        self.sends: list[tuple[float, api.StartAttempt]] = []
        self.answers: dict[str, api.ShedRequest | api.FailRequest] = {}
        self.attempts: dict[str, int] = {}
        self.logs: list[str] = []
        self.cancelled: list[api.CancelAttempt] = []
        self.watches = 0

    def handle(self, *events: api.Event) -> list[api.Action]:
        """Pass events to the scheduler at the current time."""
        actions = self.scheduler.handle(self.now, events)
        for action in actions:
            match action:
                case api.SetTimer(timer_id, after_ms):
                    self.timers.append((self.now + max(after_ms, 0.001), timer_id))
                case api.StartAttempt(request):
                    assert request not in self.answers, "sent after its final answer"
                    self.sends.append((self.now, action))
                    self.attempts[request] = self.attempts.get(request, 0) + 1
                case api.ShedRequest(request) | api.FailRequest(request):
                    assert request not in self.answers, "answered twice"
                    self.answers[request] = action
                case api.LogMessage(text):
                    self.logs.append(text)
                case api.CancelAttempt():
                    self.cancelled.append(action)
                case api.WatchEndpoints():
                    self.watches += 1
        return actions

    def run(self, span: float) -> None:
        """Advance the time by ``span`` milliseconds, and fire the timers that come due."""
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.handle(api.TimerFired(due[1]))
        self.now = end

    def set_endpoints(
        self, *nodes: api.Endpoint, kind: api.EndpointListKind = api.EndpointListKind.FULL
    ) -> None:
        """Pass an endpoint list to the scheduler; by default one warm endpoint each for shards 0 and 1."""
        self.handle(api.EndpointList(kind, nodes or (node("n0", 0), node("n1", 1))))

    def submit(self, name: str, **changes: object) -> list[api.Action]:
        """Pass one request to the scheduler."""
        return self.handle(request(name, **changes))

    def end(
        self, name: str, outcome: api.AttemptOutcome, closed: bool | None = None, **changes: object
    ) -> None:
        """Pass the end of the latest attempt of a request to the scheduler."""
        sent_at, send = [(at, s) for at, s in self.sends if s.request_id == name][-1]
        done = outcome is api.AttemptOutcome.SERVED if closed is None else closed
        event = api.AttemptEnded(
            name, self.attempts[name] - 1, send.endpoint, outcome, self.now - sent_at, done
        )
        self.handle(replace(event, **changes))  # type: ignore[arg-type]

    def sent(self, name: str) -> bool:
        """Whether a request has been sent at least once."""
        return name in self.attempts


def node(
    name: str, shard: int, state: api.EndpointStatus = api.EndpointStatus.READY, started: float = 0.0
) -> api.Endpoint:
    """Return an entry of the endpoint list."""
    return api.Endpoint(name, state, shard, "hall", started)


def request(name: str, **changes: object) -> api.Request:
    """Return a read of 2 units in shard 0, from a volume of the plan ``open``."""
    base = api.Request(name, "read", "open", "v1", "k", 2.0, 0, 1, 2000.0)
    return replace(base, **changes)  # type: ignore[arg-type]


@pytest.fixture
def gateway() -> Gateway:
    """A gateway with two warm endpoints."""
    gateway = Gateway()
    gateway.set_endpoints()
    return gateway


@pytest.fixture
def make() -> Callable[..., Gateway]:
    """A function that creates a gateway with changed settings."""

    def make_gateway(nodes: Sequence[api.Endpoint] = (), **changes: object) -> Gateway:
        gateway = Gateway(**changes)
        gateway.set_endpoints(*nodes)
        return gateway

    return make_gateway
