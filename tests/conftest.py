"""What all tests share: a small deployment, and a gateway that is driven by hand."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace

import pytest
from hypothesis import settings as hypothesis_settings

from winchdyke import Scheduler
from winchdyke import interface as api

hypothesis_settings.register_profile("same", derandomize=True, deadline=None)
hypothesis_settings.load_profile("same")

READ = api.RequestClass("read", 2.0, 300.0, 2000.0, 0.1, api.Effect.IDEMPOTENT, api.Scope.ALL, 0.0)
WRITE = api.RequestClass(
    "write", 3.0, 500.0, 3000.0, 0.1, api.Effect.KEYED, api.Scope.CELL, 4000.0, writes=True
)
ONCE = api.RequestClass("once", 2.0, 500.0, 3000.0, 0.1, api.Effect.AT_MOST_ONCE, api.Scope.ALL, 0.0)
TURNS = api.RequestClass(
    "turns", 2.0, 500.0, 3000.0, 0.1, api.Effect.IDEMPOTENT, api.Scope.ALL, 0.0, in_order=True
)
SETTINGS = api.Settings(
    gateways=2,
    index=0,
    classes=(READ, WRITE, ONCE, TURNS),
    plans=(
        api.Plan("gold", 1.5, 3.0, 8.0, 8.0),
        api.Plan("open", 1.0, 1.0, 4.0, 0.0),
        api.Plan("capped", 1.0, 1.0, 3.0, 0.0, limit=10.0, limit_burst=32.0),
    ),
    tick_ms=1.0,
    mean_units=2.0,
    largest_units=8.0,
    fair_worth=0.3,
    idle_worth=0.05,
    max_attempts=3,
    max_retry_after_ms=500.0,
    cold_from=0.2,
    warm_after_ms=10000.0,
    fall_multiple=3.0,
    fall_window_ms=1000.0,
    cold_units=12.0,
    settle_ms=400.0,
    extra_window_ms=5000.0,
    extra_free=2.0,
    extra_share=0.1,
)


class Gateway:
    """A gateway driven by hand: it keeps the time, fires the timers and checks what any gateway may check."""

    def __init__(self, seed: int = 7, **changes: object) -> None:
        self.settings = replace(SETTINGS, **changes)  # type: ignore[arg-type]
        self.now = 1000.0
        self.scheduler = Scheduler(self.settings, seed=seed, now=self.now)
        self.timers: list[tuple[float, int]] = []
        self.sends: list[tuple[float, api.Send]] = []
        self.answers: dict[str, api.Refuse | api.Fail] = {}
        self.attempts: dict[str, int] = {}
        self.logs: list[str] = []
        self.cancelled: list[api.Cancel] = []
        self.watches = 0

    def give(self, *events: api.Event) -> list[api.Action]:
        """Hand over events at the present time."""
        actions = self.scheduler.handle(self.now, events)
        for action in actions:
            match action:
                case api.SetTimer(tag, after):
                    self.timers.append((self.now + max(after, 0.001), tag))
                case api.Send(request):
                    assert request not in self.answers, "sent after its final answer"
                    self.sends.append((self.now, action))
                    self.attempts[request] = self.attempts.get(request, 0) + 1
                case api.Refuse(request) | api.Fail(request):
                    assert request not in self.answers, "answered twice"
                    self.answers[request] = action
                case api.Log(text):
                    self.logs.append(text)
                case api.Cancel():
                    self.cancelled.append(action)
                case api.WatchList():
                    self.watches += 1
        return actions

    def run(self, span: float) -> None:
        """Let time pass, firing what comes due."""
        end = self.now + span
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            self.give(api.TimerFired(due[1]))
        self.now = end

    def nodes(self, *nodes: api.Node, kind: api.ListKind = api.ListKind.FULL) -> None:
        """Tell the list; by default one warm node a shard, for shards 0 and 1."""
        self.give(api.NodeList(kind, nodes or (node("n0", 0), node("n1", 1))))

    def ask(self, name: str, **changes: object) -> list[api.Action]:
        """Hand over one request."""
        return self.give(request(name, **changes))

    def end(self, name: str, outcome: api.Outcome, closed: bool | None = None, **changes: object) -> None:
        """End the newest attempt of a request."""
        sent_at, send = [(at, s) for at, s in self.sends if s.request == name][-1]
        done = outcome is api.Outcome.SERVED if closed is None else closed
        event = api.AttemptEnded(name, self.attempts[name] - 1, send.node, outcome, self.now - sent_at, done)
        self.give(replace(event, **changes))  # type: ignore[arg-type]

    def sent(self, name: str) -> bool:
        """Whether a request has been sent at least once."""
        return name in self.attempts


def node(name: str, shard: int, state: api.NodeState = api.NodeState.READY, started: float = 0.0) -> api.Node:
    """An entry of the node list."""
    return api.Node(name, state, shard, "hall", started)


def request(name: str, **changes: object) -> api.Request:
    """A read of 2 units in shard 0 of an open volume."""
    base = api.Request(name, "read", "open", "v1", "k", 2.0, 0, 1, 2000.0)
    return replace(base, **changes)  # type: ignore[arg-type]


@pytest.fixture
def gateway() -> Gateway:
    """A gateway that knows two warm nodes."""
    made = Gateway()
    made.nodes()
    return made


@pytest.fixture
def make() -> Callable[..., Gateway]:
    """Make gateways with other settings."""

    def made(nodes: Sequence[api.Node] = (), **changes: object) -> Gateway:
        built = Gateway(**changes)
        built.nodes(*nodes)
        return built

    return made
