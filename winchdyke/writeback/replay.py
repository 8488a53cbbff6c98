"""What may be done with a write that may have reached its store, so that nothing takes effect twice. Pure.

A record's attempt may have run where it was sent and no whole answer came (``gateway/outcomes.py``), and also where the
gateway was killed while it was out: the log cannot know. Then, in this order:

1. within the rack's memory of its key it is sent again under that key: the rack gives the first one's answer;
2. a write that carries a condition (``If-Match``, ``If-None-Match``) is sent again at any time: where it has run its
   condition no longer holds, and ``412`` is looked into as the next case is;
3. a store that tells what it holds is asked: the object's tag is the write's own (it has run), the one it had when the
   record was made (it has not, and goes with ``If-Match`` on that), or another one (somebody wrote since: whether
   before or after can't be told);
4. else it is kept and reported, and nothing is guessed.

A margin is left for the way to the store: a repeat has to arrive while it is still known.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

DEDUPLICATION_MARGIN_MS = 250.0  # of the memory that is not counted on: queues, clocks and the way there


class ReplayAction(enum.Enum):
    """What to do with a record."""

    SEND = "send it: it was never out"
    RESEND_WITH_KEY = "send it again under its key"
    RESEND_CONDITIONALLY = "send it again: its condition lets it take effect once"
    QUERY_STORE = "ask the store what it holds"
    QUARANTINE = "keep it, and report it"


class StoredContent(enum.Enum):
    """What a store said it holds, beside what the record knows."""

    OWN = "the write's own content"
    PREVIOUS = "what was there when the record was made"
    OTHER = "something else"


@dataclass(frozen=True, slots=True)
class AttemptHistory:
    """What is known of a record's attempts.

    ``first_sent_ms``: when the first one that may have run was sent, by the gateway's clock.
    """

    first_sent_ms: float | None = None
    same_process: bool = True  # a clock of another process says nothing here


def choose_action(
    sent: AttemptHistory,
    now: float,
    deduplication_ms: float,
    has_key: bool,
    has_condition: bool,
    reports_etag: bool,
) -> ReplayAction:
    """How a record goes on. ``reports_etag``: whether its store says the tag of what it holds."""
    if sent.first_sent_ms is None:
        return ReplayAction.SEND
    if (
        has_key
        and sent.same_process
        and now < sent.first_sent_ms + deduplication_ms - DEDUPLICATION_MARGIN_MS
    ):
        return ReplayAction.RESEND_WITH_KEY
    if has_condition:
        return ReplayAction.RESEND_CONDITIONALLY
    return ReplayAction.QUERY_STORE if reports_etag else ReplayAction.QUARANTINE


def action_for_content(content: StoredContent) -> ReplayAction | None:
    """What follows from the store's answer; None: it has run, and the record is done."""
    if content is StoredContent.OWN:
        return None
    return ReplayAction.RESEND_CONDITIONALLY if content is StoredContent.PREVIOUS else ReplayAction.QUARANTINE
