"""The gateway's own error responses, which share one body format. Pure."""

from __future__ import annotations

import math
from http import HTTPStatus

import msgspec

from winchdyke.http1 import Headers

REQUEST_ID, OUTCOME, REASON = b"x-request-id", b"winchdyke-outcome", b"winchdyke-reason"
ACKNOWLEDGED = b"winchdyke-acknowledged"  # the component that acknowledged a write before a store executed it


class RequestError(Exception):
    """Ends a request with an error response before it is submitted to the scheduler.

    Attributes:
        status: The HTTP status.
        reason: The reason code.
        allow: The value of the Allow header; empty: no such header.
    """

    def __init__(self, status: int, reason: str, text: str, allow: str = "") -> None:
        super().__init__(text)
        self.status, self.reason, self.allow = status, reason, allow


class ErrorBody(msgspec.Struct):
    """The body of every error response that does not come from a store."""

    outcome: str
    reason: str
    request: str
    message: str
    retry_after_ms: float | None = None


def error(
    status: int,
    outcome: str,
    reason: str,
    request: str,
    text: str,
    retry_after_ms: float | None = None,
) -> tuple[int, Headers, bytes]:
    """Builds an error response: its status, headers and body.

    ``Retry-After`` is in whole seconds, rounded up; the body has milliseconds.
    """
    retry_delay_ms = None if retry_after_ms is None else max(0.0, retry_after_ms)
    body = (
        msgspec.json.encode(
            ErrorBody(outcome, reason, request, text or HTTPStatus(status).phrase, retry_delay_ms)
        )
        + b"\n"
    )
    headers: Headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (OUTCOME, outcome.encode()),
        (REASON, reason.encode()),
    ]
    if retry_delay_ms is not None:
        headers.append((b"retry-after", str(math.ceil(retry_delay_ms / 1000)).encode()))
    return status, headers, body
