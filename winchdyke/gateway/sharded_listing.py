"""Lists a volume: sends one request to each of its shards, and merges their pages."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import msgspec

from winchdyke import interface as api
from winchdyke.gateway import final_response
from winchdyke.gateway.access_log import AccessLogRecord
from winchdyke.gateway.attempts import OutgoingRequest, UpstreamResponse
from winchdyke.gateway.exchange import Exchange, ExchangeRunner
from winchdyke.gateway.final_response import FinalResponse
from winchdyke.gateway.request_context import RejectingSink, RequestContext
from winchdyke.gateway.scheduler_loop import SchedulerLoop
from winchdyke.http1 import Headers, ResponseHead
from winchdyke.object_api import listing, routes

LIST_OPERATIONS = ("list", "list-uploads")
# From the worst to the best outcome: a listing gets the worst outcome of its shards.
MERGE_PRECEDENCE = ("gone", "failed", "refused", "served")

# Returns headers from the request to a shard, the shard and the index of the attempt.
HeadersOf = Callable[[api.Request, int, int], Headers]


def request_for_shard(request: api.Request, shard: int, request_id: str) -> api.Request:
    """Return a copy of a request for one shard, under another id."""
    return api.Request(
        request_id,
        request.request_class,
        request.plan,
        request.volume,
        request.key,
        request.units,
        shard,
        request.sharing_gateways,
        request.time_left_ms,
    )


class ShardedListing:
    """Lists the volumes of one gateway."""

    def __init__(self, scheduler_loop: SchedulerLoop, exchanges: ExchangeRunner) -> None:
        self._scheduler_loop = scheduler_loop
        self._exchanges = exchanges

    async def run(
        self, context: RequestContext, request: api.Request, headers_of: HeadersOf
    ) -> FinalResponse:
        """Request a page from each shard of the volume, and merge the pages.

        Args:
            context: The client's request.
            request: The template for the requests to the shards.
            headers_of: Returns the headers of an attempt.
        """
        finals: list[FinalResponse] = []

        async def list_shard(number: int, shard: int) -> None:
            finals.append(await self._list_shard(context, request, number, shard, headers_of))

        async with anyio.create_task_group() as group:
            for number, shard in enumerate(context.volume.shards):
                group.start_soon(list_shard, number, shard)
        return _merged(context.operation, finals)

    async def _list_shard(
        self, context: RequestContext, request: api.Request, number: int, shard: int, headers_of: HeadersOf
    ) -> FinalResponse:
        shard_request = request_for_shard(request, shard, f"{request.request_id}.{number}")
        handle = self._scheduler_loop.submit(shard_request)

        def outgoing(endpoint: str, attempt: int) -> OutgoingRequest:
            return OutgoingRequest(
                "GET", context.operation.target(), headers_of(shard_request, shard, attempt)
            )

        record = AccessLogRecord(config_version=context.record.config_version, request=shard_request)
        exchange = Exchange(handle, context.operation, outgoing, RejectingSink(), context.caller, record)
        final = await self._exchanges.run(exchange)
        context.record.add_attempts_of(record)
        return final


def _merged(operation: routes.Operation, finals: list[FinalResponse]) -> FinalResponse:
    for final in sorted(finals, key=lambda final: MERGE_PRECEDENCE.index(final.outcome)):
        if final.response is None:
            return FinalResponse(502, "failed", "list-too-large") if final.streamed else final
    bodies = [final.response.body for final in finals if final.response is not None]
    if operation.name == "list-uploads":
        return FinalResponse(200, "served", "ok", shard_bodies=bodies)
    try:
        pages = [msgspec.json.decode(body, type=listing.Page) for body in bodies]
    except msgspec.DecodeError:
        return FinalResponse(502, "failed", "store-error", "a store's listing can't be decoded")
    body = msgspec.json.encode(listing.merge(pages, operation.limit)) + b"\n"
    headers: Headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
    ]
    return final_response.served(UpstreamResponse(ResponseHead(200, headers, len(body)), body))
