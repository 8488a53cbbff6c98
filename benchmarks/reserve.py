"""What a course of large objects gets beyond its reserve, since the scheduler is told at most ``largest_units``. Simulated.

    python -m benchmarks.reserve

Two courses of one plan, and a third that fills the node, ask the real module for twice what one node can serve. One of the two moves
objects of k times ``largest_units``; the node works on their whole size. The gateway does the second of :data:`WAYS`; the third is a
scheduler with a ``largest_units`` that holds them.
"""

from __future__ import annotations

import heapq
import random

from winchdyke import interface as api
from winchdyke.quotas.token_bucket import charge_reservation
from winchdyke.scheduling import Scheduler

WAYS = {
    "": "at most largest_units",
    "reserve": "the same, the reserve pays in full",
    "true": "true sizes",
}
LARGEST, SECONDS, POWER, RESERVED_UNITS_PER_S = 8.0, 60.0, 100.0, 20.0
KIND = api.RequestClass(
    "put", 2.0, 2000.0, 6000.0, 0.1, api.RepeatSafety.IDEMPOTENT, api.DeduplicationScope.ALL, 0.0
)


def simulate(times: float, way: str, seed: int = 1) -> dict[str, float]:
    """Units a second that each course was served: ``small``, ``large`` and ``rest``."""
    size = LARGEST * times
    largest = size if way == "true" else LARGEST
    plans = (
        api.Plan("held", 1.0, 1.0, RESERVED_UNITS_PER_S, RESERVED_UNITS_PER_S),
        api.Plan("open", 1.0, 1.0, POWER, 0.0),
    )
    cfg = api.Settings(
        1,
        0,
        (KIND,),
        plans,
        mean_request_units=4.0,
        max_request_units=largest,
        fair_share_priority_factor=0.3,
        excess_priority_factor=0.05,
        max_attempts=1,
        max_retry_after_ms=500.0,
    )
    scheduler, draw = Scheduler(cfg, seed, 0.0), random.Random(seed)
    served = dict.fromkeys(("small", "large", "rest"), 0.0)
    offered = {
        "small": (4.0, RESERVED_UNITS_PER_S),
        "large": (size, 3 * RESERVED_UNITS_PER_S),
        "rest": (4.0, 1.5 * POWER),
    }
    heap: list[tuple[float, int, str, object]] = []
    count = 0

    def later(at: float, what: str, value: object) -> None:
        nonlocal count
        count += 1
        heapq.heappush(heap, (at, count, what, value))

    for name in offered:
        later(draw.expovariate(1.0), "come", name)
    node = api.EndpointList(api.EndpointListKind.FULL, (api.Endpoint("n", api.EndpointStatus.READY, 0),))
    later(0.0, "event", node)
    free, units = 0.0, dict[str, tuple[str, float]]()
    while heap:
        now, number, what, value = heapq.heappop(heap)
        if now > SECONDS * 1000:
            break
        if what == "come":
            name = str(value)
            each, rate = offered[name]
            later(now + draw.expovariate(rate / each) * 1000, "come", name)
            request = f"{name}-{number}"
            units[request] = name, each
            plan = "open" if name == "rest" else "held"
            told = min(each, largest)
            value = api.Request(request, "put", plan, name, request, told, 0, 1, KIND.deadline_ms)
        elif what == "done":
            request, began = value  # type: ignore[misc]
            name, each = units[request]
            served[name] += each / SECONDS
            value = api.AttemptEnded(request, 0, "n", api.AttemptOutcome.SERVED, now - began, True)
        for action in scheduler.handle(now, [value]):  # type: ignore[list-item]
            if isinstance(action, api.StartAttempt):
                name, each = units[action.request_id]
                if way == "reserve":
                    charge_reservation(scheduler.quotas[name], each - min(each, largest), min(each, largest))
                free = max(free, now) + units[action.request_id][1] / POWER * 1000
                later(free, "done", (action.request_id, now))
            elif isinstance(action, api.SetTimer):
                later(now + action.after_ms, "event", api.TimerFired(action.timer_id))
    return served


def main() -> None:
    """Print the table."""
    print("| object, in largest_units | told | large course | small course | rest |")
    print("| --- | --- | --- | --- | --- |")
    for times in (1.0, 2.0, 4.0, 8.0):
        for way, word in WAYS.items():
            runs = [simulate(times, way, seed) for seed in range(1, 6)]
            mean = {name: sum(run[name] for run in runs) / len(runs) for name in runs[0]}
            print(f"| {times:g} | {word} | {mean['large']:.1f} | {mean['small']:.1f} | {mean['rest']:.1f} |")


if __name__ == "__main__":
    main()
