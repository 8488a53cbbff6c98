"""Chooses how to replay a write that may have reached its store, so that no write takes effect twice. Without I/O.

An attempt of a record may have been executed if no complete response arrived (``gateway/outcomes.py``), or if the gateway
was killed while the attempt was in flight: the log can't tell. The first of these rules that applies is used:

1. Within the deduplication window of its idempotency key, the write is sent again under that key: a store that
   remembers the key replies with the response of the first attempt.
2. A write with a precondition (``If-Match``, ``If-None-Match``) may be sent again at any time: if it has been executed, its
   precondition no longer holds, and a ``412`` is resolved as in the next rule.
3. A store that reports the ETag of its object is queried. The write's own ETag means that it has been executed. The ETag
   that was stored when the record was made means that it hasn't, and it is sent with ``If-Match`` on that ETag. Any other
   ETag means that another write has happened since, and whether it came before or after this one is unknown.
4. Otherwise the record is quarantined and reported; nothing is guessed.

The window is shortened by a margin for transmission: a repeat has to arrive while the store still remembers its key.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

# The part of the deduplication window that is not used, to allow for queues, clock differences and transmission.
DEDUPLICATION_MARGIN_MS = 250.0


class ReplayAction(enum.Enum):
    """What to do with a record next."""

    SEND = "send it: it was never out"
    RESEND_WITH_KEY = "send it again under its key"
    RESEND_CONDITIONALLY = "send it again: its condition lets it take effect once"
    QUERY_STORE = "ask the store what it holds"
    QUARANTINE = "keep it, and report it"


class StoredContent(enum.Enum):
    """What a store holds at a record's key, by the ETags that the record knows."""

    OWN = "the write's own content"
    PREVIOUS = "what was there when the record was made"
    OTHER = "something else"


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """The attempts of a record so far.

    Attributes:
        first_sent_ms: Time at which the first attempt that may have been executed was sent, by the gateway's monotonic
            clock; None without such an attempt.
        same_process: Whether this process sent it; clock readings of another process can't be compared.
    """

    first_sent_ms: float | None = None
    same_process: bool = True


def choose_action(
    history: AttemptHistory,
    now_ms: float,
    deduplication_ms: float,
    has_key: bool,
    has_condition: bool,
    reports_etag: bool,
) -> ReplayAction:
    """Chooses the next action for a record. ``reports_etag``: whether its store reports the ETag of its objects."""
    if history.first_sent_ms is None:
        return ReplayAction.SEND
    if (
        has_key
        and history.same_process
        and now_ms < history.first_sent_ms + deduplication_ms - DEDUPLICATION_MARGIN_MS
    ):
        return ReplayAction.RESEND_WITH_KEY
    if has_condition:
        return ReplayAction.RESEND_CONDITIONALLY
    return ReplayAction.QUERY_STORE if reports_etag else ReplayAction.QUARANTINE


def action_for_content(content: StoredContent) -> ReplayAction | None:
    """Chooses the action that follows from a store's content; None if the write has been executed and is done."""
    if content is StoredContent.OWN:
        return None
    return ReplayAction.RESEND_CONDITIONALLY if content is StoredContent.PREVIOUS else ReplayAction.QUARANTINE
