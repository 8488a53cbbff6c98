"""Puts new settings into a running scheduler in one step, between two of its batches.

Only settings that are looked up for each request can change: plans, volumes, routes and pools; and peers and the seeds of the
fleet, which are the addresses of other gateways. Concurrency limits, quota balances, slow-start credit, retry budgets and
suspicions are kept. :func:`apply_settings` replaces the scheduler's settings and clips each quota to its new plan: a lowered
limit takes effect at once; a raised one starts with the units that the quota had, so that it allows no burst. A queued request
stays at the shard for which it was admitted, up to its last attempt.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from winchdyke import interface as api
from winchdyke.config.semantic_diff import Change
from winchdyke.scheduling import Scheduler
from winchdyke.scheduling.quota import VolumeQuota

RELOADABLE_BLOCKS = frozenset({"plan", "volume", "route", "pool", "template", "peer"})
RELOADABLE_KEYS = {"fleet": frozenset({"seeds"})}  # single keys of blocks whose other keys need a restart
# A quota refilled within this time before a swap is not refilled again, and gets slightly less.
RECENT_REFILL_MS = 100.0


def is_reloadable(kind: str, key: str) -> bool:
    """Return whether a key of a kind of block may change without a restart."""
    return kind in RELOADABLE_BLOCKS or key in RELOADABLE_KEYS.get(kind, ())


def requiring_restart(changes: list[Change]) -> list[str]:
    """Return the changed values that need a restart, as ``KIND NAME KEY``."""
    return [
        f"{change.kind} {change.name} {change.key}".replace("  ", " ").strip()
        for change in changes
        if not is_reloadable(change.kind, change.key)
    ]


def refill_quotas(scheduler: Scheduler, volume_names: Iterable[str], now_ms: float) -> None:
    """Refill some volumes' quotas under their current plans, so that a following :func:`apply_settings` takes less time."""
    for name in volume_names:
        if (quota := scheduler.quotas.get(name)) is not None:
            quota.refill(now_ms)


def apply_settings(
    scheduler: Scheduler, settings: api.Settings, plans: Mapping[str, api.Plan], now_ms: float
) -> int:
    """Replace a scheduler's settings and the plans of the named volumes; returns how many quotas got another plan.

    ``plans``: by volume name, as :func:`winchdyke.config_rollout.cutover.changed_plans` finds them.
    """
    scheduler.settings = settings
    scheduler.retry_budget.settings = settings
    scheduler.plans = {plan.name: plan for plan in settings.plans}
    quotas = scheduler.quotas
    changed_count = 0
    for name, plan in plans.items():
        quota = quotas.get(name)
        if quota is not None:
            _change_plan(quota, plan, settings, now_ms)
            changed_count += 1
    return changed_count


def _change_plan(quota: VolumeQuota, plan: api.Plan, settings: api.Settings, now_ms: float) -> None:
    """Refill the quota under the old plan up to now, then limit its two balances to those that the new plan allows."""
    if now_ms - quota.refilled_at_ms > RECENT_REFILL_MS:
        quota.refill(now_ms)
    else:
        # The units since that refill are left out, to save the time of another one.
        quota.refilled_at_ms = now_ms
    if not quota.plan.limit_units_per_s:
        # Without a limit the limit's balance is charged but never refilled: a volume that gets a limit must not start with a
        # negative balance.
        quota.limit_units = 0.0
    quota.plan = plan
    quota.settings = settings
    # Bounds as in VolumeQuota.refill: each gateway enforces an even share of the limit, so the burst is divided by the number of
    # gateways that share it. This gateway's share of the reservation follows the reported usage, as a fraction from 0 to 1.
    max_limit_units = plan.limit_burst_units / quota.sharing_gateways
    if quota.limit_units > max_limit_units:
        quota.limit_units = max_limit_units
    max_reserved_units = (plan.reserved_units_per_s + settings.max_request_units) * quota.gateway_fraction
    if quota.reserved_units > max_reserved_units:
        quota.reserved_units = max_reserved_units
