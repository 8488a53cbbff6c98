"""Whether a change that was applied does harm: what it touches, after against before, beside what it does not touch. Pure.

Requests that end are counted by group (touched by the change or not), by shard, and by time. For each shard, the share of the
touched that was refused or failed is held against what is to be expected without the change: their own share before, plus the
rise of the untouched at the same shard (a node's own death, a slow hour), or what a surge explains by itself (as much served
as before, of more that came). A change is bad where the excess is large, sure, and seen in enough requests.

What is guess: that a surge leaves the served a second as they were; that the untouched at a shard tell its trouble. Where
nobody untouched uses a shard, a node that died there is told by ``dead`` alone.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from fnmatch import fnmatchcase
from functools import cache

from winchdyke.config.model import Config

Asked = Callable[[str], bool]  # whether something is so of a volume
SLOWER, TROUBLE = (
    2.0,
    0.05,
)  # of what is untouched: latency times so much, or so much more of it bad, is the shard's trouble
MOVED = 1.5  # times as much as before sent to a shard is the change's own doing, or a surge's
LIKELY = 2.0  # standard errors from which on a shard's excess counts


@dataclass(frozen=True, slots=True)
class Criteria:
    """When a change is bad; times in milliseconds."""

    watch: float = 10_000.0  # for which a change is watched
    before: float = 30_000.0  # that is held against it
    samples: int = 10  # of the touched, before anything is said
    excess: float = 0.02  # of their requests refused or failed beyond what was expected
    sure: float = 4.0  # standard errors that the excess must be from none


@dataclass
class Counts:
    """Requests that ended, those of them refused or failed, by shard."""

    ended: Counter[int] = field(default_factory=Counter)
    bad: Counter[int] = field(default_factory=Counter)
    taken: Counter[int] = field(default_factory=Counter)  # milliseconds that the good ones took


@dataclass(frozen=True, slots=True)
class Verdict:
    """What is found so far: ``bad`` undoes; ``why`` is for people."""

    bad: bool
    why: str
    excess: float = 0.0
    sure: float = 0.0
    samples: int = 0


class CanaryObserver:
    """Counts what ends, by second, so that a change can be held against the time before it."""

    def __init__(self, criteria: Criteria = Criteria()) -> None:
        self.criteria = criteria
        self._seconds: defaultdict[int, Counter[tuple[str, int, str]]] = defaultdict(Counter)
        self._taken: defaultdict[int, Counter[tuple[str, int, str]]] = defaultdict(Counter)

    def ended(self, now: float, volume: str, shard: int, outcome: str, took: float = 0.0) -> None:
        """A request of a volume ended: served, refused or failed, after so many ms; a listing has shard -1."""
        second = int(now // 1000)
        if second not in self._seconds:
            oldest = second - int((self.criteria.before + self.criteria.watch) // 1000) - 2
            for old in [at for at in self._seconds if at < oldest]:
                del self._seconds[old]
                self._taken.pop(old, None)
        self._seconds[second][volume, shard, outcome] += 1
        self._taken[second][volume, shard, outcome] += took  # type: ignore[assignment]

    def verdict(
        self, applied: float, now: float, touched: Callable[[str], bool], dead: Iterable[int] = (),
        lowered: Callable[[str], bool] = lambda _: False,
    ) -> Verdict:  # fmt: skip
        """What is to be said of a change that was applied at a time, now."""
        groups: dict[tuple[bool, bool], Counts] = {
            (t, a): Counts() for t in (True, False) for a in (True, False)
        }
        at = int(applied // 1000)
        since = at - int(self.criteria.before // 1000)
        for second, counts in self._seconds.items():
            if since <= second and second != at:  # the second in which it came belongs to neither side
                for (volume, shard, outcome), count in counts.items():
                    # Where a limit was lowered refusals are what was asked for.
                    good = outcome == "served" or (outcome == "refused" and lowered(volume))
                    group = groups[touched(volume), second > at]
                    group.ended[shard] += count
                    group.bad[shard] += 0 if good else count
                    if outcome == "served":
                        group.taken[shard] += self._taken[second][volume, shard, outcome]
        kept = [second for second in self._seconds if since <= second < at]
        spans = max(1.0, len(kept)), max(1.0, now / 1000 - at - 1)
        return judged(groups, spans, self.criteria, frozenset(dead))


def judged(
    groups: dict[tuple[bool, bool], Counts],
    spans: tuple[float, float],
    criteria: Criteria,
    dead: frozenset[int],
) -> Verdict:
    """Before and after, touched and not (keys: touched, after), over so many seconds each."""
    mine0, mine1 = groups[True, False], groups[True, True]
    other0, other1 = groups[False, False], groups[False, True]
    seen = wrong = expected = over = variance = 0.0
    usual = sum(mine0.bad.values()) / max(1, sum(mine0.ended.values()))  # of the touched, wherever they went
    growth = (sum(mine1.ended.values()) / spans[1]) / max(1e-9, sum(mine0.ended.values()) / spans[0])
    for shard, count in mine1.ended.items():
        if shard in dead:
            continue
        if other0.ended[shard] - other0.bad[shard] >= 5 and other1.ended[shard] - other1.bad[shard] < 5:
            continue  # those who would tell a trouble of the shard's own have not been heard yet
        before = _share(mine0, shard)
        rise = _share(other1, shard) - _share(other0, shard) if other1.ended[shard] >= 5 else 0.0
        surge = (count / spans[1]) / max(1e-9, mine0.ended[shard] / spans[0]) if mine0.ended[shard] else 1.0
        shift = surge / growth if growth > 0 else 1.0
        if shift > MOVED and mine0.ended[shard]:
            # Guards against harm that hides behind a shard's own bad name: what was moved there fared as all of it did before.
            stayed = 1 / shift
            before, surge = stayed * before + (1 - stayed) * usual, growth
        slower = _mean(other1, shard) > SLOWER * _mean(other0, shard) > 0
        if (slower or rise > TROUBLE) and mine0.ended[shard] and surge < MOVED:
            continue  # a trouble of the shard's own: what was sent there before still is, and others suffer too
        by_surge = 1 - (1 - before) / surge if surge > 1 else 0.0
        base = min(1.0, max(before + max(0.0, rise), by_surge))
        seen += count
        wrong += mine1.bad[shard]
        expected += base * count
        spread = min(0.25, max(base * (1 - base), 0.01))
        mine = spread * count + spread * count * count / max(1, mine0.ended[shard])
        more = mine1.bad[shard] - base * count
        if more > LIKELY * math.sqrt(mine):  # a shard that fares better than expected makes up for no other
            over += more
            variance += mine
    samples = int(seen)
    if samples < criteria.samples:
        return Verdict(False, f"{samples} requests so far; {criteria.samples} are needed", samples=samples)
    excess = over / seen
    sure = over / math.sqrt(variance) if variance else 0.0
    said = f"{wrong / seen:.0%} of {samples} requests refused or failed, {expected / seen:.0%} expected"
    return Verdict(excess > criteria.excess and sure > criteria.sure, said, excess, sure, samples)


def _mean(counts: Counts, shard: int) -> float:
    served = counts.ended[shard] - counts.bad[shard]
    return counts.taken[shard] / served if served >= 5 else 0.0


def _share(counts: Counts, shard: int) -> float:
    return (counts.bad[shard] + 0.5) / (counts.ended[shard] + 1.0) if counts.ended[shard] else 0.0


def touched(old: Config, new: Config) -> Asked:
    """Which volumes a change touches: their rule, their plan's figures, or a route that may take their requests."""
    plans = {plan.name: plan for plan in old.plans}, {plan.name: plan for plan in new.plans}
    routes = set(old.routes) ^ set(new.routes)
    patterns = {route.pattern.volume for route in routes}

    @cache
    def found(volume: str) -> bool:
        a, b = old.volume(volume), new.volume(volume)
        if a is None or b is None:
            return a is not b
        same = (a.plan, a.shards, a.gateways) == (b.plan, b.shards, b.gateways)
        return (
            not same
            or plans[0].get(a.plan) != plans[1].get(b.plan)
            or any(fnmatchcase(volume, p) for p in patterns)
        )

    return found


def lowered(old: Config, new: Config) -> Asked:
    """Which volumes have a lower limit than before, or one where they had none."""
    plans = {plan.name: plan for plan in old.plans}, {plan.name: plan for plan in new.plans}

    @cache
    def found(volume: str) -> bool:
        a, b = old.volume(volume), new.volume(volume)
        before = plans[0].get(a.plan) if a is not None else None
        after = plans[1].get(b.plan) if b is not None else None
        if before is None or after is None or not after.limit_units_per_s:
            return False
        return (
            not before.limit_units_per_s
            or after.limit_units_per_s < before.limit_units_per_s
            or after.limit_burst_units < before.limit_burst_units
        )

    return found
