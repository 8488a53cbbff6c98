"""Simulates how much a volume of large objects is served beyond its reservation.

    python -m benchmarks.reserve

The scheduler is given at most ``largest_units`` (``max_request_units``) for each request. Two volumes of one
plan, and a third that takes the remaining capacity, send one endpoint twice the load that it can serve. One
of the two transfers objects of k times ``largest_units``, on whose whole size the endpoint works. The gateway
uses the second of :data:`ACCOUNTING_MODES`; in the third, ``largest_units`` is raised to the size of the
objects.
"""

from __future__ import annotations

import heapq
import random

from winchdyke import interface as api
from winchdyke.quotas.token_bucket import charge_reservation
from winchdyke.scheduling import Scheduler

ACCOUNTING_MODES = {
    "": "at most largest_units",
    "reserve": "the same, the reservation is charged in full",
    "true": "true sizes",
}
LARGEST_UNITS, SECONDS, CAPACITY_UNITS_PER_S, RESERVED_UNITS_PER_S = 8.0, 60.0, 100.0, 20.0
REQUEST_CLASS = api.RequestClass(
    "put", 2.0, 2000.0, 6000.0, 0.1, api.RepeatSafety.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0
)


def simulate(size_factor: float, mode: str, seed: int = 1) -> dict[str, float]:
    """Returns the units/s served to each volume: ``small``, ``large`` and ``rest``."""
    large_units = LARGEST_UNITS * size_factor
    max_units = large_units if mode == "true" else LARGEST_UNITS
    plans = (
        api.Plan("reserved", 1.0, 1.0, RESERVED_UNITS_PER_S, RESERVED_UNITS_PER_S),
        api.Plan("open", 1.0, 1.0, CAPACITY_UNITS_PER_S, 0.0),
    )
    settings = api.Settings(
        1,
        0,
        (REQUEST_CLASS,),
        plans,
        mean_request_units=4.0,
        max_request_units=max_units,
        fair_share_priority_factor=0.3,
        excess_priority_factor=0.05,
        max_attempts=1,
        max_retry_after_ms=500.0,
    )
    scheduler, rng = Scheduler(settings, seed, 0.0), random.Random(seed)
    served = dict.fromkeys(("small", "large", "rest"), 0.0)
    offered = {
        "small": (4.0, RESERVED_UNITS_PER_S),
        "large": (large_units, 3 * RESERVED_UNITS_PER_S),
        "rest": (4.0, 1.5 * CAPACITY_UNITS_PER_S),
    }
    queue: list[tuple[float, int, str, object]] = []
    count = 0

    def schedule(at_ms: float, kind: str, value: object) -> None:
        nonlocal count
        count += 1
        heapq.heappush(queue, (at_ms, count, kind, value))

    for name in offered:
        schedule(rng.expovariate(1.0), "arrival", name)
    endpoint_list = api.EndpointList(
        api.EndpointListKind.FULL, (api.Endpoint("n", api.EndpointStatus.READY, 0),)
    )
    schedule(0.0, "event", endpoint_list)
    idle_at_ms, transfers = 0.0, dict[str, tuple[str, float]]()
    while queue:
        now, number, kind, value = heapq.heappop(queue)
        if now > SECONDS * 1000:
            break
        if kind == "arrival":
            name = str(value)
            object_units, units_per_s = offered[name]
            schedule(now + rng.expovariate(units_per_s / object_units) * 1000, "arrival", name)
            request_id = f"{name}-{number}"
            transfers[request_id] = name, object_units
            plan = "open" if name == "rest" else "reserved"
            declared_units = min(object_units, max_units)
            value = api.Request(
                request_id, "put", plan, name, request_id, declared_units, 0, 1, REQUEST_CLASS.deadline_ms
            )
        elif kind == "completion":
            request_id, started_at_ms = value  # type: ignore[misc]
            name, object_units = transfers[request_id]
            served[name] += object_units / SECONDS
            value = api.AttemptEnded(request_id, 0, "n", api.AttemptOutcome.SERVED, now - started_at_ms, True)
        for action in scheduler.handle(now, [value]):  # type: ignore[list-item]
            if isinstance(action, api.StartAttempt):
                name, object_units = transfers[action.request_id]
                if mode == "reserve":
                    charge_reservation(
                        scheduler.quotas[name],
                        object_units - min(object_units, max_units),
                        min(object_units, max_units),
                    )
                idle_at_ms = (
                    max(idle_at_ms, now) + transfers[action.request_id][1] / CAPACITY_UNITS_PER_S * 1000
                )
                schedule(idle_at_ms, "completion", (action.request_id, now))
            elif isinstance(action, api.SetTimer):
                schedule(now + action.after_ms, "event", api.TimerFired(action.timer_id))
    return served


def main() -> None:
    """Prints the table of all modes and object sizes."""
    print("| object, in largest_units | given to the scheduler | large volume | small volume | rest |")
    print("| --- | --- | --- | --- | --- |")
    for size_factor in (1.0, 2.0, 4.0, 8.0):
        for mode, description in ACCOUNTING_MODES.items():
            runs = [simulate(size_factor, mode, seed) for seed in range(1, 6)]
            mean = {name: sum(run[name] for run in runs) / len(runs) for name in runs[0]}
            print(
                f"| {size_factor:g} | {description} | {mean['large']:.1f} | {mean['small']:.1f} | {mean['rest']:.1f} |"
            )


if __name__ == "__main__":
    main()
