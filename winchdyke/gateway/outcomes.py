"""The meaning of attempt outcomes, and the reason codes and status of final responses. Pure tables.

Whether a request may be repeated rests on what its attempt is known to have done. "Never executed" in the table below is
stated only where that is certain:

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
                        used again
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

# What the reason codes mean, as clients are told.
REASON_TEXTS = {
    "ok": "the store's answer was passed on",
    "held-out": "held at this gateway and given up before any attempt: no room, no time, no node or over the limit",
    "over-limit": "the limit of the course is used up by large objects; nothing was done",
    "write-back": "the log has no room for this write, or holds one of the object that its store has not yet; nothing was done",
    "write-back-lost": "the log could not make sure of the write; nothing is promised",
    "dial-failed": "no connection to the store could be made",
    "store-shed": "the store turned it away unseen",
    "store-error": "the store answered with an error",
    "store-reset": "the connection to the store broke while the attempt was out",
    "timed-out": "no answer of the store came in time",
    "cancelled": "the attempt was called off",
    "unsent": "nothing was sent: time up, or no file descriptor was left",
    "store-cut": "the store's answer broke off after a part of it was the client's; the connection was cut",
    "engine-fault": "the scheduler failed; all that it held was answered and it began anew",
    "engine-silent": "the scheduler gave no answer in time; the gateway answered in its place",
    "client-gone": "the client left before its answer",
    "body-cut": "the client's body broke off or is not as long as stated",
    "body-slow": "the client's body did not arrive in time",
    "body-store-full": "no room is left to keep bodies that may have to be sent again",
    "key-in-use": "a request with the same Idempotency-Key is still under way at this gateway",
    "too-many-connections": "this gateway holds as many connections as it may",
    "stopping": "this gateway is stopping",
    "bad-http": "the request is no valid HTTP/1.1",
    "conflicting-length": "both Content-Length and Transfer-Encoding were given",
    "head-too-large": "the request's head is larger than this gateway takes",
    "head-slow": "the request's head did not arrive in time",
    "bad-path": "the path names no volume and object",
    "bad-header": "a header of the request can't be read",
    "bad-query": "the query is none that this API has",
    "no-volume": "no such volume is set up",
    "no-class": "no class is set up for this operation",
    "method": "the path does not take this method",
    "too-large": "the object is larger than this gateway takes",
    "list-too-large": "a part of the listing was larger than this gateway takes",
    "internal": "an unforeseen fault in the gateway",
}


def final_status(
    action: api.ShedRequest | api.FailRequest, last_outcome: AttemptOutcome | None, deadline_passed: bool
) -> tuple[int, str, str]:
    """Return the status, outcome and reason code of the final response to a request that was not served.

    Args:
        action: The scheduler's action.
        last_outcome: The outcome of the last attempt; None where there was none.
        deadline_passed: Whether the client's deadline has passed.
    """
    reason = "held-out" if last_outcome is None else OUTCOME_CODES[last_outcome]
    if isinstance(action, api.ShedRequest):
        return 503, "refused", reason
    if last_outcome is AttemptOutcome.TIMED_OUT or deadline_passed:
        return 504, "failed", reason
    return 502, "failed", reason
