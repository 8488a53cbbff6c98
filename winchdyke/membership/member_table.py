"""What is believed of each member, and what wins where words differ. Pure.

Words are ordered by (life, incarnation, state): a later life wins, then a higher incarnation, then the worse word, so that all
who have heard the same believe the same in whatever order it came. Two things stand above hearsay: a member speaks for itself
(only it raises its incarnation), and sight: who heard a member directly a moment ago holds others' word of its death for a
suspicion, and tells the member, which refutes it for all.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import msgspec

from winchdyke.membership.datagrams import MemberRecord, MemberState, ReplayWindow
from winchdyke.membership.swim_config import SwimConfig

MAX_MESSAGES_PER_SECOND = (
    500.0  # messages at once, and a second, that one member may send: some fifty times what it needs
)


class LinkState(Enum):
    """How a member and this one hear each other, by the last direct probe."""

    UNTRIED = "untried"
    BIDIRECTIONAL = "both"
    OUTBOUND_LOST = "deaf"  # heard here, and does not hear this one
    INBOUND_LOST = "mute"  # hears this one, and is not heard here
    UNREACHABLE = "cut"  # neither, though others reach it


@dataclass
class Suspicion:
    """A suspicion under way."""

    started_at_ms: float
    incarnation: int
    suspected_by: set[str] = field(default_factory=set)

    @property
    def confirmation_count(self) -> int:
        """How many others share it with the first."""
        return max(0, len(self.suspected_by) - 1)


@dataclass
class Member:
    """One other member."""

    record: MemberRecord
    state_since_ms: float  # of its state
    unreachable_since_ms: float = 0.0  # since when it has not been alive
    last_received_ms: float = -1e18  # last datagram straight from it, of its present life
    last_ack_ms: float = -1e18  # last answer to a direct probe
    link_state: LinkState = LinkState.UNTRIED
    link_since_ms: float = 0.0
    suspicion: Suspicion | None = None
    replay_window: ReplayWindow | None = None
    message_tokens: float = MAX_MESSAGES_PER_SECOND  # messages that it may still send now
    tokens_updated_at_ms: float = -1e18

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
        """Whether it counts: alive or suspect."""
        return self.record.state <= MemberState.SUSPECT


class MemberTable:
    """All members but the own."""

    def __init__(self, own: str, bounds: SwimConfig) -> None:
        self.local_name, self.config = own, bounds
        self.members: dict[str, Member] = {}
        self.version = 0
        self.rejected_when_full = 0  # entries passed over since the book was full

    @property
    def active_count(self) -> int:
        """Members that count, the own among them."""
        return 1 + sum(member.is_active for member in self.members.values())

    def active_members(self) -> list[Member]:
        """Those that count."""
        return [member for member in self.members.values() if member.is_active]

    def apply(self, entry: MemberRecord, now: float, teller: str) -> Member | None:
        """Take in a word on another member; the member where what is believed of it has changed, else None.

        ``teller`` is who said it: this one itself, or who sent the message.
        """
        member = self.members.get(entry.name)
        if member is None:
            if len(self.members) >= self.config.max_members:
                self.rejected_when_full += 1
                return None
            member = self.members[entry.name] = Member(entry, now, now)
            if entry.state == MemberState.SUSPECT:
                member.suspicion = Suspicion(now, entry.incarnation, {entry.reported_by or teller})
            return self._mark_changed(member)
        if entry.precedence <= member.record.precedence:
            self._confirm_suspicion(member, entry, teller)
            return None
        if entry.generation > member.record.generation:
            self._reset_for_generation(member)
        elif (
            entry.state == MemberState.DEAD
            and teller != self.local_name
            and self._has_direct_evidence(member, now)
        ):
            # Guards against a death that others believe because they are cut off from it, or lie. It hurts by the time of one
            # suspicion where the member died just after it was heard.
            if member.state is MemberState.SUSPECT:
                self._confirm_suspicion(member, entry, teller)
                return None
            entry = with_state(entry, MemberState.SUSPECT, entry.reported_by)
            if entry.precedence <= member.record.precedence:
                return None
        before = member.record
        member.record = entry
        if entry.state == MemberState.SUSPECT:
            if member.suspicion is None or member.suspicion.incarnation < entry.incarnation:
                member.suspicion = Suspicion(now, entry.incarnation, {entry.reported_by or teller})
        else:
            member.suspicion = None
        if before.state != entry.state or before.generation != entry.generation:
            member.state_since_ms = now
        if before.state == MemberState.ALIVE:
            member.unreachable_since_ms = now
        return self._mark_changed(member)

    def accept_message(self, name: str, life: int, counter: int, now: float) -> str:
        """A message straight from a member; why it does not count, or "" where it does."""
        member = self.members.get(name)
        if member is None:
            return ""
        if life < member.record.generation:
            return "earlier-life"
        if member.replay_window is None or member.replay_window.generation < life:
            member.replay_window = ReplayWindow(life)
        if life < member.replay_window.generation:
            return "earlier-life"
        if not member.replay_window.accept(counter):
            return "replay"
        # Guards against one member, faulty or hostile, that keeps this process busy. It hurts nobody who behaves.
        member.message_tokens = min(
            MAX_MESSAGES_PER_SECOND,
            member.message_tokens
            + MAX_MESSAGES_PER_SECOND * max(0.0, now - member.tokens_updated_at_ms) / 1000,
        )
        member.tokens_updated_at_ms = now
        if member.message_tokens < 1:
            return "flood"
        member.message_tokens -= 1
        if life == member.record.generation:
            member.last_received_ms = now
        return ""

    def update_link(self, member: Member, link: LinkState, now: float) -> bool:
        """How the last probe found the way to a member; whether that is news."""
        if member.link_state is link:
            return False
        member.link_state, member.link_since_ms = link, now
        self.version += 1
        return True

    def expired_suspects(self, now: float) -> list[Member]:
        """Suspects whose time to refute is over."""
        size, found = self.active_count, list[Member]()
        for member in self.members.values():
            suspicion = member.suspicion
            if suspicion is None or member.state is not MemberState.SUSPECT:
                continue
            if now - suspicion.started_at_ms >= self.config.suspicion_timeout_ms(
                size, suspicion.confirmation_count
            ):
                found.append(member)
        return found

    def discount_pause(self, by: float) -> None:
        """This process slept: nobody is judged by what it missed meanwhile."""
        for member in self.members.values():
            member.last_received_ms += by
            if member.suspicion is not None:
                member.suspicion.started_at_ms += by

    def remove_departed(self, now: float) -> list[str]:
        """Drop those who have been dead or gone for long."""
        old = [
            name
            for name, member in self.members.items()
            if not member.is_active and now - member.state_since_ms >= self.config.departed_retention_ms
        ]
        for name in old:
            del self.members[name]
            self.version += 1
        return old

    def _has_direct_evidence(self, member: Member, now: float) -> bool:
        return (
            now - member.last_received_ms
            <= self.config.direct_evidence_intervals * self.config.probe_interval_ms
        )

    def _confirm_suspicion(self, member: Member, entry: MemberRecord, teller: str) -> None:
        suspicion = member.suspicion
        same = entry.generation == member.record.generation and entry.incarnation == member.record.incarnation
        accused = same and entry.state in (MemberState.SUSPECT, MemberState.DEAD)
        if suspicion is not None and accused and len(suspicion.suspected_by) <= self.config.max_confirmations:
            suspicion.suspected_by.add(entry.reported_by or teller)

    def _reset_for_generation(self, member: Member) -> None:
        member.last_received_ms = member.last_ack_ms = -1e18
        member.link_state, member.suspicion = LinkState.UNTRIED, None

    def _mark_changed(self, member: Member) -> Member:
        self.version += 1
        return member


def with_state(entry: MemberRecord, state: MemberState, by: str) -> MemberRecord:
    """The same member in another state, by somebody's word."""
    return msgspec.structs.replace(entry, state=int(state), by=by)
