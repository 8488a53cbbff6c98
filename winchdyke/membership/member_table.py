"""The table of all other members, and the rules for merging their records. Without I/O.

Records of one member are ordered by (generation, incarnation, state): a later generation wins, then a higher incarnation, then the
worse state, so that members that received the same records agree regardless of the order of arrival. Two rules take precedence
over gossip: only a member itself raises its incarnation; and a member from which a message was received directly a moment ago
becomes at most suspect on gossip of its death, so that it can refute it.
"""

from __future__ import annotations

import msgspec

from winchdyke.membership.datagrams import MemberRecord, MemberState, ReplayWindow
from winchdyke.membership.member import LinkState, Member, Suspicion
from winchdyke.membership.swim_config import SwimConfig


class MemberTable:
    """All members except the local one. Each change that is visible in a view raises ``version``."""

    def __init__(self, local_name: str, config: SwimConfig) -> None:
        self.local_name = local_name
        self.config = config
        self.members: dict[str, Member] = {}
        self.version = 0
        self.rejected_when_full = 0  # records of unknown members dropped because the table was full

    @property
    def active_count(self) -> int:
        """The number of members that are alive or suspect, the local one included."""
        return 1 + sum(member.is_active for member in self.members.values())

    def active_members(self) -> list[Member]:
        """Returns the members that are alive or suspect."""
        return [member for member in self.members.values() if member.is_active]

    def dead_members(self) -> list[Member]:
        """Returns the members that are dead."""
        return [member for member in self.members.values() if member.state is MemberState.DEAD]

    def apply(self, record: MemberRecord, now: float, reporter: str) -> Member | None:
        """Merges a record of another member; returns the member if the record changed it, else None.

        ``reporter`` is the sender of the record, or the local member.
        """
        member = self.members.get(record.name)
        if member is None:
            return self._add(record, now, reporter)
        if record.precedence <= member.record.precedence:
            self._confirm_suspicion(member, record, reporter)
            return None
        if record.generation > member.record.generation:
            member.reset_for_generation()
        elif self._contradicts_direct_evidence(member, record, now, reporter):
            # The reporter may have lost its link to the member, or be faulty.
            if member.state is MemberState.SUSPECT:
                self._confirm_suspicion(member, record, reporter)
                return None
            record = with_state(record, MemberState.SUSPECT, record.reported_by)
            if record.precedence <= member.record.precedence:
                return None
        self._replace_record(member, record, now, reporter)
        return member

    def accept_message(self, name: str, generation: int, message_counter: int, now: float) -> str:
        """Checks and records a message received directly from a member.

        Returns "" if it is accepted, else the reason for its rejection: ``earlier-life``, ``replay`` or ``flood``.
        """
        member = self.members.get(name)
        if member is None:
            return ""
        if generation < member.record.generation:
            return "earlier-life"
        if member.replay_window is None or member.replay_window.generation < generation:
            member.replay_window = ReplayWindow(generation)
        if generation < member.replay_window.generation:
            return "earlier-life"
        if not member.replay_window.accept(message_counter):
            return "replay"
        if not member.take_message_token(now):
            return "flood"
        if generation == member.record.generation:
            member.last_received_ms = now
        return ""

    def update_link(self, member: Member, link_state: LinkState, now: float) -> bool:
        """Stores the link state found by the last probe; returns whether it changed."""
        if member.link_state is link_state:
            return False
        member.link_state = link_state
        member.link_since_ms = now
        self.version += 1
        return True

    def expired_suspects(self, now: float) -> list[Member]:
        """Returns the suspects whose suspicion timeout has expired."""
        active_count = self.active_count
        return [member for member in self.members.values() if self._is_expired(member, active_count, now)]

    def mark_alive(self, member: Member, reporter: str, now: float) -> None:
        """Sets a member alive under its current incarnation, in this table only."""
        member.record = with_state(member.record, MemberState.ALIVE, reporter)
        member.suspicion = None
        member.state_since_ms = now
        self.version += 1

    def discount_pause(self, paused_ms: float) -> None:
        """Shifts the times of evidence and suspicions by a pause of this process, during which it received nothing."""
        for member in self.members.values():
            member.last_received_ms += paused_ms
            if member.suspicion is not None:
                member.suspicion.started_at_ms += paused_ms

    def remove_departed(self, now: float) -> list[str]:
        """Removes the members that have been dead or left for the retention time; returns their names."""
        departed = [
            name
            for name, member in self.members.items()
            if not member.is_active and now - member.state_since_ms >= self.config.departed_retention_ms
        ]
        for name in departed:
            del self.members[name]
            self.version += 1
        return departed

    def _add(self, record: MemberRecord, now: float, reporter: str) -> Member | None:
        """Adds a member; returns None if the table is full."""
        if len(self.members) >= self.config.max_members:
            self.rejected_when_full += 1
            return None
        member = Member(record, now, now)
        self.members[record.name] = member
        if record.state == MemberState.SUSPECT:
            member.suspicion = Suspicion(now, record.incarnation, {record.reported_by or reporter})
        self.version += 1
        return member

    def _replace_record(self, member: Member, record: MemberRecord, now: float, reporter: str) -> None:
        """Replaces a member's record. A suspicion ends with another state, and begins anew with a later incarnation."""
        before = member.record
        member.record = record
        if record.state != MemberState.SUSPECT:
            member.suspicion = None
        elif member.suspicion is None or member.suspicion.incarnation < record.incarnation:
            member.suspicion = Suspicion(now, record.incarnation, {record.reported_by or reporter})
        if before.state != record.state or before.generation != record.generation:
            member.state_since_ms = now
        if before.state == MemberState.ALIVE:
            member.unreachable_since_ms = now
        self.version += 1

    def _contradicts_direct_evidence(
        self, member: Member, record: MemberRecord, now: float, reporter: str
    ) -> bool:
        """Returns whether another member reports the death of a member that was received directly a moment ago."""
        if record.state != MemberState.DEAD or reporter == self.local_name:
            return False
        valid_ms = self.config.direct_evidence_intervals * self.config.probe_interval_ms
        return now - member.last_received_ms <= valid_ms

    def _confirm_suspicion(self, member: Member, record: MemberRecord, reporter: str) -> None:
        """Counts a report of the suspected generation and incarnation as a confirmation, by its reporter."""
        suspicion = member.suspicion
        if suspicion is None or record.state not in (MemberState.SUSPECT, MemberState.DEAD):
            return
        if record.precedence[:2] != member.record.precedence[:2]:
            return
        if len(suspicion.suspected_by) <= self.config.max_confirmations:
            suspicion.suspected_by.add(record.reported_by or reporter)

    def _is_expired(self, member: Member, active_count: int, now: float) -> bool:
        """Returns whether a suspicion has lasted its timeout, which its confirmations shorten."""
        suspicion = member.suspicion
        if suspicion is None or member.state is not MemberState.SUSPECT:
            return False
        timeout_ms = self.config.suspicion_timeout_ms(active_count, suspicion.confirmation_count)
        return now - suspicion.started_at_ms >= timeout_ms


def with_state(record: MemberRecord, state: MemberState, reported_by: str) -> MemberRecord:
    """Returns the record with another state, as reported by a member."""
    return msgspec.structs.replace(record, state=int(state), reported_by=reported_by)
