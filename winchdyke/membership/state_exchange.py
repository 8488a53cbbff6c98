"""State exchange: push/pull anti-entropy over TCP with active members, dead members and seeds. Without I/O."""

from __future__ import annotations

from winchdyke.membership.datagrams import MessageKind
from winchdyke.membership.dissemination import Dissemination
from winchdyke.membership.events import StartStateExchange, StateExchangeFinished
from winchdyke.membership.refutation import Refutation
from winchdyke.membership.suspicion import SuspicionMonitor
from winchdyke.membership.swim_context import SwimContext


class ReconnectSchedule:
    """The times at which seeds and dead members are contacted, in ms."""

    def __init__(self, context: SwimContext) -> None:
        self._context = context
        config = context.config
        self.seed_due_ms = context.now
        self.dead_due_ms = context.now + config.min_reconnect_backoff_ms
        self._seed_backoff_ms = config.min_reconnect_backoff_ms
        self._dead_backoff_ms = config.min_reconnect_backoff_ms

    def expedite_seed(self) -> None:
        """Contacts a seed soon, at a random time within the minimum backoff: all gateways get new addresses at once."""
        context = self._context
        self._seed_backoff_ms = context.config.min_reconnect_backoff_ms
        due_ms = context.now + context.random.random() * self._seed_backoff_ms
        self.seed_due_ms = min(self.seed_due_ms, due_ms)

    def expedite_dead(self) -> None:
        """Contacts a dead member soon."""
        context = self._context
        self._dead_backoff_ms = context.config.min_reconnect_backoff_ms
        due_ms = context.now + self._dead_backoff_ms * (0.5 + context.random.random())
        self.dead_due_ms = min(self.dead_due_ms, due_ms)

    def defer_seed(self, has_active_members: bool) -> None:
        """Schedules the next contact with a seed, with exponential backoff while no member is active."""
        context = self._context
        config = context.config
        if has_active_members:
            self._seed_backoff_ms = config.state_exchange_interval_ms
        else:
            self._seed_backoff_ms = min(config.max_reconnect_backoff_ms, 2 * self._seed_backoff_ms)
        self.seed_due_ms = context.now + self._seed_backoff_ms * (0.5 + context.random.random())

    def defer_dead(self) -> None:
        """Schedules the next contact with a dead member, with exponential backoff."""
        context = self._context
        self._dead_backoff_ms = min(context.config.max_reconnect_backoff_ms, 2 * self._dead_backoff_ms)
        self.dead_due_ms = context.now + self._dead_backoff_ms * (0.5 + context.random.random())


class StateExchanges:
    """Starts state exchanges and merges the records that they return."""

    def __init__(
        self,
        context: SwimContext,
        reconnect: ReconnectSchedule,
        refutation: Refutation,
        dissemination: Dissemination,
        suspicion: SuspicionMonitor,
    ) -> None:
        self.seeds = context.local.seeds
        self.reconnect = reconnect
        self._context = context
        self._refutation = refutation
        self._dissemination = dissemination
        self._suspicion = suspicion
        self._due_ms = self._next_due_ms()
        self._seed_index = 0
        self._in_progress: dict[int, str] = {}  # address by request id

    def expedite(self) -> None:
        """Exchanges state with an active member at once."""
        self._due_ms = min(self._due_ms, self._context.now)

    def run_timers(self) -> None:
        """Starts the exchanges that are due."""
        now = self._context.now
        if now >= self._due_ms:
            self._due_ms = self._next_due_ms()
            self._exchange_with_active_member()
        if now >= self.reconnect.dead_due_ms:
            self.reconnect.defer_dead()
            self._exchange_with_dead_member()
        if now >= self.reconnect.seed_due_ms:
            self.contact_seed()

    def contact_seed(self) -> None:
        """Exchanges state with the next seed that is not an active member, so that separated groups rejoin."""
        context = self._context
        active_members = context.table.active_members()
        self.reconnect.defer_seed(bool(active_members))
        reached = {context.address_of(member) for member in active_members}
        candidates = [seed for seed in self.seeds if seed not in reached and seed != context.local.address]
        if candidates:
            self._seed_index += 1
            self.start(candidates[self._seed_index % len(candidates)])

    def start(self, address: str, request_id: int = 0) -> None:
        """Starts an exchange unless one with this address is in progress; request id 0 allocates a new one."""
        context = self._context
        request_id = request_id or context.new_request_id()
        if address in self._in_progress.values():
            return
        self._in_progress[request_id] = address
        message = context.build_message(
            "", MessageKind.STATE_EXCHANGE, request_id, records=context.all_records()
        )
        context.actions.append(StartStateExchange(address, message))

    def finish(self, event: StateExchangeFinished) -> str:
        """Merges the answer of an exchange; returns the name of the member that answered, or ""."""
        context = self._context
        if self._in_progress.pop(event.request_id, None) is None:
            return ""
        message = event.message
        if message is None or message.request_id != event.request_id:
            context.counts["exchange-failed"] += 1
            return ""
        context.counts["exchanged"] += 1
        if message.sender == context.local.name:
            if message.generation > context.generation:
                self._refutation.stop_in_favour_of(event.address)
            return ""
        for record in message.records:
            self._dissemination.apply(record, message.sender)
        rejection = context.table.accept_message(
            message.sender, message.generation, message.message_counter, context.now
        )
        member = context.table.members.get(message.sender)
        if rejection or member is None:
            context.counts[rejection or "unknown"] += 1
            return ""
        context.report_first_contact(message.sender)
        self._suspicion.record_direct_evidence(member)
        return message.sender

    def _next_due_ms(self) -> float:
        """Returns the time of the next exchange: after 0.5 to 1.5 intervals, at random."""
        interval_ms = self._context.config.state_exchange_interval_ms
        return self._context.now + interval_ms * (0.5 + self._context.random.random())

    def _exchange_with_active_member(self) -> None:
        context = self._context
        active_members = context.table.active_members()
        if active_members:
            self.start(context.address_of(context.random.choice(active_members)))

    def _exchange_with_dead_member(self) -> None:
        context = self._context
        dead_members = context.table.dead_members()
        if dead_members:
            self.start(context.address_of(context.random.choice(dead_members)))
