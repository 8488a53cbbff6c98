"""Dissemination: merges records into the table, gossips the changes, and reports them to operators. Without I/O."""

from __future__ import annotations

from collections.abc import Callable

from winchdyke.membership.datagrams import MemberRecord, MemberState
from winchdyke.membership.member import Member
from winchdyke.membership.refutation import Refutation
from winchdyke.membership.swim_context import SwimContext

_STATE_CODES = {
    MemberState.ALIVE: "alive",
    MemberState.SUSPECT: "suspect",
    MemberState.DEAD: "dead",
    MemberState.LEFT: "left",
}


class Dissemination:
    """Applies every record once, whether it was received or created by this member."""

    def __init__(
        self, context: SwimContext, refutation: Refutation, on_member_dead: Callable[[], None]
    ) -> None:
        self._context = context
        self._refutation = refutation
        self._on_member_dead = on_member_dead

    def apply(self, record: MemberRecord, reporter: str) -> None:
        """Merges a record received from ``reporter``, and queues it for gossip if it changed the table."""
        context = self._context
        if record.name == context.local.name:
            self._refutation.handle_record(record, reporter)
            return
        known = context.table.members.get(record.name)
        before = None if known is None else known.record
        member = context.table.apply(record, context.now, reporter)
        if member is None:
            return
        context.gossip.enqueue(member.record)
        if before is None:
            self._report_found(member, reporter)
        else:
            self._report_change(before, member, reporter)
        if member.state is MemberState.DEAD:
            self._on_member_dead()

    def _report_found(self, member: Member, reporter: str) -> None:
        context = self._context
        record = member.record
        if member.is_active:
            context.report("found", member.name, f"at {record.address}, received from {reporter}")
        if record.index >= context.local.gateway_count > 0:
            context.report(
                "index-unknown", member.name, f"index {record.index}, of {context.local.gateway_count}"
            )

    def _report_change(self, before: MemberRecord, member: Member, reporter: str) -> None:
        context = self._context
        record = member.record
        if record.generation > before.generation:
            context.report("started-anew", member.name)
        if record.address != before.address:
            context.report("moved", member.name, f"from {before.address} to {record.address}")
        if record.state != before.state:
            text = f"by {record.reported_by or member.name}, received from {reporter}"
            context.report(_STATE_CODES[member.state], member.name, text)
