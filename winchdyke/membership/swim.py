"""The SWIM membership protocol with Lifeguard's extensions, as a pure state machine.

:class:`SwimProtocol` takes events with the time (ms, monotonic) and returns actions. It runs its parts in a fixed order; the
decisions are made in :mod:`probing`, :mod:`suspicion`, :mod:`refutation`, :mod:`dissemination` and :mod:`state_exchange`.
``docs/fleet.md`` states its guarantees and their time bounds.
"""

from __future__ import annotations

from collections import Counter
from typing import ClassVar

from winchdyke.membership.datagrams import MemberState, MessageKind, SwimMessage
from winchdyke.membership.dissemination import Dissemination
from winchdyke.membership.events import (
    Action,
    Event,
    LocalMember,
    MessageReceived,
    ReplyToStateExchange,
    SendDatagram,
)
from winchdyke.membership.local_health import LocalHealth
from winchdyke.membership.member_table import MemberTable, with_state
from winchdyke.membership.pause_detector import PauseDetector
from winchdyke.membership.probing import Prober
from winchdyke.membership.refutation import Refutation
from winchdyke.membership.state_exchange import ReconnectSchedule, StateExchanges
from winchdyke.membership.suspicion import SuspicionMonitor
from winchdyke.membership.swim_config import SwimConfig
from winchdyke.membership.swim_context import SwimContext
from winchdyke.membership.view import MembershipView, detect_outage, member_view

MAX_TURN_GAP_MS = 100.0  # the longest time between turns, so that timers run
LEAVE_FANOUT = 3  # members to which a leave is sent directly


class SwimProtocol:
    """The membership protocol of one process."""

    # Benchmarks and tests replace these by variants.
    refutation_type: ClassVar[type[Refutation]] = Refutation
    dissemination_type: ClassVar[type[Dissemination]] = Dissemination
    suspicion_type: ClassVar[type[SuspicionMonitor]] = SuspicionMonitor
    prober_type: ClassVar[type[Prober]] = Prober

    def __init__(self, local: LocalMember, config: SwimConfig, seed: int, now: float) -> None:
        context = SwimContext(local, config, seed, now)
        first_probe_ms = now + context.random.random() * config.probe_interval_ms
        reconnect = ReconnectSchedule(context)
        self.context = context
        self.pause_detector = PauseDetector(now, config.min_pause_ms)
        self.refutation = self.refutation_type(context)
        self.dissemination = self.dissemination_type(context, self.refutation, reconnect.expedite_dead)
        self.suspicion = self.suspicion_type(context, self.dissemination)
        self.exchanges = StateExchanges(
            context, reconnect, self.refutation, self.dissemination, self.suspicion
        )
        self.prober = self.prober_type(context, self.suspicion, self.exchanges, first_probe_ms)
        self._view: MembershipView | None = None

    @property
    def local(self) -> LocalMember:
        """The identity and addresses of this member at startup."""
        return self.context.local

    @property
    def table(self) -> MemberTable:
        """All other members."""
        return self.context.table

    @property
    def counts(self) -> Counter[str]:
        """Event counters by name."""
        return self.context.counts

    @property
    def local_health(self) -> LocalHealth:
        """The local health score."""
        return self.context.local_health

    @property
    def generation(self) -> int:
        """The generation of this process under its name."""
        return self.context.generation

    @property
    def incarnation(self) -> int:
        """The number of refutations in this generation."""
        return self.context.incarnation

    @property
    def has_left(self) -> bool:
        """Whether this member left; events have no effect any more."""
        return self.context.has_left

    @property
    def seeds(self) -> tuple[str, ...]:
        """The addresses of the seeds."""
        return self.exchanges.seeds

    @property
    def address_overrides(self) -> dict[str, str]:
        """The addresses, by member name, that replace the advertised ones."""
        return self.context.address_overrides

    @property
    def next_turn_ms(self) -> float:
        """The latest time for the next call of :meth:`handle`."""
        return min(self.context.now + MAX_TURN_GAP_MS, self.prober.next_probe_ms)

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Handles events and expired timers; returns the actions to carry out, none after :meth:`leave`."""
        actions = self.context.begin_turn(now)
        paused_ms = self.pause_detector.check(now)
        if paused_ms:
            self._handle_pause(paused_ms)
        if not self.context.has_left:
            for event in events:
                self._handle_event(event)
            self._run_timers()
        self.pause_detector.expect_turn_by(max(now, self.next_turn_ms))
        return actions

    def leave(self, now: float) -> list[Action]:
        """Notifies some members that this one leaves; they gossip it."""
        context = self.context
        actions = context.begin_turn(now)
        if context.has_left:
            return []
        context.has_left = True
        record = with_state(context.local_record(), MemberState.LEFT, context.local.name)
        active_members = context.table.active_members()
        for member in context.random.sample(active_members, min(LEAVE_FANOUT, len(active_members))):
            context.send(member.name, MessageKind.PING, records=[record])
        context.report("left")
        return actions

    def update_addresses(
        self, seeds: tuple[str, ...], address_overrides: dict[str, str], soon: bool = True
    ) -> None:
        """Replaces the seeds and the address overrides.

        A seed is contacted soon if ``soon`` is set or no member is active, else at the next scheduled time.
        """
        self.exchanges.seeds = seeds
        self.context.address_overrides = dict(address_overrides)
        if soon or not self.context.table.active_members():
            self.exchanges.reconnect.expedite_seed()

    def view(self, now: float) -> MembershipView:
        """Returns a snapshot of the membership; the same object until a member changes."""
        context = self.context
        table = context.table
        if self._view is None or self._view.version != table.version:
            members = sorted(table.members.values(), key=lambda member: member.name)
            self._view = MembershipView(
                local_name=context.local.name,
                version=table.version,
                created_at_ms=now,
                zone=context.local.zone,
                members=tuple(member_view(member, context.local.gateway_count) for member in members),
                outage=detect_outage(members, context.local.zone),
                local_health_score=context.local_health.score,
                is_isolated=context.is_isolated,
            )
        return self._view

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, MessageReceived):
            self._handle_message(event)
            return
        sender = self.exchanges.finish(event)
        if sender:
            self.prober.handle_state_exchange(event.request_id, sender)

    def _handle_message(self, event: MessageReceived) -> None:
        """Merges the records of a message that is accepted, the sender's own first, and handles it by its kind."""
        context = self.context
        message = event.message
        context.counts["arrived"] += 1
        if message.recipient not in ("", context.local.name):
            # The sender expects another member at this address; without an answer it detects that the member is gone.
            context.counts["misaddressed"] += 1
            return
        if message.sender == context.local.name:
            self.refutation.handle_message_under_own_name(event)
            return
        if not self._accept(message):
            return
        context.report_first_contact(message.sender)
        for record in message.records:
            if record.name != message.sender:
                self.dissemination.apply(record, message.sender)
        self._dispatch(event)

    def _accept(self, message: SwimMessage) -> bool:
        """Returns whether a message is accepted; the sender's own record is merged first, which adds it to the table."""
        context = self.context
        for record in message.records:
            if record.name == message.sender:
                self.dissemination.apply(record, message.sender)
        rejection = context.table.accept_message(
            message.sender, message.generation, message.message_counter, context.now
        )
        if rejection:
            context.counts[rejection] += 1
            return False
        return True

    def _dispatch(self, event: MessageReceived) -> None:
        """Handles an accepted message by its kind. A state exchange is answered only over TCP."""
        context = self.context
        message = event.message
        if message.kind == MessageKind.PING:
            self._send_ack(event)
        elif message.kind == MessageKind.PING_REQ:
            self.prober.handle_ping_req(message)
        elif message.kind in (MessageKind.ACK, MessageKind.NACK):
            if not self.refutation.is_conflict_ping(message.request_id):
                self.prober.handle_answer(message)
        elif message.kind == MessageKind.STATE_EXCHANGE and event.is_state_exchange:
            reply = context.build_message(
                message.sender,
                MessageKind.STATE_EXCHANGE,
                message.request_id,
                records=context.all_records(),
            )
            context.actions.append(ReplyToStateExchange(reply))

    def _send_ack(self, event: MessageReceived) -> None:
        """Answers a ping; a sender that is suspect or dead here gets its own record, so that it can refute it."""
        context = self.context
        message = event.message
        member = context.table.members.get(message.sender)
        address = context.address_overrides.get(message.sender)
        first = None
        if member is not None:
            address = address or member.record.address
            if member.state in (MemberState.SUSPECT, MemberState.DEAD):
                first = member.record
        ack = context.build_message(
            message.sender,
            MessageKind.ACK,
            message.request_id,
            target_silence_ms=self._silence_ms(message.target or message.sender),
            first=first,
        )
        context.actions.append(SendDatagram(address or event.address, ack))

    def _silence_ms(self, name: str) -> int:
        """Returns the ms since the last message received directly from a member; -1: never."""
        member = self.context.table.members.get(name)
        if member is None or not member.was_received:
            return -1
        return max(0, int(self.context.now - member.last_received_ms))

    def _handle_pause(self, paused_ms: float) -> None:
        """Recovers from a pause of this process: discounts messages missed during it, and requests the current state."""
        context = self.context
        context.local_health.degrade()
        context.table.discount_pause(paused_ms)
        self.prober.restart_after_pause()
        context.report("slept", text=f"{paused_ms:.0f} ms")
        self.exchanges.expedite()

    def _run_timers(self) -> None:
        context = self.context
        self.prober.advance_probes()
        self.suspicion.run_timers()
        self.refutation.run_timers()
        self.prober.run_timers()
        self.exchanges.run_timers()
        for name in context.table.remove_departed(context.now):
            context.gossip.discard(name)
