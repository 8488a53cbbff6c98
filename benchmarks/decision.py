"""Measures the cost of scheduler decisions: microseconds per event, with 40 stores and one of 250 gateways.

It uses no sockets: the scheduler gets requests and the ends of attempts in virtual time, in batches of 1 ms.

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


def make_scheduler() -> Scheduler:
    """Returns a scheduler that knows all stores as warm endpoints."""
    request_classes = (
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
        classes=request_classes,
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
    scheduler = Scheduler(settings, seed=1, now=0.0)
    endpoints = tuple(api.Endpoint(f"n{shard}", api.EndpointStatus.READY, shard) for shard in range(STORES))
    scheduler.handle(0.0, [api.EndpointList(api.EndpointListKind.FULL, endpoints)])
    return scheduler


def simulate(rate: float, requests: int, batch_ms: float, latency_ms: float) -> tuple[float, float, float]:
    """Returns the mean cost of an event (us), its 99th percentile over batches, and the rejected fraction."""
    scheduler, rng = make_scheduler(), random.Random(7)
    now, event_count, total_s, rejected, arrived = 0.0, 0, 0.0, 0, 0
    upcoming: list[tuple[float, api.Event]] = []
    event_costs_us = []
    attempts: dict[str, int] = {}
    next_arrival_ms = 0.0
    while arrived < requests:
        now += batch_ms
        events: list[api.Event] = []
        while next_arrival_ms <= now and arrived < requests:
            arrived += 1
            next_arrival_ms += rng.expovariate(rate) * 1000
            volume = min(VOLUMES - 1, int(rng.paretovariate(0.7)))
            plan, request_class = ("basic", "gold")[volume % 2], "read" if rng.random() < 0.65 else "write"
            name, shard = f"r{arrived}", rng.randrange(STORES)
            units = float(rng.choice((1, 1, 2, 4)))
            events.append(
                api.Request(
                    name, request_class, plan, f"v{volume}", f"k{rng.randrange(999)}", units, shard, 3, 2500.0
                )
            )
        upcoming.sort(key=lambda entry: entry[0])
        while upcoming and upcoming[0][0] <= now:
            events.append(upcoming.pop(0)[1])
        if not events:
            continue
        started_at = time.perf_counter()
        actions = scheduler.handle(now, events)
        elapsed_s = time.perf_counter() - started_at
        total_s, event_count = total_s + elapsed_s, event_count + len(events)
        event_costs_us.append(elapsed_s * 1e6 / len(events))
        for action in actions:
            if isinstance(action, api.StartAttempt):
                attempt = attempts[action.request_id] = attempts.get(action.request_id, -1) + 1
                duration_ms = rng.expovariate(1 / latency_ms)
                attempt_ended = api.AttemptEnded(
                    action.request_id,
                    attempt,
                    action.endpoint,
                    api.AttemptOutcome.SERVED,
                    duration_ms,
                    True,
                    90.0,
                )
                upcoming.append((now + duration_ms, attempt_ended))
            elif isinstance(action, api.SetTimer):
                upcoming.append((now + action.after_ms, api.TimerFired(action.timer_id)))
            elif isinstance(action, (api.ShedRequest, api.FailRequest)):
                rejected += 1
    return total_s * 1e6 / event_count, statistics.quantiles(event_costs_us, n=100)[98], rejected / arrived


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=20_000)
    count = parser.parse_args().requests
    print(
        f"{STORES} stores, {GATEWAYS} gateways, {VOLUMES} volumes, {count} requests; simulated time, real CPU"
    )
    print(f"{'load':34} {'us/event':>9} {'p99 batch':>10} {'rejected':>8}")
    for name, rate, latency in (
        ("300 requests/s, 20 ms per store", 300.0, 20.0),
        ("1000 requests/s, 20 ms per store", 1000.0, 20.0),
        ("1000 requests/s, 400 ms: overload", 1000.0, 400.0),
    ):
        mean, p99, rejected = simulate(rate, count, 1.0, latency)
        print(f"{name:34} {mean:9.1f} {p99:10.1f} {rejected:8.1%}")


if __name__ == "__main__":
    main()
