"""Builds the request that a store receives for an attempt."""

from __future__ import annotations

from urllib.parse import quote

from winchdyke import interface as api
from winchdyke.gateway.bodies import ReplayBody
from winchdyke.http1 import Headers
from winchdyke.object_api import answers, routes, store_protocol


def store_headers(
    gateway_name: str,
    request_class: api.RequestClass,
    request: api.Request,
    operation: routes.Operation,
    shard: int,
    attempt: int,
    body: ReplayBody | None,
    config_version: int,
    write_stamp: str,
) -> Headers:
    """Return the headers of an attempt, as ``docs/store-protocol.md`` defines them.

    Args:
        gateway_name: The gateway's name.
        request_class: The request's class.
        request: The request as passed to the scheduler.
        operation: The requested operation.
        shard: The shard that the attempt is sent to.
        attempt: Index of the attempt, from 0.
        body: The request's body; None: it has no body.
        config_version: Version of the request's configuration; 0: not stated.
        write_stamp: The stamp of a write; empty: the operation writes no object.
    """
    headers: Headers = [
        (b"host", b"store"),
        (store_protocol.REQUEST_HEADER, request.request_id.encode()),
        (store_protocol.ATTEMPT_HEADER, str(attempt).encode()),
        (store_protocol.GATEWAY_HEADER, gateway_name.encode()),
        (store_protocol.CLASS_HEADER, request.request_class.encode()),
        (store_protocol.UNITS_HEADER, f"{request.units:g}".encode()),
        (store_protocol.SHARD_HEADER, str(shard).encode()),
        *operation.forwarded_headers,
    ]
    if write_stamp:
        headers.append((store_protocol.WRITTEN_HEADER, write_stamp.encode()))
    if config_version:
        headers.append((store_protocol.CONFIG_VERSION_HEADER, str(config_version).encode()))
    if request_class.repeat_safety is api.RepeatSafety.IDEMPOTENCY_KEY:
        idempotency_key = operation.idempotency_key or request.request_id
        headers.append((store_protocol.IDEMPOTENCY_KEY_HEADER, idempotency_key.encode()))
    if request_class.in_order and request.key:
        headers.append((store_protocol.ORDER_KEY_HEADER, quote(request.key, safe="/-._~").encode()))
    if operation.client_request:
        headers.append((answers.REQUEST_ID, operation.client_request.encode()))
    if operation.range is not None:
        headers.append((b"range", str(operation.range).encode()))
    if body is not None:
        headers.append(_framing(body))
    return headers


def _framing(body: ReplayBody) -> tuple[bytes, bytes]:
    if body.length is None:
        return b"transfer-encoding", b"chunked"
    return b"content-length", str(body.length).encode()
