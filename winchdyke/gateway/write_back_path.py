"""Acknowledges writes from the write-back log, and delays other requests for an object until its writes are stored."""

from __future__ import annotations

from collections.abc import Callable

from winchdyke import placement
from winchdyke.gateway import final_response
from winchdyke.gateway.attempts import ClientDisconnectedError, UpstreamResponse
from winchdyke.gateway.final_response import FinalResponse
from winchdyke.gateway.request_context import RequestContext
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.gateway.writeback import WriteBack
from winchdyke.http1 import Headers, ProtocolError, ResponseHead
from winchdyke.writeback.log import LogError, LogFullError
from winchdyke.writeback.record import WriteBackRecord, etag_of, new_write_key
from winchdyke.writeback.write_order import WriteClock


class WriteBackPath:
    """Acknowledges writes from the write-back log of one gateway.

    Args:
        write_back: The write-back log.
        scheduler_loop: Provides the setting for Retry-After.
        clock: Monotonic time in milliseconds.
        write_clock: Stamps the writes that are acknowledged.
    """

    def __init__(
        self,
        write_back: WriteBack,
        scheduler_loop: SchedulerLoop,
        clock: Callable[[], float],
        write_clock: WriteClock,
    ) -> None:
        self._write_back = write_back
        self._scheduler_loop = scheduler_loop
        self._clock = clock
        self._write_clock = write_clock

    async def handle(self, context: RequestContext) -> FinalResponse | None:
        """Acknowledge a write, or wait until the log holds no write of the request's object.

        Returns:
            The final response; None: the request has to be submitted to the scheduler.
        """
        write_back = self._write_back
        accepted = write_back.accepts(context.operation, context.kind.rules.name, context.source.length)
        if not accepted:
            return await self._wait_for_object(context)
        return await self._acknowledge(context)

    async def _wait_for_object(self, context: RequestContext) -> FinalResponse | None:
        volume = context.operation.volume
        key = context.operation.key
        if not self._write_back.has_pending(volume, key):
            return None
        spare_ms = context.time_left_ms - context.kind.rules.latency_objective_ms
        if await self._write_back.wait_until_stored(volume, key, self._clock() + max(0.0, spare_ms)):
            return None
        return final_response.rejected("write-back", self._scheduler_loop.settings.max_retry_after_ms)

    async def _acknowledge(self, context: RequestContext) -> FinalResponse:
        operation = context.operation
        etag = self._write_back.remembered_etag(operation.volume, operation.idempotency_key)
        body = bytearray()
        try:
            while data := await context.source.read():
                body += data
        except ProtocolError as error:
            return final_response.body_error(error)
        except ClientDisconnectedError:
            return final_response.client_disconnected()
        if etag is None:
            etag = etag_of(bytes(body))
            failure = await self._append(context, etag, bytes(body))
            if failure is not None:
                return failure
        headers: Headers = [(b"etag", etag.encode()), (b"content-length", b"0")]
        response = UpstreamResponse(ResponseHead(200, headers, 0), b"")
        return FinalResponse(200, "served", "ok", response=response, acknowledged_by="log")

    async def _append(self, context: RequestContext, etag: str, body: bytes) -> FinalResponse | None:
        operation = context.operation
        stamp = self._write_clock.stamp()
        record = WriteBackRecord(
            volume=operation.volume,
            key=operation.key,
            class_name=context.kind.rules.name,
            repeat_key=operation.idempotency_key,
            passed=list(operation.forwarded_headers),
            shard=placement.shard_of(operation.volume, operation.key, context.volume.shards),
            units=context.units,
            etag=etag,
            unix_ms=stamp.unix_ms,
            client_request=operation.client_request,
            body=body,
            write_key=new_write_key(),
            clock=stamp.clock,
        )
        try:
            await self._write_back.append(record)
        except LogFullError as error:
            retry_after_ms = self._scheduler_loop.settings.max_retry_after_ms
            return FinalResponse(503, "refused", "write-back", str(error), retry_after_ms)
        except LogError as error:
            return FinalResponse(502, "failed", "write-back-lost", str(error))
        return None
