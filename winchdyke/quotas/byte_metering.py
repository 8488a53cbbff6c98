"""Meters bodies: waits for quota before a body begins, charges it as it is transferred, and refunds what was not transferred.

The accounting is in :mod:`winchdyke.quotas.token_bucket`.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from winchdyke.http1 import Bytes, ResponseHead
from winchdyke.object_api.sinks import Sink
from winchdyke.quotas.token_bucket import QuotaBalance, QuotaExceededError, TransferDebt, units_for_bytes

MIN_WAIT_MS = 2.0  # minimum wait between two checks of a debt
STREAM_STEP_UNITS = 16.0  # a body of unknown length is charged in steps of at least this size
MAX_OBJECT_SIZES = 10_000  # maximum number of object sizes stored at a gateway


@dataclass(slots=True)
class _VolumeMeter:
    debt: TransferDebt
    lock: anyio.Lock = field(default_factory=anyio.Lock)  # serves waiting requests in order of arrival
    open_charges: int = 0


@dataclass(frozen=True, slots=True)
class QuotaShare:
    """This gateway's share of a volume's limit, and the units of its bucket that are reserved for small requests."""

    rate_units_per_s: float
    small_request_units: float


class ObjectSizes:
    """The last known sizes of objects, used to estimate the cost of a read. Bounded: the oldest entries are dropped."""

    def __init__(self, max_objects: int = MAX_OBJECT_SIZES) -> None:
        self._max_objects = max_objects
        self._bytes_by_object: OrderedDict[tuple[str, str], int] = OrderedDict()

    def record(self, volume: str, key: str, size_bytes: int) -> None:
        """Store an object's size."""
        self._bytes_by_object[volume, key] = size_bytes
        self._bytes_by_object.move_to_end((volume, key))
        if len(self._bytes_by_object) > self._max_objects:
            self._bytes_by_object.popitem(last=False)

    def get(self, volume: str, key: str) -> int | None:
        """Return the last known size in bytes, or None. It may be outdated: other gateways also change objects."""
        return self._bytes_by_object.get((volume, key))


class ByteMeter:
    """Tracks the debts of one gateway's volumes.

    ``clock_ms``: the scheduler's clock. ``find_balance``: returns the scheduler's token bucket of a volume, or None if there is none
    yet. ``max_request_units``: the maximum number of units of a request that the scheduler accounts for.
    """

    def __init__(
        self,
        clock_ms: Callable[[], float],
        find_balance: Callable[[str], QuotaBalance | None],
        max_request_units: Callable[[], float],
    ) -> None:
        self._clock_ms = clock_ms
        self._find_balance = find_balance
        self._max_request_units = max_request_units
        self._meters: dict[str, _VolumeMeter] = {}
        self._fallback_shares: dict[str, QuotaShare] = {}  # shares of volumes that have no token bucket yet
        self.object_sizes = ObjectSizes()

    def __len__(self) -> int:
        return len(self._meters)

    @property
    def max_request_units(self) -> float:
        """The maximum number of units of a request that the scheduler accounts for."""
        return self._max_request_units()

    def debt_units(self, volume: str) -> float:
        """Return a volume's debt at this gateway, in units."""
        meter = self._meters.get(volume)
        return meter.debt.units if meter is not None else 0.0

    def quota_share(self, volume: str, rate_units_per_s: float, gateways: int) -> QuotaShare:
        """Return this gateway's share of a volume's limit.

        The scheduler's values take precedence: they include the lower limits around an activation instant and the highest
        number of gateways seen.
        """
        balance = self._find_balance(volume)
        if balance is not None:
            rate_units_per_s = balance.plan.limit_units_per_s
            gateways = max(balance.sharing_gateways, gateways)
        return QuotaShare(rate_units_per_s / gateways, self._max_request_units())

    def settle(self) -> None:
        """Pay off all debts up to now, and drop volumes without debts and charges. To be called a few times a second."""
        for volume, meter in list(self._meters.items()):
            self._settle_volume(volume, meter)
            if meter.debt.is_settled and not meter.open_charges:
                del self._meters[volume]
                del self._fallback_shares[volume]

    def _settle_volume(self, volume: str, meter: _VolumeMeter) -> QuotaShare:
        """Pay off a volume's debt up to now; returns its share, the stored one if the scheduler has no quota for it."""
        share = self._fallback_shares[volume]
        balance = self._find_balance(volume)
        if balance is not None:
            share = self.quota_share(volume, share.rate_units_per_s, 1)
        meter.debt.settle(self._clock_ms(), balance, share.rate_units_per_s, share.small_request_units)
        return share

    def open_charge(
        self,
        volume: str,
        rate_units_per_s: float,
        gateways: int,
        unit_bytes: int,
        scheduled_units: float,
        deadline_ms: float,
    ) -> TransferCharge:
        """Open the charge of a request, of which the scheduler accounts for ``scheduled_units``.

        ``deadline_ms``: the time until which the request may wait for quota, by the meter's clock.
        """
        meter = self._meters.get(volume)
        if meter is None:
            meter = self._meters[volume] = _VolumeMeter(TransferDebt(self._clock_ms()))
        self._fallback_shares[volume] = QuotaShare(rate_units_per_s / gateways, self._max_request_units())
        meter.open_charges += 1
        return TransferCharge(self, volume, meter, unit_bytes, scheduled_units, deadline_ms)

    def charge_now(self, volume: str, units: float) -> None:
        """Charge a small excess to the bucket at once, below zero if necessary; the scheduler waits until it has refilled."""
        balance = self._find_balance(volume)
        if balance is not None:
            balance.refill(self._clock_ms())
            balance.limit_units -= units

    async def charge_when_settled(
        self, volume: str, meter: _VolumeMeter, units: float, deadline_ms: float
    ) -> None:
        """Wait in order of arrival until the volume has no debt, then charge ``units``.

        Raises:
            QuotaExceededError: The debt is not settled before ``deadline_ms``.
        """
        debt = meter.debt
        share = self._settle_volume(volume, meter)
        if debt.is_settled and not debt.queued_units:
            debt.add(units)
            return
        rate = share.rate_units_per_s
        if rate > 0 and self._clock_ms() + debt.earliest_settled_ms(rate) > deadline_ms:
            raise QuotaExceededError(debt.latest_settled_ms(rate))
        debt.queued_units += units
        try:
            with anyio.move_on_after(max(0.0, deadline_ms - self._clock_ms()) / 1000):
                async with meter.lock:
                    await self._wait_until_settled(volume, meter, deadline_ms)
                    if debt.is_settled:
                        debt.add(units)
                        return
        finally:
            debt.queued_units = max(0.0, debt.queued_units - units)
        rate = self._settle_volume(volume, meter).rate_units_per_s
        raise QuotaExceededError(debt.latest_settled_ms(rate) if rate > 0 else 0.0)

    async def _wait_until_settled(self, volume: str, meter: _VolumeMeter, deadline_ms: float) -> None:
        """Wait until the volume has no debt; return early if that can't happen before the deadline."""
        while not meter.debt.is_settled:
            share = self._settle_volume(volume, meter)
            if meter.debt.is_settled:
                return
            wait_ms = max(MIN_WAIT_MS, meter.debt.earliest_settled_ms(share.rate_units_per_s))
            if self._clock_ms() + wait_ms > deadline_ms:
                return
            await anyio.sleep(wait_ms / 1000)

    def close_charge(self, volume: str, meter: _VolumeMeter, unused_units: float) -> None:
        """Close a charge and refund its unused units."""
        meter.open_charges -= 1
        if unused_units > 0:
            self._settle_volume(volume, meter)
            meter.debt.refund(unused_units, self._find_balance(volume))


class TransferCharge:
    """The charge of one request of a limited volume, for the units that the scheduler does not account for.

    Attributes:
        paid_units: The units charged so far.
        transferred_bytes: The bytes of its body that were transferred so far.
    """

    def __init__(
        self,
        byte_meter: ByteMeter,
        volume: str,
        volume_meter: _VolumeMeter,
        unit_bytes: int,
        scheduled_units: float,
        deadline_ms: float,
    ) -> None:
        self._byte_meter = byte_meter
        self._volume = volume
        self._volume_meter = volume_meter
        self._unit_bytes = unit_bytes
        self._scheduled_units = scheduled_units
        self._deadline_ms = deadline_ms
        self._open = True
        self.paid_units = 0.0
        self.transferred_bytes = 0

    async def charge_length(self, length: int) -> None:
        """Charge a body whose length in bytes is known, before it is transferred.

        Raises:
            QuotaExceededError: There is no quota for the body before the deadline.
        """
        units = units_for_bytes(length, self._unit_bytes)
        excess_units = units - self._scheduled_units - self.paid_units
        if excess_units <= 0:
            return
        if units <= self._byte_meter.max_request_units:
            self._byte_meter.charge_now(self._volume, excess_units)
            self.paid_units += excess_units
        else:
            await self._charge_when_settled(excess_units)

    async def _charge_when_settled(self, units: float) -> None:
        await self._byte_meter.charge_when_settled(self._volume, self._volume_meter, units, self._deadline_ms)
        self.paid_units += units

    async def record_bytes(self, count: int) -> None:
        """Count transferred bytes. Bytes that are not charged yet are charged in steps, each once the volume has no debt.

        Raises:
            QuotaExceededError: There is no quota for a step before the deadline.
        """
        self.transferred_bytes += count
        if self.transferred_bytes > (self._scheduled_units + self.paid_units) * self._unit_bytes:
            units = units_for_bytes(self.transferred_bytes, self._unit_bytes)
            missing_units = units - self._scheduled_units - self.paid_units
            await self._charge_when_settled(max(STREAM_STEP_UNITS, missing_units))

    def remove_deadline(self) -> None:
        """Let the rest of the body wait for quota without a deadline, for a response of unknown length that has begun."""
        self._deadline_ms = float("inf")

    def close(self) -> None:
        """Close the charge at the end of the request; units that were charged but not transferred are refunded."""
        if not self._open:
            return
        self._open = False
        used_units = 0.0
        if self.transferred_bytes:
            units = units_for_bytes(self.transferred_bytes, self._unit_bytes)
            used_units = max(0.0, units - self._scheduled_units)
        self._byte_meter.close_charge(self._volume, self._volume_meter, self.paid_units - used_units)


class MeteredSink:
    """A sink that charges data read from a store before passing it on to another sink."""

    def __init__(self, charge: TransferCharge, sink: Sink) -> None:
        self._charge = charge
        self._sink = sink

    async def begin_stream(self, head: ResponseHead) -> None:
        """Charge a response of known length, then pass its head on.

        Raises:
            QuotaExceededError: There is no quota for it before the deadline; nothing was passed on.
        """
        if head.length is not None:
            await self._charge.charge_length(head.length)
        else:
            self._charge.remove_deadline()
        await self._sink.begin_stream(head)

    async def data(self, data: Bytes) -> None:
        """Charge a piece of the body and pass it on. Raises QuotaExceededError."""
        await self._charge.record_bytes(len(data))
        await self._sink.data(data)

    async def finish(self) -> None:
        """Pass the end of the response on."""
        await self._sink.finish()
