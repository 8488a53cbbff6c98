"""The limit of a course for what the scheduler is not told of. Pure: no clock, no I/O.

The scheduler is told at most ``largest_units`` for a request, and a usual size where none is known: more would never fit a
course's store of units. So a body of 16 MiB counts there as a few units, and what it is beyond them, its *excess*, is paid here.

There is one purse for a course at a gateway, and it is the scheduler's own: the units that its limit has filled up and its small
requests pay from. An excess makes a *debt*. While a debt stands nothing else with an excess may begin, and the purse pays it off:

- a part ``SHARE`` of what fills the purse, always: so a debt ends in a time that can be told beforehand (``Retry-After``);
- all that the purse holds beyond ``keep``: what small requests leave.

The small requests of the course go on meanwhile with the other part of the rate, and with ``keep`` units that the purse may store up.
The scheduler decides about them as ever; it only finds less in the purse.

In sum. Per gateway let *r* be its part of the limit and *b* its part of the burst. What is moved is what the scheduler took from
the purse, what was paid off from it, and the debt that stands. The purse is filled at *r* and holds *b* at the most, a debt begins
only where none stands and is one object's: so over any time *t* a gateway moves at most ``r t + b`` and one object, and all *n* of
them ``limit t + burst`` and one object each. What holds in other respects is in ``docs/limits.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

SHARE = 0.5  # of what fills the purse that always pays the debt; the rest is for what is small
LEAST = 1e-9  # below it a debt is paid


class OverLimit(Exception):
    """The course's limit leaves no room within the request's time. ``wait_ms``: after it there surely is some."""

    def __init__(self, wait_ms: float) -> None:
        super().__init__(f"the limit of this course is used up; there is room again in {wait_ms:.0f} ms")
        self.wait_ms = wait_ms


class PlanLimits(Protocol):
    """A plan, as far as it matters here: units a second, and units."""

    @property
    def limit_units_per_s(self) -> float: ...
    @property
    def limit_burst_units(self) -> float: ...


class QuotaBalance(Protocol):
    """The scheduler's account of a course at this gateway (:class:`winchdyke.scheduling.quota.VolumeQuota`)."""

    limit_units: float  # the units in it
    sharing_gateways: int

    @property
    def plan(self) -> PlanLimits: ...
    def refill(self, now: float) -> None:
        """Fill it up to now (ms)."""


def units_of(length: int, unit_bytes: int) -> float:
    """What so many bytes count, in full: at least one unit."""
    return float(max(1, math.ceil(length / unit_bytes)))


class ReservationBalance(Protocol):
    """The scheduler's account of a course, as far as its reserve goes."""

    reserved_units: float


def weigh(account: ReservationBalance, excess: float, told: float) -> None:
    """Let a course's reserve pay for what a request counts beyond what the scheduler was told, as it is sent.

    Guards against a course whose large objects are all in its reserve, being told as small ones: it then has several times
    what was promised to it, at the cost of others, whatever made the node short. As with what is told, at most one request stays owed.
    """
    account.reserved_units = max(account.reserved_units - excess, -(told + excess))


@dataclass(slots=True)
class Account:
    """One course's debt at one gateway, in units. ``at`` (ms): up to when it has been paid off."""

    at: float
    debt: float = 0.0
    queued: float = 0.0  # excess of those that wait for the debt to end

    @property
    def clear(self) -> bool:
        """Whether nothing is owed."""
        return self.debt <= LEAST

    def settle(self, now: float, purse: QuotaBalance | None, rate: float, keep: float) -> None:
        """Pay off up to ``now`` (ms), at ``rate`` units a second of the whole; without a purse yet, its part of the rate alone.

        A clock that goes back is a clock that stands. A limit that is no more (``rate`` 0) leaves nothing to pay.
        """
        span, self.at = max(0.0, now - self.at) / 1000, max(now, self.at)
        if rate <= 0:
            self.debt = 0.0
        if self.clear:
            return
        due = min(self.debt, SHARE * rate * span)
        if purse is not None:
            # The purse may be taken below nothing by what came in just now: then that much of the debt stands there.
            purse.refill(now)
            due += min(self.debt - due, max(0.0, purse.limit_units - due - keep))
            purse.limit_units -= due
        self.debt -= due

    def owe(self, units: float) -> None:
        """A body's excess: what it counts beyond what the scheduler is told."""
        self.debt += units

    def give_back(self, units: float, purse: QuotaBalance | None) -> None:
        """What was paid for and never moved."""
        self.debt -= units
        if self.debt < 0:
            if purse is not None:
                most = purse.plan.limit_burst_units / purse.sharing_gateways
                purse.limit_units = max(purse.limit_units, min(most, purse.limit_units - self.debt))
            self.debt = 0.0

    def soonest_ms(self, rate: float) -> float:
        """After which the debt may be paid at the earliest, if all of the rate goes to it."""
        return 0.0 if self.clear else self.debt / rate * 1000

    def surely_ms(self, rate: float) -> float:
        """After which what is owed, and what waits already, is paid for, whatever the small requests take."""
        return (self.debt + self.queued) / (SHARE * rate) * 1000
