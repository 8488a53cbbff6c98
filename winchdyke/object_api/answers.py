"""The answers that the gateway makes itself: one error body for all. Pure."""

from __future__ import annotations

import math
from http import HTTPStatus

import msgspec

from winchdyke.http1 import Headers

REQUEST_ID, OUTCOME, REASON = b"x-request-id", b"winchdyke-outcome", b"winchdyke-reason"
ACKNOWLEDGED = b"winchdyke-acknowledged"  # by what, where no store has it yet


class RequestError(Exception):
    """A request that is answered without asking the scheduler: its status, reason code and text."""

    def __init__(self, status: int, reason: str, text: str, allow: str = "") -> None:
        super().__init__(text)
        self.status, self.reason, self.allow = status, reason, allow


class ErrorBody(msgspec.Struct):
    """The body of every answer that is not the store's."""

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
    """Status, headers and body. ``Retry-After`` is in whole seconds, rounded up; the body has milliseconds."""
    after = None if retry_after_ms is None else max(0.0, retry_after_ms)
    body = (
        msgspec.json.encode(ErrorBody(outcome, reason, request, text or HTTPStatus(status).phrase, after))
        + b"\n"
    )
    headers: Headers = [
        (b"content-type", b"application/json"),
        (b"content-length", str(len(body)).encode()),
        (OUTCOME, outcome.encode()),
        (REASON, reason.encode()),
    ]
    if after is not None:
        headers.append((b"retry-after", str(math.ceil(after / 1000)).encode()))
    return status, headers, body
