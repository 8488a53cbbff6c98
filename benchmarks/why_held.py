"""Why a request is held: the shadow's word, and the module's own, against what truly held it (virtual time).

python benchmarks/why_held.py [--seeds N]

What truly held it is tried out: the scheduler is copied, one thing is taken away (the window's bound, the limit, the key's
order, the cold bound, the trial, the budget, the repeat rule, the missing node), and what then sends the request held it.
"The module says it" is a prototype that asks the module's own questions of each held request after each turn. Cost is the
time of each beside the scheduler's own, in one run.
"""

from __future__ import annotations

import argparse
import copy
import dataclasses
import random
import time
from collections import Counter

from winchdyke import interface as api
from winchdyke.latency_attribution.queue_observer import QueueObserver
from winchdyke.scheduling import Scheduler
from winchdyke.scheduling.dispatch import dispatch_shard, has_capacity, is_eligible
from winchdyke.scheduling.pending_request import PendingRequest

SAME = {"share": "window", "pause": "window"}  # all of them are the window's bound
ORDER = ("window", "limit", "order", "cold", "trial", "budget", "repeat", "no-node")
CLASSES = (
    api.RequestClass(
        "fetch", 2.0, 400.0, 3000.0, 0.1, api.RepeatSafety.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0
    ),
    api.RequestClass(
        "submit",
        3.0,
        500.0,
        2500.0,
        0.1,
        api.RepeatSafety.IDEMPOTENCY_KEY,
        api.DeduplicationScope.SHARD,
        300.0,
        modifies_data=True,
    ),
    api.RequestClass(
        "turns",
        1.0,
        500.0,
        3000.0,
        0.1,
        api.RepeatSafety.IDEMPOTENT,
        api.DeduplicationScope.ALL,
        0.0,
        in_order=True,
    ),
)
PLANS = (
    api.Plan("open", 1.0, 1.0, 10.0, 0.0),
    api.Plan("capped", 1.0, 1.0, 10.0, 0.0, limit_units_per_s=30.0, limit_burst_units=30.0),
)


def settings() -> api.Settings:
    """Two shards, a cold bound, a tight budget of attempts."""
    return api.Settings(
        gateway_count=1,
        gateway_index=0,
        classes=CLASSES,
        plans=PLANS,
        mean_request_units=1.0,
        max_request_units=4.0,
        fair_share_priority_factor=0.3,
        excess_priority_factor=0.08,
        max_attempts=3,
        max_retry_after_ms=500.0,
        slow_start_overload_window_ms=500.0,
        slow_start_overload_factor=2.0,
        slow_start_duration_ms=1500.0,
        slow_start_initial_capacity=0.1,
        slow_start_initial_units=2.0,
        retry_budget_window_ms=1000.0,
        retry_budget_ratio=0.02,
        retry_budget_base=1,
    )


def truth(scheduler: Scheduler, name: str) -> set[str]:
    """All single things without which a held request would be sent now; none: no one thing holds it alone."""
    found = set()
    for what in ("turn", *ORDER):
        copied = copy.deepcopy(scheduler)
        held = copied.requests[name]
        shard = copied.shards[held.shard]
        if what == "window":
            for node in shard.endpoints.values():
                node.concurrency_limit.limit = 1000.0
        elif what == "limit":
            held.quota.limit_units = 1e9
        elif what == "order":
            copied.settling_keys.clear()
            held.request_class = dataclasses.replace(held.request_class, in_order=False)
        elif what == "cold":
            for node in shard.endpoints.values():
                node.started_at_ms = -1e18
        elif what == "trial":
            for node in shard.endpoints.values():
                node.suspected_since_ms = None
        elif what == "budget":
            copied.retry_budget.retry_times.clear()
        elif what == "repeat":
            held.first_possible_execution = None
        elif what == "no-node":
            for node in shard.endpoints.values():
                node.ready = True
        copied.actions = []
        dispatch_shard(copied, shard)
        if any(
            isinstance(action, api.StartAttempt) and action.request_id == name for action in copied.actions
        ):
            if what == "turn":
                return {"turn"}
            found.add(what)
    return found


def says(scheduler: Scheduler, held: PendingRequest) -> str:
    """The module's own questions, in the order in which it asks them."""
    shard = scheduler.shards[held.shard]
    node, now = shard.active_endpoint(), scheduler.now
    if node is None:
        return "no-node"
    if not has_capacity(scheduler, node, held):
        return "trial" if node.suspected_since_ms is not None else "window"
    if not is_eligible(scheduler, held, node):
        if held.attempts:
            return "budget" if held.may_be_sent_to(node, now) else "repeat"
        limited = held.quota.plan.limit_units_per_s and held.quota.limit_units < held.request.units
        return "limit" if limited else "order"
    credit, at = node.slow_start_credit_units, node.slow_start_credit_at_ms
    bears = node.admits_during_slow_start(
        scheduler.settings,
        now,
        held.request.units,
        shard.throughput_units_per_s,
        scheduler.gateways_sharing_a_shard,
    )
    # The check changes what it looks at, so the prototype puts it back.
    node.slow_start_credit_units = credit
    node.slow_start_credit_at_ms = at
    return "turn" if bears else "cold"


class Play:
    """A scheduler under a random load, with nodes that come, go, slow down and lose answers."""

    def __init__(self, seed: int) -> None:
        self.draw, self.now, self.number = random.Random(seed), 0.0, 0
        self.scheduler = Scheduler(settings(), seed, 0.0)
        self.observer = QueueObserver(self.scheduler)
        self.out: list[tuple[float, str, int, str, float]] = []
        self.slow = {"a": 1.0, "b": 1.0}
        self.spent: Counter[str] = Counter()
        self.give(
            [
                api.EndpointList(
                    api.EndpointListKind.FULL,
                    tuple(api.Endpoint(n, api.EndpointStatus.READY, "ab".index(n)) for n in "ab"),
                )
            ]
        )

    def give(self, events: list[api.Event]) -> None:
        """One turn, timed."""
        began = time.perf_counter()
        actions = self.scheduler.handle(self.now, events)
        self.spent["scheduler"] += time.perf_counter() - began  # type: ignore[assignment]
        began = time.perf_counter()
        for action in actions:
            if isinstance(
                action, (api.StartAttempt, api.ShedRequest, api.FailRequest)
            ) and not self.observer.take_immediate(action.request_id):
                self.observer.record_dequeued(action.request_id, self.now)
        self.observer.observe(self.now)
        self.spent["shadow"] += time.perf_counter() - began  # type: ignore[assignment]
        began = time.perf_counter()
        for held in self.scheduler.requests.values():
            if not held.finished and not held.attempts_in_flight:
                says(self.scheduler, held)
        self.spent["module"] += time.perf_counter() - began  # type: ignore[assignment]
        for action in actions:
            if isinstance(action, api.StartAttempt):
                held = self.scheduler.requests[action.request_id]
                took = held.request.units * 40 * self.slow[action.endpoint] * self.draw.uniform(0.8, 1.3)
                self.out.append(
                    (self.now + took, action.request_id, len(held.attempts) - 1, action.endpoint, took)
                )

    def step(self) -> None:
        """Five milliseconds."""
        self.now += 5.0
        draw, events = self.draw, list[api.Event]()
        for entry in [entry for entry in self.out if entry[0] <= self.now]:
            self.out.remove(entry)
            _, name, attempt, node, took = entry
            lost = draw.random() < 0.08
            held = self.scheduler.requests.get(name)
            how = api.AttemptOutcome.CONNECTION_RESET if lost else api.AttemptOutcome.SERVED
            events.append(api.AttemptEnded(name, attempt, node, how, took, not lost))
            if held is not None and lost and not held.finished:
                self.observer.record_queued(name, held.request.shard, held.request_class.name, self.now)
        while draw.random() < 0.6:
            self.number += 1
            kind = draw.choice((CLASSES[0], CLASSES[0], CLASSES[1], CLASSES[1], CLASSES[2]))
            name = f"r{self.number}"
            plan = draw.choice((PLANS[0], PLANS[0], PLANS[0], PLANS[1])).name
            key = f"k{draw.randrange(6)}" if kind.in_order else name
            units, shard = draw.choice((0.5, 1.0, 3.0)), draw.randrange(2)
            volume = f"{plan}-{draw.randrange(3)}"
            request = api.Request(name, kind.name, plan, volume, key, units, shard, 1, kind.deadline_ms)
            self.observer.record_queued(name, request.shard, kind.name, self.now)
            events.append(request)
        if draw.random() < 0.004:
            node = draw.choice("ab")
            self.slow[node] = draw.choice((1.0, 1.0, 4.0))
        if draw.random() < 0.004:
            node = draw.choice("ab")
            state = draw.choice(
                (api.EndpointStatus.REMOVED, api.EndpointStatus.READY, api.EndpointStatus.READY)
            )
            started = self.now if state is api.EndpointStatus.READY else 0.0
            events.append(
                api.EndpointList(
                    api.EndpointListKind.CHANGES,
                    (api.Endpoint(node, state, "ab".index(node), started_at_ms=started),),
                )
            )
        self.give([*events, api.TimerFired(0)])

    def shadow(self, name: str) -> str:
        """What the shadow says of a held request now."""
        waiting = self.observer._waiting.get(name)
        if waiting is None:
            return "turn"
        return waiting.cause if waiting.has_own_cause else waiting.integral.cause


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--seeds", type=int, default=8)
    words.add_argument("--steps", type=int, default=1200)
    chosen = words.parse_args()
    cells: dict[str, Counter[tuple[str, str]]] = {"shadow": Counter(), "module": Counter()}
    right, samples, several = Counter[str](), 0, 0
    spent: Counter[str] = Counter()
    for seed in range(chosen.seeds):
        play = Play(seed)
        for number in range(chosen.steps):
            play.step()
            held = [
                n for n, h in play.scheduler.requests.items() if not h.finished and not h.attempts_in_flight
            ]
            if number % 7 or not held:
                continue
            name = play.draw.choice(held)
            true = truth(play.scheduler, name)
            if not true:
                several += 1
                continue
            samples += 1
            told = {
                "shadow": play.shadow(name),
                "module": says(play.scheduler, play.scheduler.requests[name]),
            }
            for who, what in told.items():
                what = SAME.get(what, what)
                right[who] += what in true
                cells[who][min(true), what] += 1
        spent += play.spent
    print(
        f"{samples} held requests with one thing that holds them; {several} more that no one thing holds alone"
    )
    for who in ("shadow", "module"):
        cost = spent[who] / spent["scheduler"]
        print(f"{who}: right in {right[who] / samples:.3f}; {cost:.2f} of the scheduler's own time")
        for (true, what), count in sorted(cells[who].items(), key=lambda entry: -entry[1]):
            if true != what:
                print(f"    {true} told as {what}: {count}")
    print(
        "by what truly held them:",
        dict(Counter(true for (true, _), n in cells["shadow"].items() for _ in range(n))),
    )


if __name__ == "__main__":
    main()
