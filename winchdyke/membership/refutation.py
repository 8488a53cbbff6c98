"""Refutation: handles records about this member, and other processes that use its name. Without I/O.

A suspicion of this process is refuted by a higher incarnation. A record of a later generation under this name comes from an
earlier process whose clock was ahead, or from another process that is running; a ping to its address distinguishes the two.
"""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.membership import datagrams
from winchdyke.membership.datagrams import MemberRecord, MemberState, MessageKind, SwimMessage
from winchdyke.membership.events import MessageReceived, ReplyToStateExchange, SendDatagram, StopMembership
from winchdyke.membership.swim_context import SwimContext


@dataclass(frozen=True, slots=True)
class _NameConflict:
    """A process with a later generation under this name, until it answers or the ping times out."""

    request_id: int
    generation: int
    expires_at_ms: float


class Refutation:
    """Refutes suspicions of this process, and resolves conflicts about its name."""

    def __init__(self, context: SwimContext) -> None:
        self._context = context
        self._conflict: _NameConflict | None = None

    def is_conflict_ping(self, request_id: int) -> bool:
        """Returns whether a request id belongs to the ping that resolves a name conflict."""
        return self._conflict is not None and self._conflict.request_id == request_id

    def run_timers(self) -> None:
        """Starts a later generation if the other process of this name did not answer in time."""
        conflict = self._conflict
        if conflict is not None and self._context.now >= conflict.expires_at_ms:
            self._conflict = None
            self._context.start_generation_after(conflict.generation)

    def handle_record(self, record: MemberRecord, reporter: str) -> None:
        """Handles a record about this member."""
        context = self._context
        if record.generation < context.generation:
            context.counts["accused-earlier-life"] += 1
            return
        if record.generation > context.generation:
            self._handle_later_generation(record)
            return
        if record.state == MemberState.ALIVE or record.incarnation < context.incarnation:
            return
        self._refute(record, reporter)

    def handle_message_under_own_name(self, event: MessageReceived) -> None:
        """Handles a message whose sender has this member's name: another process, or a reflected message."""
        context = self._context
        message = event.message
        if message.generation == context.generation:
            context.counts["own"] += 1
            return
        if message.generation > context.generation:
            self.stop_in_favour_of(event.address)
            return
        if message.kind in (MessageKind.PING, MessageKind.STATE_EXCHANGE):
            self._answer_earlier_process(event)
        context.counts["namesake"] += 1

    def stop_in_favour_of(self, address: str) -> None:
        """Stops this process's membership: a later process of this name runs at ``address``."""
        context = self._context
        name = context.local.name
        context.report(
            "superseded",
            name,
            f"a later process with this name runs at {address}: this one leaves the fleet",
        )
        context.actions.append(StopMembership(f"a later process named {name} runs at {address}"))
        context.has_left = True

    def _refute(self, record: MemberRecord, reporter: str) -> None:
        """Refutes a suspicion or death of this member with a higher incarnation, and pings those that reported it."""
        context = self._context
        if record.incarnation >= datagrams.MAX_INTEGER:
            context.start_generation_after(context.generation)
        else:
            context.incarnation = record.incarnation + 1
        context.local_health.degrade()
        context.counts["refuted"] += 1
        context.report("refuted", record.reported_by or reporter, MemberState(record.state).name.lower())
        context.gossip.enqueue(context.local_record())
        for name in self._accusers(record, reporter):
            context.send(name, MessageKind.PING, context.new_request_id())

    def _accusers(self, record: MemberRecord, reporter: str) -> set[str]:
        """Returns the member that passed a report on, and the one that it names as its origin if that is active."""
        accuser = self._context.table.members.get(record.reported_by)
        if accuser is None or not accuser.is_active:
            return {reporter}
        return {reporter, accuser.name}

    def _handle_later_generation(self, record: MemberRecord) -> None:
        """Takes a later generation than the record's; if another process may run at its address, that is pinged first."""
        context = self._context
        if record.state != MemberState.ALIVE or record.address == context.local.address:
            context.start_generation_after(record.generation)
            return
        if self._conflict is not None:
            return
        request_id = context.new_request_id()
        expires_at_ms = context.now + context.config.probe_interval_ms * 2
        self._conflict = _NameConflict(request_id, record.generation, expires_at_ms)
        message = context.build_message(context.local.name, MessageKind.PING, request_id)
        context.actions.append(SendDatagram(record.address, message))

    def _answer_earlier_process(self, event: MessageReceived) -> None:
        """Answers an earlier process of this name; the later generation in the answer makes it leave."""
        context = self._context
        reply: SwimMessage = context.build_message(
            context.local.name, MessageKind.ACK, event.message.request_id
        )
        if event.is_state_exchange:
            context.actions.append(ReplyToStateExchange(reply))
        else:
            context.actions.append(SendDatagram(event.address, reply))
