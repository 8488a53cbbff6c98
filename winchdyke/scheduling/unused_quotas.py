"""Forgets the quotas of volumes that were not used of late, since clients may name any number of volumes."""

from __future__ import annotations

from winchdyke.scheduling.quota import VolumeQuota
from winchdyke.scheduling.state import SchedulerState

MAX_QUOTAS = 2048
QUOTAS_EXAMINED_PER_REQUEST = 4


def forget_unused_quotas(state: SchedulerState) -> None:
    """Deletes quotas beyond ``MAX_QUOTAS`` that a new one would equal; to be called for each request.

    A quota that was charged is kept until it has recovered, so a volume can't get rid of its limit by requests for many
    others. How many quotas that may be depends on what endpoints serve, and not on what clients name.
    """
    if len(state.quotas) <= MAX_QUOTAS:
        return
    if not state.quotas_to_examine:
        state.quotas_to_examine = list(reversed(state.quotas))
    for _ in range(min(QUOTAS_EXAMINED_PER_REQUEST, len(state.quotas_to_examine))):
        volume = state.quotas_to_examine.pop()
        quota = state.quotas.get(volume)
        if quota is not None and quota.is_like_new(state.started_at_ms, state.now):
            _forget(state, volume, quota)


def _forget(state: SchedulerState, volume: str, quota: VolumeQuota) -> None:
    del state.quotas[volume]
    state.quotas_forgotten += 1
    for number in quota.shards:
        shard = state.shards.get(number)
        if shard is not None:
            shard.quotas.pop(volume, None)
