"""Charges transfers of large objects to the limit of their volume.

The scheduler accounts for at most ``max_request_units`` of a request. If the volume has a limit, the rest of a transfer is
charged to that limit here, before or during the transfer.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio

from winchdyke import interface as api
from winchdyke.gateway import final_response
from winchdyke.gateway.access_log import AccessLogRecord
from winchdyke.gateway.attempts import AttemptResult
from winchdyke.gateway.final_response import FinalResponse
from winchdyke.gateway.request_context import BodySource, RequestContext
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.http1 import Bytes
from winchdyke.quotas.byte_metering import ByteMeter, MeteredSink, TransferCharge
from winchdyke.quotas.token_bucket import QuotaExceededError, charge_reservation, units_for_bytes

TRANSFER_OPERATIONS = ("get", "put", "post", "put-part")


class TransferMetering:
    """Charges the transfers of one gateway.

    Args:
        byte_meter: Records the debts of all volumes.
        scheduler_loop: Provides the scheduler's settings and quotas.
        clock: Monotonic time in milliseconds.
        max_object_bytes: The largest object that the gateway accepts.
    """

    def __init__(
        self,
        byte_meter: ByteMeter,
        scheduler_loop: SchedulerLoop,
        clock: Callable[[], float],
        max_object_bytes: int,
    ) -> None:
        self._byte_meter = byte_meter
        self._scheduler_loop = scheduler_loop
        self._clock = clock
        self._max_object_bytes = max_object_bytes

    def needs_charge(self, context: RequestContext) -> bool:
        """Record the units beyond those passed to the scheduler, and return whether :meth:`charge` has to be called.

        If the size of an object is known from an earlier transfer, it determines the units passed to the scheduler.
        """
        operation = context.operation
        record = context.record
        if operation.name not in TRANSFER_OPERATIONS:
            return False
        is_read = operation.name == "get"
        unit_bytes = context.kind.unit_bytes
        range_bytes = self._range_bytes(context)
        length = range_bytes if is_read else context.source.length
        if length is not None and length > context.units * unit_bytes:
            record.excess_units = units_for_bytes(length, unit_bytes) - context.units
        if not record.limit_units_per_s:
            return False
        if is_read and range_bytes is None and not operation.part:
            known_bytes = self._byte_meter.object_sizes.get(operation.volume, operation.key)
            if known_bytes is not None:
                max_units = self._scheduler_loop.settings.max_request_units
                context.units = min(max_units, units_for_bytes(known_bytes, unit_bytes))
                context.transfer_bytes = known_bytes
                return True
        context.transfer_bytes = length
        return length is None or range_bytes is not None or length > context.units * unit_bytes

    def _range_bytes(self, context: RequestContext) -> int | None:
        if context.operation.range is None:
            return None
        length = context.operation.range.length
        return None if length is None else min(length, self._max_object_bytes)

    async def charge(self, context: RequestContext) -> FinalResponse | None:
        """Charge a transfer of known length once the limit allows it; let any other be charged while it proceeds.

        Returns:
            The final response if the limit doesn't allow the transfer in time or the client disconnected; else None.
        """
        record = context.record
        started_at_ms = self._clock()
        # After this time, the rest of the deadline is shorter than the latency objective.
        give_up_at_ms = started_at_ms + max(
            0.0, context.time_left_ms - context.kind.rules.latency_objective_ms
        )
        charge = self._byte_meter.open_charge(
            context.operation.volume,
            record.limit_units_per_s,
            context.volume.gateways,
            context.kind.unit_bytes,
            context.units,
            give_up_at_ms,
        )
        record.charge = charge
        try:
            if not await self._pay_in_advance(charge, context):
                return final_response.client_disconnected()
        except QuotaExceededError as error:
            return final_response.over_limit(error)
        context.time_left_ms -= self._clock() - started_at_ms
        if context.operation.name == "get":
            context.sink = MeteredSink(charge, context.sink)
        else:
            context.source = BodySource(_charged(context.source.read, charge), context.source.length)
        return None

    async def _pay_in_advance(self, charge: TransferCharge, context: RequestContext) -> bool:
        """Charge a body of known length; return False if the client disconnected meanwhile."""
        if context.transfer_bytes is None:
            return True
        caller = context.caller
        record = context.record
        started_at_ms = self._clock()
        on_disconnect = caller.on_disconnect
        scope = anyio.CancelScope()
        if record.trace is not None:
            record.trace.enter_phase("held")
        caller.on_disconnect = scope.cancel
        try:
            with scope:
                if caller.disconnected:
                    scope.cancel()
                await charge.charge_length(context.transfer_bytes)
        finally:
            caller.on_disconnect = on_disconnect
            record.queued_ms += self._clock() - started_at_ms
        return not scope.cancelled_caught and not caller.disconnected

    async def settle(self, context: RequestContext, final: FinalResponse) -> FinalResponse:
        """Charge a buffered response before it is sent, and remember the size of the object."""
        charge = context.record.charge
        operation = context.operation
        if charge is None or final.outcome != "served":
            return final
        if operation.name == "get" and final.response is not None:
            try:
                await charge.charge_length(len(final.response.body))
            except QuotaExceededError as error:
                return final_response.over_limit(error)
            charge.transferred_bytes += len(final.response.body)
        if operation.range is None and not operation.part and operation.name in ("get", "put"):
            self._byte_meter.object_sizes.record(operation.volume, operation.key, charge.transferred_bytes)
        return final

    def charge_excess_before(self, record: AccessLogRecord) -> None:
        """Charge the known excess of a request to its volume's reservation, at its first attempt."""
        if record.excess_units:
            self._charge_reservation(record.request, record.excess_units)

    def charge_excess_after(self, record: AccessLogRecord, result: AttemptResult) -> None:
        """Charge the excess of a read whose size was unknown before its response."""
        request = record.request
        if record.excess_units or result.body_bytes <= record.unit_bytes or request is None:
            return
        record.excess_units = max(0.0, units_for_bytes(result.body_bytes, record.unit_bytes) - request.units)
        self._charge_reservation(request, record.excess_units)

    def _charge_reservation(self, request: api.Request | None, excess_units: float) -> None:
        quota = self._scheduler_loop.quota(request.volume) if request is not None else None
        if quota is not None and request is not None:
            charge_reservation(quota, excess_units, request.units)


def _charged(read: Callable[[], Awaitable[Bytes]], charge: TransferCharge) -> Callable[[], Awaitable[Bytes]]:
    """Return a function that reads a body and charges it as it arrives."""

    async def read_and_charge() -> Bytes:
        data = await read()
        if data:
            await charge.record_bytes(len(data))
        return data

    return read_and_charge
