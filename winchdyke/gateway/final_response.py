"""The final response to a request: its variants, and how it is sent."""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.gateway import outcomes
from winchdyke.gateway.attempts import AttemptResult, ClientDisconnectedError, UpstreamResponse
from winchdyke.gateway.bodies import BodyStoreFullError
from winchdyke.gateway.clients import ClientConnection
from winchdyke.http1 import Headers, ProtocolError
from winchdyke.interface import AttemptOutcome
from winchdyke.object_api import answers
from winchdyke.object_api.answers import RequestError
from winchdyke.quotas.token_bucket import QuotaExceededError


@dataclass(slots=True)
class FinalResponse:
    """The final response to a request.

    Attributes:
        status: Its HTTP status; 0: the client has disconnected.
        outcome: ``served``, ``refused``, ``failed``, or ``gone`` if the client has disconnected.
        reason: Its reason code.
        text: Description of the error; empty: the default text of the reason code.
        retry_after_ms: Time until a retry may succeed; None: not stated.
        response: A store's complete response; None: there is none.
        streamed: Whether a store's response was streamed to the client.
        acknowledged_by: The component that acknowledged a write; empty: a store did.
        shard_bodies: The unmerged response bodies of an operation on several shards; None: not applicable.
    """

    status: int
    outcome: str
    reason: str
    text: str = ""
    retry_after_ms: float | None = None
    response: UpstreamResponse | None = None
    streamed: bool = False
    acknowledged_by: str = ""
    shard_bodies: list[bytes] | None = None


def client_disconnected() -> FinalResponse:
    """Return the result for a client that has disconnected; no response is sent."""
    return FinalResponse(0, "gone", "client-gone")


def served(response: UpstreamResponse) -> FinalResponse:
    """Return a store's complete response."""
    return FinalResponse(response.head.status, "served", "ok", response=response)


def invalid_request(error: RequestError) -> FinalResponse:
    """Return the response to an invalid request, which is not submitted to the scheduler."""
    return FinalResponse(error.status, "refused", error.reason, str(error))


def over_limit(error: QuotaExceededError) -> FinalResponse:
    """Return the response to a transfer that its volume's limit doesn't allow in time."""
    return FinalResponse(503, "refused", "over-limit", str(error), error.wait_ms)


def body_error(error: ProtocolError) -> FinalResponse:
    """Return the response to a request with a malformed body."""
    return FinalResponse(error.status, "failed", error.reason, str(error))


def rejected(reason: str, retry_after_ms: float) -> FinalResponse:
    """Return the response to a request that was rejected before anything was executed."""
    return FinalResponse(503, "refused", reason, outcomes.REASON_TEXTS[reason], retry_after_ms)


def from_attempt(result: AttemptResult) -> FinalResponse | None:
    """Return the final response if the attempt's end finishes the request; None: the scheduler decides what follows."""
    error = result.error
    if result.streamed:
        return _from_streamed_attempt(result)
    if isinstance(error, ClientDisconnectedError):
        return client_disconnected()
    if isinstance(error, QuotaExceededError):
        return over_limit(error)
    if isinstance(error, ProtocolError):
        return body_error(error)
    if isinstance(error, BodyStoreFullError):
        text = outcomes.REASON_TEXTS["body-store-full"]
        return FinalResponse(507, "failed", "body-store-full", text)
    if result.response is not None:
        return FinalResponse(result.status, "served", "ok", response=result.response)
    return None


def _from_streamed_attempt(result: AttemptResult) -> FinalResponse:
    if result.outcome is AttemptOutcome.SERVED:
        return FinalResponse(result.status, "served", "ok", streamed=True)
    by_client = isinstance(result.error, ClientDisconnectedError)
    reason = "client-gone" if by_client else "store-cut"
    return FinalResponse(result.status, "failed", reason, streamed=True)


async def send(connection: ClientConnection, request_id: str, final: FinalResponse) -> None:
    """Send a final response that has not been streamed; an incomplete stream closes the connection."""
    if final.outcome == "gone" or connection.disconnected:
        connection.close_after_response = True
    elif final.streamed:
        if final.outcome != "served":
            connection.close_after_response = True  # otherwise the response would look complete
    elif final.response is not None:
        extra: Headers = [(answers.OUTCOME, b"served"), (answers.REASON, b"ok")]
        if final.acknowledged_by:
            extra.append((answers.ACKNOWLEDGED, final.acknowledged_by.encode()))
        connection.begin_request([*connection.extra_headers, *extra], False)
        await connection.respond_from_upstream(final.response.head, final.response.body)
    else:
        text = final.text or outcomes.REASON_TEXTS[final.reason]
        status, headers, body = answers.error(
            final.status, final.outcome, final.reason, request_id, text, final.retry_after_ms
        )
        await connection.respond(status, headers, body)
