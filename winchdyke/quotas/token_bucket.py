"""A volume's rate limit for the bytes that the scheduler does not account for. Pure: no clock, no I/O.

The scheduler accounts for at most ``max_request_units`` of a request, and for a typical size if the size is not known: a larger
request would never fit into a volume's token bucket. So a body of 16 MiB counts there as a few units; the remaining units, its
*excess*, are charged here.

A volume has one token bucket at a gateway, the scheduler's own. The volume's limit fills it, and its small requests are paid from
it. An excess creates a *debt*. While there is a debt no other request with an excess may begin, and the bucket pays the debt off:

- always at the fraction ``DEBT_RATE_FRACTION`` of the rate that fills the bucket, so that a debt ends within a time that is known
  beforehand (``Retry-After``);
- with all units in the bucket beyond ``small_request_units``, which are those that small requests do not use.

Meanwhile the volume's small requests have the rest of the rate, and up to ``small_request_units`` in the bucket. The scheduler
decides about them as always; it only finds fewer units in the bucket.

Bound: per gateway let *r* be its share of the limit and *b* its share of the burst. The units transferred are those that the
scheduler took from the bucket, those that the bucket paid off, and the current debt. The bucket fills at *r* and holds at most *b*,
and a debt begins only if there is none, and is due to one object. So over any time *t* a gateway transfers at most ``r t + b`` and
one object, and *n* gateways ``limit t + burst`` and one object each. Further properties are in ``docs/limits.md``.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Protocol

DEBT_RATE_FRACTION = 0.5  # fraction of the fill rate that pays off a debt; small requests have the rest
NEGLIGIBLE_DEBT_UNITS = 1e-9


class QuotaExceededError(Exception):
    """A volume's limit leaves no capacity before the request's deadline. ``wait_ms``: the longest wait until it does."""

    def __init__(self, wait_ms: float) -> None:
        super().__init__(f"the volume's limit is used up; retry after {wait_ms:.0f} ms")
        self.wait_ms = wait_ms


class PlanLimits(Protocol):
    """The limits of a plan."""

    @property
    def limit_units_per_s(self) -> float:
        """The rate over all gateways; 0: no limit."""
        ...

    @property
    def limit_burst_units(self) -> float:
        """The size of the token bucket over all gateways."""
        ...


class QuotaBalance(Protocol):
    """The scheduler's token bucket of a volume at this gateway (:class:`winchdyke.scheduling.quota.VolumeQuota`)."""

    limit_units: float  # the units in the bucket
    sharing_gateways: int

    @property
    def plan(self) -> PlanLimits:
        """The volume's plan."""
        ...

    def refill(self, now: float) -> None:
        """Fill the bucket up to a time in milliseconds."""


class ReservationBalance(Protocol):
    """The scheduler's balance of a volume's reservation."""

    reserved_units: float


def units_for_bytes(length: int, unit_bytes: int) -> float:
    """Return the units of a body of ``length`` bytes, rounded up; at least one."""
    return float(max(1, math.ceil(length / unit_bytes)))


def charge_reservation(balance: ReservationBalance, excess_units: float, scheduled_units: float) -> None:
    """Charge a volume's reservation, when a request is sent, with the units that the scheduler did not account for.

    Without this charge, large objects of a volume within its reservation would be accounted for as small ones, and the volume would
    get several times its reservation at the expense of others. The balance owes at most the units of one request.
    """
    balance.reserved_units = max(balance.reserved_units - excess_units, -(scheduled_units + excess_units))


@dataclass(slots=True)
class TransferDebt:
    """The debt of one volume at one gateway.

    Attributes:
        settled_at_ms: The time up to which payments have been made.
        units: The units owed.
        queued_units: The total excess of the requests that wait for the debt to be settled.
    """

    settled_at_ms: float
    units: float = 0.0
    queued_units: float = 0.0

    @property
    def is_settled(self) -> bool:
        """Whether there is no debt."""
        return self.units <= NEGLIGIBLE_DEBT_UNITS

    def settle(
        self, now_ms: float, balance: QuotaBalance | None, rate_units_per_s: float, small_request_units: float
    ) -> None:
        """Pay off the debt up to a time; ``rate_units_per_s``: the rate that fills the bucket.

        If there is no bucket yet, only the fixed fraction of the rate is paid. A clock that goes back counts as stopped. Without a
        limit (rate 0) the debt is cancelled.
        """
        elapsed_seconds = max(0.0, now_ms - self.settled_at_ms) / 1000
        self.settled_at_ms = max(now_ms, self.settled_at_ms)
        if rate_units_per_s <= 0:
            self.units = 0.0
        if self.is_settled:
            return
        payment = min(self.units, DEBT_RATE_FRACTION * rate_units_per_s * elapsed_seconds)
        if balance is not None:
            # The payment may take the bucket below zero, by at most the units that it gained in the same time: that part of the
            # debt then stands as a negative balance.
            balance.refill(now_ms)
            payment += min(
                self.units - payment, max(0.0, balance.limit_units - payment - small_request_units)
            )
            balance.limit_units -= payment
        self.units -= payment

    def add(self, units: float) -> None:
        """Add the excess of a body to the debt."""
        self.units += units

    def refund(self, units: float, balance: QuotaBalance | None) -> None:
        """Refund units that were charged but not transferred; those beyond the debt go to the bucket, up to its size."""
        self.units -= units
        if self.units >= 0:
            return
        if balance is not None:
            max_units = balance.plan.limit_burst_units / balance.sharing_gateways
            balance.limit_units = max(balance.limit_units, min(max_units, balance.limit_units - self.units))
        self.units = 0.0

    def earliest_settled_ms(self, rate_units_per_s: float) -> float:
        """Return the milliseconds until the debt is settled if the whole rate pays it."""
        return 0.0 if self.is_settled else self.units / rate_units_per_s * 1000

    def latest_settled_ms(self, rate_units_per_s: float) -> float:
        """Return the milliseconds until the debt and all queued excess are settled, however much small requests use."""
        return (self.units + self.queued_units) / (DEBT_RATE_FRACTION * rate_units_per_s) * 1000
