"""The local state of one other member: its record, direct evidence, suspicion and link state. Without I/O."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from winchdyke.membership.datagrams import MemberRecord, MemberState, ReplayWindow

NEVER_MS = -1e18  # the time of an event that never happened; earlier than any clock value minus any timeout
MAX_MESSAGES_PER_SECOND = 500.0  # rate and burst for one member; about fifty times what SWIM needs


class LinkState(Enum):
    """The directions of the link to a member that work, according to the last direct probe. Operators see the values."""

    UNTRIED = "untried"
    BIDIRECTIONAL = "both"
    OUTBOUND_DOWN = "deaf"  # messages from the member arrive, messages to it do not
    INBOUND_DOWN = "mute"  # messages to the member arrive, messages from it do not
    UNREACHABLE = "cut"  # neither direction works, though other members reach it


@dataclass
class Suspicion:
    """A suspicion whose timeout is running."""

    started_at_ms: float
    incarnation: int
    suspected_by: set[str] = field(default_factory=set)

    @property
    def confirmation_count(self) -> int:
        """The number of members that confirmed it, without the one that raised it."""
        return max(0, len(self.suspected_by) - 1)


@dataclass
class Member:
    """Another member. Times are ms on the local monotonic clock."""

    record: MemberRecord
    state_since_ms: float
    unreachable_since_ms: float = 0.0  # time at which it stopped being alive
    last_received_ms: float = NEVER_MS  # time of the last direct message from its current generation
    last_ack_ms: float = NEVER_MS  # time of the last ack of a direct probe
    link_state: LinkState = LinkState.UNTRIED
    link_since_ms: float = 0.0
    suspicion: Suspicion | None = None
    replay_window: ReplayWindow | None = None
    message_tokens: float = MAX_MESSAGES_PER_SECOND  # tokens left in the bucket that limits its message rate
    tokens_updated_at_ms: float = NEVER_MS

    @property
    def name(self) -> str:
        """The member's name."""
        return self.record.name

    @property
    def state(self) -> MemberState:
        """The member's state."""
        return MemberState(self.record.state)

    @property
    def is_active(self) -> bool:
        """Whether it is alive or suspect."""
        return self.record.state <= MemberState.SUSPECT

    @property
    def was_received(self) -> bool:
        """Whether a message was ever received directly from its current generation."""
        return self.last_received_ms >= NEVER_MS / 10

    def take_message_token(self, now: float) -> bool:
        """Takes a token for one received message; returns False if the member exceeds its message rate."""
        refill = MAX_MESSAGES_PER_SECOND * max(0.0, now - self.tokens_updated_at_ms) / 1000
        self.message_tokens = min(MAX_MESSAGES_PER_SECOND, self.message_tokens + refill)
        self.tokens_updated_at_ms = now
        if self.message_tokens < 1:
            return False
        self.message_tokens -= 1
        return True

    def reset_for_generation(self) -> None:
        """Clears the evidence, which belongs to an earlier process of this name."""
        self.last_received_ms = NEVER_MS
        self.last_ack_ms = NEVER_MS
        self.link_state = LinkState.UNTRIED
        self.suspicion = None
