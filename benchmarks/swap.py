"""What an apply costs a serving gateway: the pause of its loop, with 1 of 5,000 volumes changed and with all; memory.

python benchmarks/swap.py [--volumes 5000] [--rounds 20]

All 5,000 volumes have accounts at the scheduler. The pause is the time for which nothing else can run: the swap itself.
Reading and checking the version runs in a thread beside the loop.
"""

from __future__ import annotations

import argparse
import statistics
import time
import tracemalloc

import config as settings

from winchdyke import interface as api
from winchdyke.config import Config, defaults, parse
from winchdyke.config.meaning import diff
from winchdyke.config_rollout.controller import SLICE
from winchdyke.config_rollout.cutover import Going, moved
from winchdyke.config_rollout.edit import text_of
from winchdyke.gateway.config_snapshot import ConfigSnapshot
from winchdyke.gateway.scheduler_loop import SchedulerLoop


def swapped(engine: SchedulerLoop, old: Config, config: Config) -> float:
    """Milliseconds for which the loop stands in one swap, as the daemon does it; the rest is made beside it."""
    plans, settings = (
        moved(engine.volumes_with_quota(), Going(old, old), Going(config, config)),
        config.settings(),
    )
    names = list(plans)
    for at in range(0, len(names), SLICE):  # between these others run
        engine.refill_quotas(names[at : at + SLICE])
    began = time.perf_counter()
    engine.volumes_with_quota(len(engine.volumes_with_quota()))
    ConfigSnapshot(config, 1)
    engine.apply_settings(settings, plans)
    return (time.perf_counter() - began) * 1000


def main() -> None:
    words = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    words.add_argument("--volumes", type=int, default=5000)
    words.add_argument("--rounds", type=int, default=20)
    chosen = words.parse_args()
    settings.PLANS = ("basic",)
    base = parse(defaults() + "\n" + settings.many(chosen.volumes, 0))
    names = [rule.pattern for rule in base.volumes if rule.pattern.startswith("course")]
    text = text_of(base)
    at = text.index("volume course")
    one = parse(text[:at] + text[at:].replace("plan = basic", "plan = school", 1))
    every = parse(text[:at] + text[at:].replace("plan = basic", "plan = school"))
    print(f"{len(names)} volumes; {len(diff(base, one))} and {len(diff(base, every))} values changed")
    engine = SchedulerLoop(base.settings(), 1)
    for number, name in enumerate(names):
        engine.submit(api.Request(f"r{number}", "fetch", "basic", name, f"k{number}", 1.0, 0, 1, 3000.0))
    engine.process_events()
    print(f"{len(engine._scheduler.quotas)} accounts")
    for what, config in (("one volume", one), ("all volumes", every)):
        pauses = []
        for _ in range(chosen.rounds):
            pauses.append(swapped(engine, base, config))
            swapped(engine, config, base)
        pauses.sort()
        print(f"{what}: pause {statistics.median(pauses):.2f} ms (at most {pauses[-1]:.2f})")
    began = time.perf_counter()
    tracemalloc.start()
    kept = parse(text_of(every))
    held, took = tracemalloc.get_traced_memory()[0] / 2**20, time.perf_counter() - began
    print(
        f"a version more: {held:.1f} MiB; read and checked beside the loop in {took:.1f} s (while memory is traced)"
    )
    assert kept


if __name__ == "__main__":
    main()
