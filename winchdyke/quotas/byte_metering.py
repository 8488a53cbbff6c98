"""Metering of bodies: waits before a body begins, charges it as it passes, and settles afterwards.

The rules are in :mod:`winchdyke.quotas.token_bucket`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from winchdyke.http1 import AnswerHead, Bytes
from winchdyke.object_api.sinks import Sink
from winchdyke.quotas.token_bucket import Account, OverLimit, QuotaBalance, units_of

LEAST_WAIT_MS = 2.0  # between two looks at a debt
STEP = 16.0  # units of a body of unknown length that are paid for at once


@dataclass(slots=True)
class _Course:
    account: Account
    turn: anyio.Lock = field(default_factory=anyio.Lock)  # in turn of arrival
    bills: int = 0  # requests that have a bill open


@dataclass(frozen=True, slots=True)
class Terms:
    """A course's part of its limit at this gateway: units a second, and the units that its small requests always find."""

    rate: float
    keep: float


class Sizes:
    """How large objects were when last heard of: what a whole read of one is likely to cost. Bounded, the oldest go first."""

    def __init__(self, most: int = 10_000) -> None:
        self._most = most
        self._known: OrderedDict[tuple[str, str], int] = OrderedDict()

    def heard(self, volume: str, key: str, size: int) -> None:
        """An object's size, in bytes."""
        self._known[volume, key] = size
        self._known.move_to_end((volume, key))
        if len(self._known) > self._most:
            self._known.popitem(last=False)

    def of(self, volume: str, key: str) -> int | None:
        """The size that was heard last; None where none was. A guess: others may have written since."""
        return self._known.get((volume, key))


class ByteMeter:
    """The accounts of one gateway. ``purse`` finds the scheduler's account of a volume, ``clock`` is in milliseconds."""

    def __init__(
        self,
        clock: Callable[[], float],
        purse: Callable[[str], QuotaBalance | None],
        largest: Callable[[], float],
    ) -> None:
        self._clock, self._purse, self._largest = clock, purse, largest
        self._courses: dict[str, _Course] = {}
        self._fallback: dict[str, Terms] = {}  # of courses the scheduler has not heard of yet
        self.sizes = Sizes()

    def __len__(self) -> int:
        return len(self._courses)

    @property
    def largest(self) -> float:
        """Units of the largest request that the scheduler is told in full."""
        return self._largest()

    def debt(self, volume: str) -> float:
        """What a volume owes here, in units."""
        course = self._courses.get(volume)
        return course.account.debt if course is not None else 0.0

    def terms(self, volume: str, rate: float, gateways: int) -> Terms:
        """The scheduler's word where it has one: it knows the lower limit around an instant, and the most gateways so far."""
        purse = self._purse(volume)
        if purse is not None:
            rate, gateways = purse.plan.limit_units_per_s, max(purse.sharing_gateways, gateways)
        return Terms(rate / gateways, self._largest())

    def settle(self) -> None:
        """Pay off all debts up to now, and forget courses that owe nothing. Called a few times a second."""
        for volume, course in list(self._courses.items()):
            self._settle(volume, course)
            if course.account.clear and not course.bills:
                del self._courses[volume], self._fallback[volume]

    def _settle(self, volume: str, course: _Course) -> Terms:
        fallback = self._fallback[volume]
        purse = self._purse(volume)
        terms = fallback if purse is None else self.terms(volume, fallback.rate, 1)
        course.account.settle(self._clock(), purse, terms.rate, terms.keep)
        return terms

    def bill(
        self, volume: str, rate: float, gateways: int, unit_bytes: int, told: float, until: float
    ) -> TransferCharge:
        """Open a request's bill: ``told`` units are the scheduler's, ``until`` (ms) it may wait."""
        course = self._courses.get(volume)
        if course is None:
            course = self._courses[volume] = _Course(Account(self._clock()))
        self._fallback[volume] = Terms(rate / gateways, self._largest())
        course.bills += 1
        return TransferCharge(self, volume, course, unit_bytes, told, until)

    def take(self, volume: str, units: float) -> None:
        """What is small comes out of the purse at once, whatever is in it: the scheduler waits until it is full enough again."""
        purse = self._purse(volume)
        if purse is not None:
            purse.refill(self._clock())
            purse.limit_units -= units

    async def pay(self, volume: str, course: _Course, units: float, until: float) -> None:
        """Wait in turn until nothing is owed, then owe ``units``. OverLimit where that is not within ``until``."""
        account, clock = course.account, self._clock
        terms = self._settle(volume, course)
        if account.clear and not account.queued:
            account.owe(units)
            return
        if terms.rate > 0 and clock() + account.soonest_ms(terms.rate) > until:
            raise OverLimit(account.surely_ms(terms.rate))
        account.queued += units
        try:
            with anyio.move_on_after(max(0.0, until - clock()) / 1000):
                async with course.turn:
                    while not account.clear:
                        terms = self._settle(volume, course)
                        if account.clear:
                            break
                        wait = max(LEAST_WAIT_MS, account.soonest_ms(terms.rate))
                        if clock() + wait > until:
                            break
                        await anyio.sleep(wait / 1000)
                    if account.clear:
                        account.owe(units)
                        return
        finally:
            account.queued = max(0.0, account.queued - units)
        terms = self._settle(volume, course)
        raise OverLimit(account.surely_ms(terms.rate) if terms.rate > 0 else 0.0)

    def close(self, volume: str, course: _Course, unpaid: float) -> None:
        """A bill is closed; what it paid for in vain is given back."""
        course.bills -= 1
        if unpaid > 0:
            self._settle(volume, course)
            course.account.give_back(unpaid, self._purse(volume))


class TransferCharge:
    """What one request of a limited course has to pay, and has paid, beyond what the scheduler is told."""

    def __init__(
        self, tolls: ByteMeter, volume: str, course: _Course, unit_bytes: int, told: float, until: float
    ) -> None:
        self._tolls, self._volume, self._course = tolls, volume, course
        self._unit_bytes, self._told, self._until = unit_bytes, told, until
        self.paid, self.moved = 0.0, 0  # units beyond what was told; bytes
        self._open = True

    async def before(self, length: int) -> None:
        """A body whose length is known, before anything is done for it."""
        units = units_of(length, self._unit_bytes)
        excess = units - self._told - self.paid
        if excess > 0 and units <= self._tolls.largest:
            self._tolls.take(self._volume, excess)
            self.paid += excess
        elif excess > 0:
            await self._pay(excess)

    async def _pay(self, units: float) -> None:
        await self._tolls.pay(self._volume, self._course, units, self._until)
        self.paid += units

    async def took(self, more: int) -> None:
        """So many bytes have come. What was not paid for before is paid in steps, each once nothing is owed: the body waits for it."""
        self.moved += more
        if self.moved > (self._told + self.paid) * self._unit_bytes:
            lacks = units_of(self.moved, self._unit_bytes) - self._told - self.paid
            await self._pay(max(STEP, lacks))

    def endure(self) -> None:
        """An answer of unknown length has begun: it is the client's from now on, and may take its time."""
        self._until = float("inf")

    def close(self) -> None:
        """The request is over: what was paid for and not moved is given back."""
        if self._open:
            self._open = False
            used = max(0.0, units_of(self.moved, self._unit_bytes) - self._told) if self.moved else 0.0
            self._tolls.close(self._volume, self._course, self.paid - used)


class MeteredSink:
    """A sink before another one: what is read from a store is paid for before it is the client's."""

    def __init__(self, bill: TransferCharge, sink: Sink) -> None:
        self._bill, self._sink = bill, sink

    async def begin_stream(self, head: AnswerHead) -> None:
        """Its length is known here at the latest. OverLimit, with nothing said to the client, where it has no room."""
        if head.length is not None:
            await self._bill.before(head.length)
        else:
            self._bill.endure()
        await self._sink.begin_stream(head)

    async def data(self, data: Bytes) -> None:
        """A piece."""
        await self._bill.took(len(data))
        await self._sink.data(data)

    async def finish(self) -> None:
        """The end."""
        await self._sink.finish()
