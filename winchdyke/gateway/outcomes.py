"""How things ended, in words: the outcomes of attempts and the reason codes of answers. Pure tables.

The repeat rule rests on what an attempt is known to have done, so the table below claims ``never ran`` only where
that is certain:

=====================  ==================================================================  ===========
outcome                what happened                                                       never ran
=====================  ==================================================================  ===========
``DIAL_FAILED``        no connection was made: refused, unreachable or too slow            yes
``UNSENT``             not one byte of the request was handed to the socket: time up,      yes
                       client gone or no file descriptor left before that
``SHED``               the store answered with ``Winchdyke-Not-Run: 1``                    yes
``RESET``              the connection broke, or the answer was no HTTP or cut short,       no
                       after a byte of the request may have left; so a kept-alive
                       connection that the store closes as it is reused
``ERROR``              a whole answer of status 5xx without that header                    no
``TIMED_OUT``          the attempt's time was up after a byte may have left                no
``CANCELLED``          the scheduler called it off, or the client's body broke off         no
``SERVED``             any other whole answer, also 404, 412 or 416                        no
=====================  ==================================================================  ===========

Once a byte of an answer's body is the client's, the request is over whatever comes: a store that dies then shows at
the client as a connection cut before the stated end.
"""

from __future__ import annotations

from winchdyke import interface as api
from winchdyke.interface import AttemptOutcome

CODES = {
    AttemptOutcome.SERVED: "served",
    AttemptOutcome.ERROR: "store-error",
    AttemptOutcome.SHED: "store-shed",
    AttemptOutcome.TIMED_OUT: "timed-out",
    AttemptOutcome.CONNECT_FAILED: "dial-failed",
    AttemptOutcome.CONNECTION_RESET: "store-reset",
    AttemptOutcome.CANCELLED: "cancelled",
    AttemptOutcome.NOT_SENT: "unsent",
}

REASONS = {
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


def final(
    action: api.ShedRequest | api.FailRequest, last: AttemptOutcome | None, time_up: bool
) -> tuple[int, str, str]:
    """The status, outcome and reason code of a final answer that the scheduler gave.

    ``last`` is the outcome of the last attempt (None: there was none).
    """
    reason = "held-out" if last is None else CODES[last]
    if isinstance(action, api.ShedRequest):
        return 503, "refused", reason
    return (504 if last is AttemptOutcome.TIMED_OUT or time_up else 502), "failed", reason
