"""Probing: SWIM's failure detector with Lifeguard's local health and nacks. Without I/O.

One member is probed per interval, in a shuffled round. If no direct ack arrives in time, other members are asked to probe it
(ping-req), and it is also contacted over TCP. An answer by either path keeps it alive, and the paths that worked show which
directions of the link work.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from winchdyke.membership.datagrams import MemberRecord, MemberState, MessageKind, SwimMessage
from winchdyke.membership.member import LinkState, Member
from winchdyke.membership.state_exchange import StateExchanges
from winchdyke.membership.suspicion import SuspicionMonitor
from winchdyke.membership.swim_context import SwimContext

NACK_TIMEOUT_FRACTION = 0.8  # fraction of the probe timeout after which a helper sends a nack


@dataclass
class Probe:
    """A probe in progress, started by this member or on another member's ping-req. Times are ms."""

    target: str
    request_id: int
    started_at_ms: float
    ack_due_ms: float
    ends_at_ms: float
    helpers: tuple[str, ...] = ()
    requester: str = ""  # the sender of the ping-req
    requester_request_id: int = 0
    nack_senders: set[str] = field(default_factory=set)
    reached_indirectly: bool = False
    # Time since the target received a message from this member, as reported to a helper; -1: unknown.
    target_silence_ms: int = -1
    ack_timed_out: bool = False


class Prober:
    """Runs the probes of one member."""

    def __init__(
        self,
        context: SwimContext,
        suspicion: SuspicionMonitor,
        exchanges: StateExchanges,
        first_probe_ms: float,
    ) -> None:
        self.next_probe_ms = first_probe_ms
        self._context = context
        self._suspicion = suspicion
        self._exchanges = exchanges
        self._round: list[str] = []
        self._probes: dict[int, Probe] = {}

    def restart_after_pause(self) -> None:
        """Cancels the probes in progress, whose acks may have been lost, and starts the next one no earlier than now."""
        self._probes.clear()
        self.next_probe_ms = max(self.next_probe_ms, self._context.now)

    def advance_probes(self) -> None:
        """Handles the expired timeouts of the probes in progress."""
        for probe in list(self._probes.values()):
            if probe.requester:
                self._advance_requested(probe)
            else:
                self._advance(probe)

    def run_timers(self) -> None:
        """Starts the next probe if it is due."""
        context = self._context
        if context.now >= self.next_probe_ms:
            interval_ms = context.config.probe_interval_ms * context.local_health.multiplier
            self.next_probe_ms = context.now + interval_ms
            self._probe_next_member()

    def handle_ping_req(self, message: SwimMessage) -> None:
        """Probes a member on behalf of the sender."""
        context = self._context
        member = context.table.members.get(message.target)
        if member is None:
            return
        nack_after_ms = context.config.probe_timeout_ms * NACK_TIMEOUT_FRACTION
        probe = self._start(member.name, nack_after_ms, context.config.probe_interval_ms)
        probe.requester = message.sender
        probe.requester_request_id = message.request_id
        context.send(member.name, MessageKind.PING, probe.request_id, target=message.sender)

    def handle_answer(self, message: SwimMessage) -> None:
        """Handles an ack or a nack from a probe's target or from a helper."""
        probe = self._probes.get(message.request_id)
        if probe is None:
            self._context.counts["unasked"] += 1
            return
        if message.kind == MessageKind.NACK:
            probe.nack_senders.add(message.sender)
            return
        if message.sender == probe.target:
            self._handle_direct_ack(probe, message)
        elif message.sender in probe.helpers and message.target == probe.target:
            self._handle_indirect_ack(probe, message)

    def handle_state_exchange(self, request_id: int, sender: str) -> None:
        """Records that a probe's target answered over TCP."""
        probe = self._probes.get(request_id)
        if probe is not None and probe.target == sender:
            probe.reached_indirectly = True

    # Starting probes.

    def _probe_next_member(self) -> None:
        """Pings the next member of the round; a poor local health prolongs the timeout and the probe."""
        context = self._context
        member = self._next_in_round()
        if member is None:
            return
        multiplier = context.local_health.multiplier
        probe = self._start(
            member.name,
            context.config.probe_timeout_ms * multiplier,
            context.config.probe_interval_ms * multiplier,
        )
        context.send(member.name, MessageKind.PING, probe.request_id, first=_suspect_record(member))

    def _next_in_round(self) -> Member | None:
        """Returns the next active member of the shuffled round; starts a new round once it is used up."""
        table = self._context.table
        while self._round:
            member = table.members.get(self._round.pop())
            if member is not None and member.is_active:
                return member
        self._round = [member.name for member in table.active_members()]
        self._context.random.shuffle(self._round)
        if not self._round:
            return None
        return table.members[self._round.pop()]

    def _start(self, target: str, ack_timeout_ms: float, duration_ms: float) -> Probe:
        now = self._context.now
        probe = Probe(target, self._context.new_request_id(), now, now + ack_timeout_ms, now + duration_ms)
        self._probes[probe.request_id] = probe
        return probe

    # Answers.

    def _handle_direct_ack(self, probe: Probe, message: SwimMessage) -> None:
        """Ends a probe that the target answered; the ack is passed on if another member requested the probe."""
        context = self._context
        member = context.table.members.get(probe.target)
        if member is not None and message.generation == member.record.generation:
            member.last_ack_ms = context.now
            self._suspicion.record_direct_evidence(member)
        if probe.requester:
            context.send(
                probe.requester,
                MessageKind.ACK,
                probe.requester_request_id,
                target=probe.target,
                target_silence_ms=message.target_silence_ms,
            )
        else:
            self._finish_own_probe(probe, member)
        del self._probes[probe.request_id]

    def _finish_own_probe(self, probe: Probe, member: Member | None) -> None:
        """Stores that the link works; an ack that arrived in time improves the local health."""
        context = self._context
        if member is not None:
            was_untried = member.link_state is LinkState.UNTRIED
            if context.update_link(member, LinkState.BIDIRECTIONAL) and not was_untried:
                context.report_link(member)
        if not probe.ack_timed_out and context.now <= probe.ack_due_ms:
            context.local_health.improve()

    def _handle_indirect_ack(self, probe: Probe, message: SwimMessage) -> None:
        """Records that a helper reached the target, and the shortest silence (ms) that the target reported."""
        probe.reached_indirectly = True
        silence_ms = message.target_silence_ms
        if silence_ms < 0:
            return
        if probe.target_silence_ms >= 0:
            silence_ms = min(probe.target_silence_ms, silence_ms)
        probe.target_silence_ms = silence_ms

    # Timeouts.

    def _advance_requested(self, probe: Probe) -> None:
        """Sends a nack to the requester when the ack is overdue, and drops the probe when it ends."""
        now = self._context.now
        if now >= probe.ack_due_ms and not probe.ack_timed_out:
            probe.ack_timed_out = True
            self._context.send(
                probe.requester, MessageKind.NACK, probe.requester_request_id, target=probe.target
            )
        if now >= probe.ends_at_ms:
            del self._probes[probe.request_id]

    def _advance(self, probe: Probe) -> None:
        """Requests indirect probes when the ack is overdue, and concludes the probe when it ends."""
        now = self._context.now
        if now >= probe.ends_at_ms:
            del self._probes[probe.request_id]
            self._conclude(probe)
        elif now >= probe.ack_due_ms and not probe.ack_timed_out:
            probe.ack_timed_out = True
            self.request_indirect_probes(probe)

    def request_indirect_probes(self, probe: Probe) -> None:
        """Asks other members to probe the target, and contacts it over TCP, which may work where datagrams are lost."""
        context = self._context
        self.send_ping_reqs(probe, self._helper_candidates(probe))
        member = context.table.members.get(probe.target)
        if member is not None:
            self._exchanges.start(context.address_of(member), probe.request_id)

    def send_ping_reqs(self, probe: Probe, candidates: list[Member]) -> None:
        """Sends a ping-req to some of the candidates."""
        context = self._context
        count = min(context.config.indirect_probe_count, len(candidates))
        helpers = context.random.sample(candidates, count)
        probe.helpers = tuple(helper.name for helper in helpers)
        for name in probe.helpers:
            context.send(name, MessageKind.PING_REQ, probe.request_id, target=probe.target)

    def _helper_candidates(self, probe: Probe) -> list[Member]:
        """Returns the members that are alive, without the target."""
        return [
            member
            for member in self._context.table.active_members()
            if member.name != probe.target and member.state is MemberState.ALIVE
        ]

    def _conclude(self, probe: Probe) -> None:
        """Evaluates a probe that ended without a direct ack."""
        context = self._context
        member = context.table.members.get(probe.target)
        if member is None or not member.is_active:
            return
        self._degrade_local_health(probe)
        was_received = member.last_received_ms >= probe.started_at_ms
        if not probe.reached_indirectly and not was_received:
            self._suspicion.suspect(member)
            return
        receives_local = 0 <= probe.target_silence_ms <= context.now - probe.started_at_ms
        if context.update_link(member, _link_state(was_received, receives_local)):
            context.report_link(member)

    def _degrade_local_health(self, probe: Probe) -> None:
        """Raises the local health score: missing nacks suggest that this process receives nothing (Lifeguard)."""
        health = self._context.local_health
        if not probe.helpers:
            health.degrade(1)
        elif probe.reached_indirectly:
            health.degrade(0)
        else:
            health.degrade(len(probe.helpers) - len(probe.nack_senders))


def _link_state(receives_target: bool, target_receives: bool) -> LinkState:
    """Returns the link state of a member that did not ack directly, by the directions in which messages arrived."""
    if receives_target and target_receives:
        return LinkState.BIDIRECTIONAL  # only the ack was lost
    if receives_target:
        return LinkState.OUTBOUND_DOWN
    if target_receives:
        return LinkState.INBOUND_DOWN
    return LinkState.UNREACHABLE


def _suspect_record(member: Member) -> MemberRecord | None:
    """Returns a suspect's record, to be sent with its ping so that it can refute the suspicion; otherwise None."""
    return member.record if member.state is MemberState.SUSPECT else None
