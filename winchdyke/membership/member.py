"""What this member knows of one other member: its record, the evidence for it, and the link to it. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from winchdyke.membership.datagrams import MemberRecord, MemberState, ReplayWindow

NEVER_MS = -1e18  # the time of an event that has not happened; earlier than any clock minus any timeout
MAX_MESSAGES_PER_SECOND = 500.0  # from one member, and in one burst; some fifty times what SWIM needs


class LinkState(Enum):
    """Which directions of the link to a member work, by the last direct probe. Values are shown to operators."""

    UNTRIED = "untried"
    BIDIRECTIONAL = "both"
    OUTBOUND_DOWN = "deaf"  # the member is received here, and does not receive this one
    INBOUND_DOWN = "mute"  # the member receives this one, and is not received here
    UNREACHABLE = "cut"  # neither direction works, though other members reach it


@dataclass
class Suspicion:
    """A suspicion whose timeout is running."""

    started_at_ms: float
    incarnation: int
    suspected_by: set[str] = field(default_factory=set)

    @property
    def confirmation_count(self) -> int:
        """How many members confirmed it beside the one that raised it."""
        return max(0, len(self.suspected_by) - 1)


@dataclass
class Member:
    """Another member. Times are ms on the local monotonic clock."""

    record: MemberRecord
    state_since_ms: float
    unreachable_since_ms: float = 0.0  # since when it has not been alive
    last_received_ms: float = NEVER_MS  # last message directly from its present generation
    last_ack_ms: float = NEVER_MS  # last ack of a direct probe
    link_state: LinkState = LinkState.UNTRIED
    link_since_ms: float = 0.0
    suspicion: Suspicion | None = None
    replay_window: ReplayWindow | None = None
    message_tokens: float = MAX_MESSAGES_PER_SECOND  # of the token bucket that bounds its messages
    tokens_updated_at_ms: float = NEVER_MS

    @property
    def name(self) -> str:
        """Its name."""
        return self.record.name

    @property
    def state(self) -> MemberState:
        """Its state."""
        return MemberState(self.record.state)

    @property
    def is_active(self) -> bool:
        """Whether it is alive or suspect."""
        return self.record.state <= MemberState.SUSPECT

    @property
    def was_received(self) -> bool:
        """Whether a message ever came directly from its present generation."""
        return self.last_received_ms >= NEVER_MS / 10

    def take_message_token(self, now: float) -> bool:
        """Take a token for one received message; return False where the member sends too many."""
        refill = MAX_MESSAGES_PER_SECOND * max(0.0, now - self.tokens_updated_at_ms) / 1000
        self.message_tokens = min(MAX_MESSAGES_PER_SECOND, self.message_tokens + refill)
        self.tokens_updated_at_ms = now
        if self.message_tokens < 1:
            return False
        self.message_tokens -= 1
        return True

    def reset_for_generation(self) -> None:
        """Forget the evidence that belongs to an earlier process of this name."""
        self.last_received_ms = NEVER_MS
        self.last_ack_ms = NEVER_MS
        self.link_state = LinkState.UNTRIED
        self.suspicion = None
