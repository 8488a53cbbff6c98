"""Suspicion: a member that does not answer becomes suspect, and dead unless it refutes in time. Without I/O."""

from __future__ import annotations

from winchdyke.membership.datagrams import MemberState, MessageKind
from winchdyke.membership.dissemination import Dissemination
from winchdyke.membership.member import Member
from winchdyke.membership.member_table import with_state
from winchdyke.membership.swim_context import SwimContext


class SuspicionMonitor:
    """Raises and confirms suspicions, and ends them by timeout or by direct evidence."""

    def __init__(self, context: SwimContext, dissemination: Dissemination) -> None:
        self._context = context
        self._dissemination = dissemination

    def suspect(self, member: Member) -> None:
        """Suspects a member whose probe failed, or confirms an existing suspicion of it."""
        if member.state is MemberState.ALIVE:
            self._set_state(member, MemberState.SUSPECT)
        elif member.suspicion is not None:
            member.suspicion.suspected_by.add(self._context.local.name)

    def record_direct_evidence(self, member: Member) -> None:
        """Records that a member answered a request of this member: its current generation runs, whatever others report."""
        if member.state is MemberState.SUSPECT and member.suspicion is not None:
            # The member clears the suspicion at all members by refuting it once it has received it.
            member.suspicion.started_at_ms = self._context.now
        elif member.state is MemberState.DEAD:
            # The first record of the ping informs the member that it is considered dead.
            request_id = self._context.new_request_id()
            self._context.send(member.name, MessageKind.PING, request_id, first=member.record)

    def run_timers(self) -> None:
        """Expires the suspicions whose timeout has passed."""
        for member in self._context.table.expired_suspects(self._context.now):
            self.expire(member)

    def expire(self, member: Member) -> None:
        """Ends a suspicion: the member is dead unless a message or an ack of it arrived since the suspicion began."""
        suspicion = member.suspicion
        assert suspicion is not None
        started_at_ms = suspicion.started_at_ms
        if member.last_ack_ms >= started_at_ms or member.last_received_ms >= started_at_ms:
            self._clear(member)
            return
        self._set_state(member, MemberState.DEAD)

    def _set_state(self, member: Member, state: MemberState) -> None:
        """Merges a member's record with another state, as reported by the local member."""
        local_name = self._context.local.name
        self._dissemination.apply(with_state(member.record, state, local_name), local_name)

    def _clear(self, member: Member) -> None:
        """Sets a member alive in the local table only: it has to refute the suspicion itself for other members."""
        context = self._context
        context.table.mark_alive(member, context.local.name, context.now)
        context.gossip.discard(member.name)
        context.report("alive", member.name, "received here while other members suspect it")
