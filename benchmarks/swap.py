"""Measures what an apply costs a serving gateway, with 1 of 5,000 volumes changed and with all: event-loop pause and memory.

python benchmarks/swap.py [--volumes 5000] [--rounds 20]

All 5,000 volumes have quotas at the scheduler. The pause is the duration of the swap itself, during which nothing else can run.
Reading and checking the version runs in a thread outside the event loop.
"""

from __future__ import annotations

import argparse
import statistics
import time
import tracemalloc

import config as settings

from winchdyke import interface as api
from winchdyke.config import Config, defaults, parse
from winchdyke.config.semantic_diff import diff
from winchdyke.config_rollout.controller import REFILL_BATCH_VOLUMES
from winchdyke.config_rollout.cutover import EffectiveConfig, changed_plans
from winchdyke.config_rollout.edit import config_text
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.gateway.service import ConfigSnapshot


def swap_pause_ms(scheduler_loop: SchedulerLoop, old: Config, config: Config) -> float:
    """Do one swap as the daemon does, and return the milliseconds for which it blocks the event loop."""
    plans, settings = (
        changed_plans(
            scheduler_loop.volumes_with_quota(), EffectiveConfig(old, old), EffectiveConfig(config, config)
        ),
        config.settings(),
    )
    names = list(plans)
    for at in range(0, len(names), REFILL_BATCH_VOLUMES):  # other tasks run between the batches
        scheduler_loop.refill_quotas(names[at : at + REFILL_BATCH_VOLUMES])
    began = time.perf_counter()
    scheduler_loop.volumes_with_quota(len(scheduler_loop.volumes_with_quota()))
    ConfigSnapshot(config, 1)
    scheduler_loop.apply_settings(settings, plans)
    return (time.perf_counter() - began) * 1000


def main() -> None:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--volumes", type=int, default=5000)
    parser.add_argument("--rounds", type=int, default=20)
    arguments = parser.parse_args()
    settings.PLANS = ("basic",)
    base = parse(defaults() + "\n" + settings.many(arguments.volumes, 0))
    names = [rule.pattern for rule in base.volumes if rule.pattern.startswith("course")]
    text = config_text(base)
    at = text.index("volume course")
    one = parse(text[:at] + text[at:].replace("plan = basic", "plan = school", 1))
    every = parse(text[:at] + text[at:].replace("plan = basic", "plan = school"))
    print(f"{len(names)} volumes; {len(diff(base, one))} and {len(diff(base, every))} values changed")
    scheduler_loop = SchedulerLoop(base.settings(), 1)
    for number, name in enumerate(names):
        scheduler_loop.submit(
            api.Request(f"r{number}", "fetch", "basic", name, f"k{number}", 1.0, 0, 1, 3000.0)
        )
    scheduler_loop.process_events()
    print(f"{len(scheduler_loop._scheduler.quotas)} quotas")
    for description, config in (("one volume", one), ("all volumes", every)):
        pauses = []
        for _ in range(arguments.rounds):
            pauses.append(swap_pause_ms(scheduler_loop, base, config))
            swap_pause_ms(scheduler_loop, config, base)
        pauses.sort()
        print(f"{description}: pause {statistics.median(pauses):.2f} ms (at most {pauses[-1]:.2f})")
    began = time.perf_counter()
    tracemalloc.start()
    extra_version = parse(config_text(every))
    memory_mib, seconds = tracemalloc.get_traced_memory()[0] / 2**20, time.perf_counter() - began
    print(
        f"one more version: {memory_mib:.1f} MiB; read and checked outside the loop in {seconds:.1f} s (while memory is traced)"
    )
    assert extra_version


if __name__ == "__main__":
    main()
