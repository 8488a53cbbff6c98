"""The meaning of attempt outcomes, and the reason codes and status of final responses.

Whether a request may be retried depends on whether its attempt may have been executed. The table says "never executed" only
if that is certain:

======================  =================================================================  ==============
outcome                 what happened                                                      never executed
======================  =================================================================  ==============
``CONNECT_FAILED``      no connection was made: refused, unreachable or too slow           yes
``NOT_SENT``            not one byte of the request was passed to the socket: time limit,  yes
                        client disconnected or no file descriptor left before that
``SHED``                the store responded with ``Winchdyke-Not-Run: 1``                  yes
``CONNECTION_RESET``    the connection was lost, or the response was not HTTP or cut       no
                        short, after a byte of the request may have been sent; this
                        includes a keep-alive connection that the store closes as it is
                        reused
``ERROR``               a complete response of status 5xx without that header              no
``TIMED_OUT``           the attempt's time limit passed after a byte may have been sent    no
``CANCELLED``           the scheduler cancelled it, or the client's body was cut short     no
``SERVED``              any other complete response, also 404, 412 or 416                  no
======================  =================================================================  ==============

Once a byte of a response's body has been passed to the client, the request is finished: a store that fails then appears
to the client as a connection closed before the declared end.
"""

from __future__ import annotations

from winchdyke import interface as api
from winchdyke.interface import AttemptOutcome

# The reason code of a final response after an attempt with this outcome.
OUTCOME_CODES = {
    AttemptOutcome.SERVED: "served",
    AttemptOutcome.ERROR: "store-error",
    AttemptOutcome.SHED: "store-shed",
    AttemptOutcome.TIMED_OUT: "timed-out",
    AttemptOutcome.CONNECT_FAILED: "dial-failed",
    AttemptOutcome.CONNECTION_RESET: "store-reset",
    AttemptOutcome.CANCELLED: "cancelled",
    AttemptOutcome.NOT_SENT: "unsent",
}

OUTCOMES_BY_CODE = {code: outcome for outcome, code in OUTCOME_CODES.items()}

# Descriptions of the reason codes, which are sent to clients.
REASON_TEXTS = {
    "ok": "the store's response was passed on",
    "held-out": "queued at this gateway and given up before any attempt: no capacity, no time, no endpoint or over the limit",
    "over-limit": "the volume's limit is used up by large objects; nothing was executed",
    "write-back": "the write-back log is full, or holds an earlier write of the object that is not stored yet; nothing was executed",
    "write-back-lost": "the write could not be made durable in the write-back log; it is not acknowledged and may be lost",
    "dial-failed": "no connection to the store could be made",
    "store-shed": "the store rejected the request without executing it",
    "store-error": "the store responded with an error",
    "store-reset": "the connection to the store was lost during the attempt",
    "timed-out": "the store did not respond in time",
    "cancelled": "the attempt was cancelled",
    "unsent": "nothing was sent: the time was up, or no file descriptor was left",
    "store-cut": "the store's response ended early after a part of it had been sent to the client; the connection was closed",
    "engine-fault": "the scheduler failed; all open requests were answered, and a new scheduler was started",
    "engine-silent": "the scheduler did not decide in time; the gateway answered in its place",
    "client-gone": "the client disconnected before its response",
    "body-cut": "the client's body ended early or is not as long as declared",
    "body-framing": "the chunked framing or the trailers of the client's body outweigh what they frame",
    "body-slow": "the client's body did not arrive in time",
    "body-store-full": "no capacity is left for bodies that may have to be sent again",
    "key-in-use": "a request with the same Idempotency-Key is in progress at this gateway",
    "too-many-connections": "this gateway has reached its limit of connections",
    "stopping": "this gateway is shutting down",
    "bad-http": "the request is not valid HTTP/1.1",
    "conflicting-length": "both Content-Length and Transfer-Encoding were given",
    "head-too-large": "the request's head is larger than this gateway accepts",
    "head-slow": "the request's head did not arrive in time",
    "bad-path": "the path does not name a volume and an object",
    "bad-header": "a header of the request can't be parsed",
    "bad-query": "the query is not supported by this API",
    "no-volume": "no such volume is configured",
    "no-class": "no request class is configured for this operation",
    "method": "the path does not allow this method",
    "too-large": "the object is larger than this gateway accepts",
    "list-too-large": "a part of the listing is larger than this gateway accepts",
    "internal": "an unexpected error in the gateway",
}


def final_status(
    action: api.ShedRequest | api.FailRequest, last_outcome: AttemptOutcome | None, deadline_passed: bool
) -> tuple[int, str, str]:
    """Return the status, outcome and reason code of the final response to a request that was not served.

    Args:
        action: The scheduler's action.
        last_outcome: The outcome of the last attempt; None: there was no attempt.
        deadline_passed: Whether the client's deadline has passed.
    """
    reason = "held-out" if last_outcome is None else OUTCOME_CODES[last_outcome]
    if isinstance(action, api.ShedRequest):
        return 503, "refused", reason
    if last_outcome is AttemptOutcome.TIMED_OUT or deadline_passed:
        return 504, "failed", reason
    return 502, "failed", reason
