"""New settings in a serving gateway at one instant, between two batches of the scheduler's.

Only what is decided for each request anew may change: plans, volumes, routes, pools; and peers and the fleet's seeds, where other
gateways are reached. What lives on lives on: windows, accounts,
cold credit, budgets, suspicions. The seam to the module is :func:`retell`: it sets what the scheduler goes by, and clips each
account to its new plan. A lowered limit binds from the instant; a raised one begins with what the account held, so that it
gives no burst. A request that is held goes on at the shard it was taken for, to its last attempt.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from winchdyke import interface as api
from winchdyke.config.meaning import Change, diff
from winchdyke.config.model import Config
from winchdyke.scheduling import Scheduler

LIVE = frozenset({"plan", "volume", "route", "pool", "template", "peer"})
LIVE_KEYS = {"fleet": frozenset({"seeds"})}  # single keys of blocks that need a start otherwise


def lives(kind: str, key: str) -> bool:
    """Whether a key of a kind of block may change in service."""
    return kind in LIVE or key in LIVE_KEYS.get(kind, ())


def fixed(changes: list[Change]) -> list[str]:
    """What can't change in service, in words: it needs a start."""
    return [
        f"{change.kind} {change.name} {change.key}".replace("  ", " ").strip()
        for change in changes
        if not lives(change.kind, change.key)
    ]


FRESH_MS = 100.0  # what an account would have filled up by in so long may be left out: never more than it should have


def freshen(scheduler: Scheduler, names: Iterable[str], now: float) -> None:
    """Fill accounts up by the plans they have, a few at a time before :func:`retell`, so that it finds little to do."""
    for name in names:
        if (volume := scheduler.quotas.get(name)) is not None:
            volume.refill(now)


def retell(scheduler: Scheduler, settings: api.Settings, plans: Mapping[str, api.Plan], now: float) -> int:
    """Let a scheduler go by new plans from now on, and give accounts their plans (``instant.moved`` finds them); how many."""
    scheduler.settings = scheduler.retry_budget.settings = settings
    scheduler.plans = {plan.name: plan for plan in settings.plans}
    changed, volumes, largest = 0, scheduler.quotas, settings.max_request_units
    for name, plan in plans.items():
        volume = volumes.get(name)
        if volume is None:
            continue
        if now - volume.refilled_at_ms > FRESH_MS:
            volume.refill(now)  # by the old plan up to this instant
        else:
            volume.refilled_at_ms = now
        if not volume.plan.limit_units_per_s:
            # Guards against a course cut off for as long as it was free: without a limit all that it sent was taken from an
            # account that nothing fills.
            volume.limit_units = 0.0
        volume.plan, volume.settings = plan, settings
        if volume.limit_units > (most := plan.limit_burst_units / volume.sharing_gateways):
            volume.limit_units = most
        if volume.reserved_units > (most := (plan.reserved_units_per_s + largest) * volume.gateway_fraction):
            volume.reserved_units = most
        changed += 1
    return changed


def merged(base: Config, mine: Config, theirs: Config) -> tuple[list[Change], list[tuple[Change, Change]]]:
    """Two edits of one version: mine as changes on theirs, and the values that both touch differently."""
    ours, others = diff(base, mine), diff(base, theirs)
    clashes = [
        (a, b)
        for a in ours
        for b in others
        if (a.kind, a.name) == (b.kind, b.name)
        and (a.key == b.key or not a.key or not b.key)
        and a.new != b.new
    ]
    return ours, clashes
