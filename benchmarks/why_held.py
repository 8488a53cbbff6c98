"""Compares reported causes of queueing with the true causes, in virtual time.

python benchmarks/why_held.py [--seeds N]

True causes are found by experiment: the scheduler is copied, and one constraint is removed from the copy
(concurrency limit, volume limit, key order, slow start, health check, retry budget, repeat rule, or missing
endpoint). If the copy then sends the request, that constraint was a cause. Two methods are compared with
them: the queue observer, and a prototype that repeats the scheduler's own checks for each queued request
after each batch. The cost of each method is its time relative to that of the scheduler, in the same run.
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

ALIASES = {"share": "window", "pause": "window"}  # forms of the concurrency limit
CAUSES = ("window", "limit", "order", "cold", "trial", "budget", "repeat", "no-node")
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
    """Returns settings with a slow start and a small retry budget."""
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


def true_causes(scheduler: Scheduler, request_id: str) -> set[str]:
    """Returns each single cause without which a queued request would be sent now; empty if there is none."""
    causes = set()
    for cause in ("turn", *CAUSES):
        scheduler_copy = copy.deepcopy(scheduler)
        pending = scheduler_copy.requests[request_id]
        shard = scheduler_copy.shards[pending.shard]
        if cause == "window":
            for endpoint in shard.endpoints.values():
                endpoint.concurrency_limit.limit = 1000.0
        elif cause == "limit":
            pending.quota.limit_units = 1e9
        elif cause == "order":
            scheduler_copy.settling_keys.clear()
            pending.request_class = dataclasses.replace(pending.request_class, in_order=False)
        elif cause == "cold":
            for endpoint in shard.endpoints.values():
                endpoint.started_at_ms = -1e18
        elif cause == "trial":
            for endpoint in shard.endpoints.values():
                endpoint.suspected_since_ms = None
        elif cause == "budget":
            scheduler_copy.retry_budget.retry_times.clear()
        elif cause == "repeat":
            pending.first_possible_execution = None
        elif cause == "no-node":
            for endpoint in shard.endpoints.values():
                endpoint.ready = True
        scheduler_copy.actions = []
        dispatch_shard(scheduler_copy, shard)
        if any(
            isinstance(action, api.StartAttempt) and action.request_id == request_id
            for action in scheduler_copy.actions
        ):
            if cause == "turn":
                return {"turn"}
            causes.add(cause)
    return causes


def checked_cause(scheduler: Scheduler, pending: PendingRequest) -> str:
    """Returns the cause found by the scheduler's own checks, in the scheduler's order."""
    shard = scheduler.shards[pending.shard]
    endpoint, now = shard.active_endpoint(), scheduler.now
    if endpoint is None:
        return "no-node"
    if not has_capacity(scheduler, endpoint, pending):
        return "trial" if endpoint.suspected_since_ms is not None else "window"
    if not is_eligible(scheduler, pending, endpoint):
        if pending.attempts:
            return "budget" if pending.may_be_sent_to(endpoint, now) else "repeat"
        waits_for_limit = (
            pending.quota.plan.limit_units_per_s and pending.quota.limit_units < pending.request.units
        )
        return "limit" if waits_for_limit else "order"
    credit_units, credit_at_ms = endpoint.slow_start_credit_units, endpoint.slow_start_credit_at_ms
    admitted = endpoint.admits_during_slow_start(
        scheduler.settings,
        now,
        pending.request.units,
        shard.throughput_units_per_s,
        scheduler.gateways_sharing_a_shard,
    )
    # The check accrues credit, so the prototype restores the values from before.
    endpoint.slow_start_credit_units = credit_units
    endpoint.slow_start_credit_at_ms = credit_at_ms
    return "turn" if admitted else "cold"


class Simulation:
    """A scheduler under random load, whose endpoints leave, return, slow down and lose responses."""

    def __init__(self, seed: int) -> None:
        self.rng, self.now, self.number = random.Random(seed), 0.0, 0
        self.scheduler = Scheduler(settings(), seed, 0.0)
        self.observer = QueueObserver(self.scheduler)
        self.in_flight: list[tuple[float, str, int, str, float]] = []
        self.slowdown = {"a": 1.0, "b": 1.0}
        self.time_spent_s: Counter[str] = Counter()
        self.handle(
            [
                api.EndpointList(
                    api.EndpointListKind.FULL,
                    tuple(api.Endpoint(n, api.EndpointStatus.READY, "ab".index(n)) for n in "ab"),
                )
            ]
        )

    def handle(self, events: list[api.Event]) -> None:
        """Handles a batch of events, and measures the time of the scheduler and of both methods."""
        started_at = time.perf_counter()
        actions = self.scheduler.handle(self.now, events)
        self.time_spent_s["scheduler"] += time.perf_counter() - started_at  # type: ignore[assignment]
        started_at = time.perf_counter()
        for action in actions:
            if isinstance(
                action, (api.StartAttempt, api.ShedRequest, api.FailRequest)
            ) and not self.observer.take_immediate(action.request_id):
                self.observer.record_dequeued(action.request_id, self.now)
        self.observer.observe(self.now)
        self.time_spent_s["observer"] += time.perf_counter() - started_at  # type: ignore[assignment]
        started_at = time.perf_counter()
        for pending in self.scheduler.requests.values():
            if not pending.finished and not pending.attempts_in_flight:
                checked_cause(self.scheduler, pending)
        self.time_spent_s["prototype"] += time.perf_counter() - started_at  # type: ignore[assignment]
        for action in actions:
            if isinstance(action, api.StartAttempt):
                pending = self.scheduler.requests[action.request_id]
                latency_ms = (
                    pending.request.units * 40 * self.slowdown[action.endpoint] * self.rng.uniform(0.8, 1.3)
                )
                self.in_flight.append(
                    (
                        self.now + latency_ms,
                        action.request_id,
                        len(pending.attempts) - 1,
                        action.endpoint,
                        latency_ms,
                    )
                )

    def step(self) -> None:
        """Advances the time by 5 ms, with the events of that time."""
        self.now += 5.0
        rng, events = self.rng, list[api.Event]()
        for entry in [entry for entry in self.in_flight if entry[0] <= self.now]:
            self.in_flight.remove(entry)
            _, name, attempt, endpoint, latency_ms = entry
            lost = rng.random() < 0.08
            pending = self.scheduler.requests.get(name)
            outcome = api.AttemptOutcome.CONNECTION_RESET if lost else api.AttemptOutcome.SERVED
            events.append(api.AttemptEnded(name, attempt, endpoint, outcome, latency_ms, not lost))
            if pending is not None and lost and not pending.finished:
                self.observer.record_queued(name, pending.request.shard, pending.request_class.name, self.now)
        while rng.random() < 0.6:
            self.number += 1
            request_class = rng.choice((CLASSES[0], CLASSES[0], CLASSES[1], CLASSES[1], CLASSES[2]))
            name = f"r{self.number}"
            plan = rng.choice((PLANS[0], PLANS[0], PLANS[0], PLANS[1])).name
            key = f"k{rng.randrange(6)}" if request_class.in_order else name
            units, shard = rng.choice((0.5, 1.0, 3.0)), rng.randrange(2)
            volume = f"{plan}-{rng.randrange(3)}"
            request = api.Request(
                name, request_class.name, plan, volume, key, units, shard, 1, request_class.deadline_ms
            )
            self.observer.record_queued(name, request.shard, request_class.name, self.now)
            events.append(request)
        if rng.random() < 0.004:
            endpoint = rng.choice("ab")
            self.slowdown[endpoint] = rng.choice((1.0, 1.0, 4.0))
        if rng.random() < 0.004:
            endpoint = rng.choice("ab")
            status = rng.choice(
                (api.EndpointStatus.REMOVED, api.EndpointStatus.READY, api.EndpointStatus.READY)
            )
            started_at_ms = self.now if status is api.EndpointStatus.READY else 0.0
            events.append(
                api.EndpointList(
                    api.EndpointListKind.CHANGES,
                    (api.Endpoint(endpoint, status, "ab".index(endpoint), started_at_ms=started_at_ms),),
                )
            )
        self.handle([*events, api.TimerFired(0)])

    def observed_cause(self, request_id: str) -> str:
        """Returns the cause that the queue observer reports for a queued request now."""
        waiting = self.observer._waiting.get(request_id)
        if waiting is None:
            return "turn"
        return waiting.cause if waiting.has_own_cause else waiting.integral.cause


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--steps", type=int, default=1200)
    options = parser.parse_args()
    confusion: dict[str, Counter[tuple[str, str]]] = {"observer": Counter(), "prototype": Counter()}
    correct, samples, ambiguous = Counter[str](), 0, 0
    time_spent_s: Counter[str] = Counter()
    for seed in range(options.seeds):
        simulation = Simulation(seed)
        for number in range(options.steps):
            simulation.step()
            queued = [
                request_id
                for request_id, pending in simulation.scheduler.requests.items()
                if not pending.finished and not pending.attempts_in_flight
            ]
            if number % 7 or not queued:
                continue
            request_id = simulation.rng.choice(queued)
            causes = true_causes(simulation.scheduler, request_id)
            if not causes:
                ambiguous += 1
                continue
            samples += 1
            reported = {
                "observer": simulation.observed_cause(request_id),
                "prototype": checked_cause(simulation.scheduler, simulation.scheduler.requests[request_id]),
            }
            for method, cause in reported.items():
                cause = ALIASES.get(cause, cause)
                correct[method] += cause in causes
                confusion[method][min(causes), cause] += 1
        time_spent_s += simulation.time_spent_s
    print(f"{samples} queued requests with a single cause; {ambiguous} more without one")
    for method in ("observer", "prototype"):
        cost = time_spent_s[method] / time_spent_s["scheduler"]
        print(f"{method}: correct in {correct[method] / samples:.3f}; {cost:.2f} of the scheduler's time")
        for (true_cause, cause), count in sorted(confusion[method].items(), key=lambda entry: -entry[1]):
            if true_cause != cause:
                print(f"    {true_cause} reported as {cause}: {count}")
    print(
        "true causes:",
        dict(
            Counter(
                true_cause for (true_cause, _), count in confusion["observer"].items() for _ in range(count)
            )
        ),
    )


if __name__ == "__main__":
    main()
