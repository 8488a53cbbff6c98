"""What a decision costs by itself: microseconds an event, at 40 stores and 250 gateways, one scheduler of them.

No sockets: the scheduler is handed requests and the ends of attempts in virtual time, singly and in batches.

    python benchmarks/decision.py [--requests N]
"""

from __future__ import annotations

import argparse
import random
import statistics
import time

from winchdyke import Scheduler
from winchdyke import interface as api

STORES, GATEWAYS, VOLUMES = 40, 250, 300


def scheduler() -> Scheduler:
    kinds = (
        api.RequestClass(
            "read", 2.0, 400.0, 3000.0, 0.1, api.RepeatSafety.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0
        ),
        api.RequestClass(
            "write",
            3.0,
            500.0,
            2500.0,
            0.1,
            api.RepeatSafety.IDEMPOTENCY_KEY,
            api.DeduplicationScope.SHARD,
            4000.0,
            modifies_data=True,
        ),
    )
    plans = (api.Plan("basic", 1.0, 1.0, 4.0, 0.0, 20.0, 60.0), api.Plan("gold", 1.4, 6.0, 10.0, 12.0))
    settings = api.Settings(
        gateway_count=GATEWAYS,
        gateway_index=0,
        classes=kinds,
        plans=plans,
        mean_request_units=2.0,
        max_request_units=8.0,
        fair_share_priority_factor=0.3,
        excess_priority_factor=0.08,
        max_attempts=3,
        max_retry_after_ms=500.0,
        slow_start_initial_capacity=0.2,
        slow_start_duration_ms=10_000.0,
        slow_start_overload_factor=3.0,
        slow_start_overload_window_ms=1500.0,
        slow_start_initial_units=9.0,
        retry_budget_window_ms=5000.0,
        retry_budget_base=3.0,
        retry_budget_ratio=0.1,
    )
    made = Scheduler(settings, seed=1, now=0.0)
    nodes = tuple(api.Endpoint(f"n{shard}", api.EndpointStatus.READY, shard) for shard in range(STORES))
    made.handle(0.0, [api.EndpointList(api.EndpointListKind.FULL, nodes)])
    return made


def play(rate: float, requests: int, batch_ms: float, latency_ms: float) -> tuple[float, float, float]:
    """Microseconds an event in the mean, the slowest batch of a hundred (p99), and the part that was refused."""
    made, draw = scheduler(), random.Random(7)
    now, events_seen, spent, refused, taken = 0.0, 0, 0.0, 0, 0
    due: list[tuple[float, api.Event]] = []
    costs = []
    attempts: dict[str, int] = {}
    next_request = 0.0
    while taken < requests:
        now += batch_ms
        events: list[api.Event] = []
        while next_request <= now and taken < requests:
            taken += 1
            next_request += draw.expovariate(rate) * 1000
            volume = min(VOLUMES - 1, int(draw.paretovariate(0.7)))
            plan, kind = ("basic", "gold")[volume % 2], "read" if draw.random() < 0.65 else "write"
            name, shard = f"r{taken}", draw.randrange(STORES)
            units = float(draw.choice((1, 1, 2, 4)))
            events.append(
                api.Request(
                    name, kind, plan, f"v{volume}", f"k{draw.randrange(999)}", units, shard, 3, 2500.0
                )
            )
        due.sort(key=lambda entry: entry[0])
        while due and due[0][0] <= now:
            events.append(due.pop(0)[1])
        if not events:
            continue
        began = time.perf_counter()
        actions = made.handle(now, events)
        took = time.perf_counter() - began
        spent, events_seen = spent + took, events_seen + len(events)
        costs.append(took * 1e6 / len(events))
        for action in actions:
            if isinstance(action, api.StartAttempt):
                number = attempts[action.request_id] = attempts.get(action.request_id, -1) + 1
                wait = draw.expovariate(1 / latency_ms)
                end = api.AttemptEnded(
                    action.request_id, number, action.endpoint, api.AttemptOutcome.SERVED, wait, True, 90.0
                )
                due.append((now + wait, end))
            elif isinstance(action, api.SetTimer):
                due.append((now + action.after_ms, api.TimerFired(action.timer_id)))
            elif isinstance(action, (api.ShedRequest, api.FailRequest)):
                refused += 1
    return spent * 1e6 / events_seen, statistics.quantiles(costs, n=100)[98], refused / taken


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__)
    words.add_argument("--requests", type=int, default=20_000)
    count = words.parse_args().requests
    print(
        f"{STORES} stores, {GATEWAYS} gateways, {VOLUMES} volumes, {count} requests; simulated time, real CPU"
    )
    print(f"{'load':34} {'us/event':>9} {'p99 batch':>10} {'refused':>8}")
    for name, rate, latency in (
        ("300 requests/s, 20 ms a store", 300.0, 20.0),
        ("1000 requests/s, 20 ms a store", 1000.0, 20.0),
        ("1000 requests/s, 400 ms: overload", 1000.0, 400.0),
    ):
        mean, high, refused = play(rate, count, 1.0, latency)
        print(f"{name:34} {mean:9.1f} {high:10.1f} {refused:8.1%}")


if __name__ == "__main__":
    main()
