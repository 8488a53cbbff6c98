"""Why a request is held, and who held it: a shadow of the scheduler's decision, read from its state. Changes nothing.

For each shard and class with something held, the shares of those who hold the room it lacks are integrated over time. A
request's blame is the difference of two readings, so it costs no more with 10,000 waiting than with one: a look costs by
shards with a queue, times classes, times what is out at a node (16 at the most). What is a request's own affair (its
volume's limit, its key's turn, the rules on repeats) is followed for each such request, for a bounded number of them.

What is attribution: who is out at the node, a limit, a key's turn, no node, a trial, the cold bound: these are what the
module itself goes by. What is guess: that those out hold in equal parts, and that a node's time beyond its usual for a
request (its unit cost by class, times its long average) is the node's own.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice

from winchdyke.latency_attribution.spans import TURN, Holder
from winchdyke.scheduling import Scheduler
from winchdyke.scheduling.concurrency_limit import MAX_LIMIT
from winchdyke.scheduling.endpoint_state import EndpointState
from winchdyke.scheduling.pending_request import PendingRequest
from winchdyke.scheduling.shard import Shard

Shares = dict[Holder, float]
OWN_MOST = 512  # requests with a cause of their own that are looked at each time
USUAL_SLACK = 1.5  # times the usual latency from which on an attempt's time is its node's


class Integral:
    """Milliseconds by holder and by cause for one shard and class, while anything is held there."""

    __slots__ = ("_mark", "at", "cause", "causes", "holders", "shares")

    def __init__(self, now: float) -> None:
        self.at, self.cause = now, "turn"
        self.shares: Shares = {TURN: 1.0}
        self.holders: dict[Holder, float] = {}
        self.causes: dict[str, float] = {}
        self._mark: tuple[dict[Holder, float], dict[str, float]] | None = None

    def advance(self, now: float) -> None:
        """Count the time since the last look by the shares found then."""
        span = now - self.at
        if span <= 0:
            return
        for holder, share in self.shares.items():
            self.holders[holder] = self.holders.get(holder, 0.0) + span * share
        self.causes[self.cause] = self.causes.get(self.cause, 0.0) + span
        self.at, self._mark = now, None

    def mark(self) -> tuple[dict[Holder, float], dict[str, float]]:
        """The reading now; one copy serves all that begin at the same time."""
        if self._mark is None:
            self._mark = dict(self.holders), dict(self.causes)
        return self._mark


class Waiting:
    """One held request: where its wait began, and its own cause where it has one."""

    __slots__ = ("cause", "causes", "group", "holders", "integral", "mark", "own", "own_at", "shares")

    def __init__(self, group: tuple[int, str], integral: Integral, now: float) -> None:
        self.group, self.integral = group, integral
        self.mark = integral.mark()
        self.own = False
        self.own_at, self.cause = now, ""
        self.shares: Shares = {}
        self.holders: dict[Holder, float] = {}
        self.causes: dict[str, float] = {}


class Observer:
    """Looks at a scheduler after each of its turns."""

    def __init__(self, scheduler: Scheduler) -> None:
        self.scheduler = scheduler
        self._groups: dict[tuple[int, str], Integral] = {}
        self._count: dict[tuple[int, str], int] = {}
        self._waiting: dict[str, Waiting] = {}
        self._own: OrderedDict[str, None] = OrderedDict()
        self._fresh: dict[str, tuple[int, str, float]] = {}  # not yet seen to be held: most are sent at once

    def begin(self, request: str, shard: int, class_name: str, now: float) -> None:
        """A request is held from now on, if it is still there at the next look."""
        self._fresh[request] = shard, class_name, now

    def at_once(self, request: str) -> bool:
        """Whether it was sent, or answered, in the turn that took it; then it is forgotten here."""
        return self._fresh.pop(request, None) is not None

    def _hold(self, request: str, shard: int, class_name: str, now: float) -> None:
        group = shard, class_name
        integral = self._groups.get(group)
        if integral is None:
            integral = self._groups[group] = Integral(now)
        integral.advance(now)
        self._waiting[request] = Waiting(group, integral, now)
        self._count[group] = self._count.get(group, 0) + 1
        self._own[request] = None

    def end(self, request: str, now: float) -> tuple[Shares, dict[str, float]]:
        """It is held no more: milliseconds by holder, and by cause."""
        fresh = self._fresh.pop(request, None)
        if fresh is not None:
            span = max(0.0, now - fresh[2])
            return {TURN: span}, {"turn": span}
        waiting = self._waiting.pop(request, None)
        if waiting is None:
            return {}, {}
        self._own.pop(request, None)
        group = waiting.group
        self._count[group] -= 1
        self._settle(waiting, now)
        if not self._count[group]:
            del self._count[group]
            self._groups.pop(group, None)
        return waiting.holders, waiting.causes

    def _settle(self, waiting: Waiting, now: float) -> None:
        """Count what has passed since the last settling, to its own cause or to its group's."""
        if waiting.own:
            span = max(0.0, now - waiting.own_at)
            for holder, share in waiting.shares.items():
                waiting.holders[holder] = waiting.holders.get(holder, 0.0) + span * share
            waiting.causes[waiting.cause] = waiting.causes.get(waiting.cause, 0.0) + span
        else:
            waiting.integral.advance(now)
            holders, causes = waiting.mark
            for holder, value in waiting.integral.holders.items():
                if (more := value - holders.get(holder, 0.0)) > 0:
                    waiting.holders[holder] = waiting.holders.get(holder, 0.0) + more
            for cause, value in waiting.integral.causes.items():
                if (more := value - causes.get(cause, 0.0)) > 0:
                    waiting.causes[cause] = waiting.causes.get(cause, 0.0) + more
        waiting.integral.advance(now)
        waiting.mark, waiting.own_at = waiting.integral.mark(), now

    def held(self) -> list[tuple[int, str, int, str, Shares]]:
        """What is held now: shard, class, how many, why, and the shares of those who hold them."""
        return [
            (*group, self._count[group], integral.cause, dict(integral.shares))
            for group, integral in self._groups.items()
        ]

    def look(self, now: float) -> None:
        """See who holds what, after a turn of the scheduler."""
        requests, shards = self.scheduler.requests, self.scheduler.shards
        for request in list(self._fresh):
            held = requests.get(request)
            if held is not None and not held.finished and not held.attempts_in_flight:
                number, class_name, since = self._fresh.pop(request)
                self._hold(request, number, class_name, since)
        if not self._waiting:
            return
        for (number, class_name), integral in self._groups.items():
            integral.advance(now)
            shard = shards.get(number)
            integral.cause, integral.shares = (
                ("turn", {TURN: 1.0}) if shard is None else self._group(shard, number, class_name, now)
            )
        for request in list(islice(self._own, OWN_MOST)):
            self._look_at(request, now)
            if request in self._own:
                self._own.move_to_end(request)

    def _look_at(self, request: str, now: float) -> None:
        waiting, held = self._waiting[request], self.scheduler.requests.get(request)
        found = None if held is None or held.finished else self._own_cause(held, now)
        if (
            held is not None
            and not held.attempts
            and not held.request_class.in_order
            and not held.quota.plan.limit_units_per_s
        ):
            self._own.pop(request, None)  # nothing of its own can hold it
        if found is None and not waiting.own:
            return
        self._settle(waiting, now)
        waiting.own = found is not None
        if found is not None:
            waiting.cause, waiting.shares = found

    def _own_cause(self, held: PendingRequest, now: float) -> tuple[str, Shares] | None:
        scheduler, request, key = self.scheduler, held.request, held.request.key
        if held.request_class.in_order and key and not held.attempts:
            first = next(
                (h for h in scheduler.requests.values() if h.request_class.in_order and h.request.key == key),
                None,
            )
            if first is not None and first is not held:
                return "order", {("volume", first.request.volume, first.request_class.name): 1.0}
            if now < scheduler.settling_keys.get(key, now):
                return "order", {("design", "order", "rest after an attempt that may still run"): 1.0}
        plan = held.quota.plan
        if plan.limit_units_per_s and not held.attempts:
            # What flows in until now, without touching the account itself.
            seconds = (now - held.quota.refilled_at_ms) / 1000
            level = held.quota.limit_units + plan.limit_units_per_s / held.quota.sharing_gateways * seconds
            if level < request.units:
                return "limit", {("volume", request.volume, "limit"): 1.0}
        if held.attempts:
            since = now - scheduler.settings.retry_budget_window_ms
            extra = sum(at > since for at in scheduler.retry_budget.retry_times)
            taken = sum(at > since for at in scheduler.retry_budget.request_times)
            if (
                scheduler.settings.retry_budget_window_ms
                and extra + 1
                > scheduler.settings.retry_budget_base + scheduler.settings.retry_budget_ratio * taken
            ):
                return "budget", {("design", "budget", "attempts"): 1.0}
            node = scheduler.shards[held.shard].active_endpoint()
            if node is not None and not held.may_be_sent_to(node, now):
                return "repeat", {("design", "repeat", held.request_class.name): 1.0}
        return None

    def _group(self, shard: Shard, number: int, class_name: str, now: float) -> tuple[str, Shares]:
        node = shard.active_endpoint()
        if node is None:
            return "no-node", {("node", f"shard {number}", "none"): 1.0}
        if node.suspected_since_ms is not None:
            return "trial", {("node", node.name, "suspect"): 1.0}
        window, out = node.concurrency_limit, node.in_flight
        if window.limit < 1 and not out:
            return "pause", {("design", "window", "pause"): 1.0}
        if window.limit >= 1 and len(out) < int(window.limit):
            cfg = self.scheduler.settings
            if cfg.slow_start_overload_window_ms and now - node.started_at_ms < cfg.slow_start_duration_ms:
                return "cold", {("design", "cold", node.name): 1.0}
            return "turn", {TURN: 1.0}
        mine = sum(name == class_name for _, name in out.values())
        cause = "share" if mine and len(out) < MAX_LIMIT and mine < len(out) else "window"
        return cause, self._out(node, now)

    def _out(self, node: EndpointState, now: float) -> Shares:
        """Those out at a node hold it in equal parts; past its usual time, one's part is the node's own."""
        scheduler = self.scheduler
        shares: Shares = {}
        part = 1.0 / len(node.in_flight)
        for (request, _), (sent, class_name) in node.in_flight.items():
            held = scheduler.requests.get(request)
            usual = self.usual(node, class_name, held.request.units if held else 1.0)
            if now - sent > USUAL_SLACK * usual:
                holder: Holder = ("node", node.name, "slow")
            else:
                holder = ("volume", held.request.volume if held else "?", class_name)
            shares[holder] = shares.get(holder, 0.0) + part
        return shares

    def usual(self, node: EndpointState, class_name: str, units: float) -> float:
        """A node's usual latency for so much work, in milliseconds: what is learnt of its class and of itself."""
        return float(
            self.scheduler.unit_cost_ms[class_name] * units * max(1.0, node.concurrency_limit.long_ratio)
        )
