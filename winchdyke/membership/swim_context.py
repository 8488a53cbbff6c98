"""State shared by the parts of the SWIM protocol: local identity, member table, clock, outgoing messages. Without I/O."""

from __future__ import annotations

import random
from collections import Counter

from winchdyke.membership import datagrams
from winchdyke.membership.datagrams import MemberRecord, MemberState, MessageKind, SwimMessage
from winchdyke.membership.events import Action, LocalMember, ReportEvent, SendDatagram
from winchdyke.membership.gossip_queue import GossipQueue
from winchdyke.membership.local_health import LocalHealth
from winchdyke.membership.member import LinkState, Member
from winchdyke.membership.member_table import MemberTable
from winchdyke.membership.swim_config import SwimConfig

GENERATION_STEP = 1 << 16  # generations per millisecond of the clock; the low bits are random
# Bytes left for records in a datagram whose other fields have their maximum size: three names and four integers with
# their msgpack headers, and the array headers.
_RECORDS_CAPACITY_BYTES = (
    datagrams.MAX_DATAGRAM_BYTES - datagrams.HEADER_BYTES - 3 * (datagrams.MAX_NAME_BYTES + 2) - 4 * 9 - 12
)


class SwimContext:
    """The shared state of one member's protocol. Times are ms on the local monotonic clock."""

    def __init__(self, local: LocalMember, config: SwimConfig, seed: int, now: float) -> None:
        self.local = local
        self.config = config
        self.random = random.Random(seed)
        self.now = now  # time of the current turn, ms on the local monotonic clock
        self.generation = local.generation
        self.incarnation = 0
        self.message_counter = 0
        self.has_left = False
        self.is_isolated = True  # true until the first contact with another member
        self.address_overrides = dict(local.address_overrides)
        self.table = MemberTable(local.name, config)
        self.gossip = GossipQueue()
        self.local_health = LocalHealth(config.max_local_health_score)
        self.counts: Counter[str] = Counter()
        self.actions: list[Action] = []
        # The random start and the random steps of new_request_id make the next id hard to guess, so that a replayed or
        # forged ack does not match a request. The generator is not cryptographic.
        self._last_request_id = self.random.getrandbits(48) << 8

    def begin_turn(self, now: float) -> list[Action]:
        """Sets the time in ms; returns the empty list to which this turn's actions are added."""
        self.now = now
        self.actions = []
        return self.actions

    # Identity.

    def local_record(self) -> MemberRecord:
        """Returns this member's own record."""
        local = self.local
        return MemberRecord(
            local.name,
            local.address,
            local.zone,
            local.index,
            self.generation,
            self.incarnation,
            int(MemberState.ALIVE),
        )

    def all_records(self) -> list[MemberRecord]:
        """Returns the local record and those of all other members."""
        return [self.local_record(), *(member.record for member in self.table.members.values())]

    def start_generation_after(self, generation: int) -> None:
        """Gives this process a generation later than the given one, as if it had just started."""
        next_step = (generation // GENERATION_STEP + 1) * GENERATION_STEP
        self.generation = min(datagrams.MAX_INTEGER, next_step + self.random.getrandbits(16))
        self.incarnation = 0
        self.message_counter = 0
        self.report(
            "renewed",
            self.local.name,
            "an earlier process of this name had a later generation; this one has a later one now",
        )
        self.gossip.enqueue(self.local_record())

    # Outgoing messages.

    def new_request_id(self) -> int:
        """Returns a request id: unique within this process until the integer wraps at ``datagrams.MAX_INTEGER``."""
        self._last_request_id += 1 + self.random.getrandbits(8)
        return self._last_request_id & datagrams.MAX_INTEGER

    def address_of(self, member: Member) -> str:
        """Returns the address at which this host reaches a member."""
        return self.address_overrides.get(member.name, member.record.address)

    def build_message(
        self,
        recipient: str,
        kind: MessageKind,
        request_id: int = 0,
        *,
        target: str = "",
        target_silence_ms: int = -1,
        records: list[MemberRecord] | None = None,
        first: MemberRecord | None = None,
    ) -> SwimMessage:
        """Returns the next message; without ``records`` it carries the local record and gossip, ``first`` ahead of other gossip."""
        if self.message_counter >= datagrams.MAX_INTEGER:
            self.start_generation_after(self.generation)
        self.message_counter += 1
        if records is None:
            records = self._select_records(first)
        return SwimMessage(
            self.local.name,
            self.generation,
            self.message_counter,
            recipient,
            int(kind),
            request_id,
            target,
            min(target_silence_ms, datagrams.MAX_INTEGER),
            records,
        )

    def send(
        self,
        name: str,
        kind: MessageKind,
        request_id: int = 0,
        *,
        target: str = "",
        target_silence_ms: int = -1,
        records: list[MemberRecord] | None = None,
        first: MemberRecord | None = None,
    ) -> None:
        """Sends a message to a member; does nothing if it is not in the table."""
        member = self.table.members.get(name)
        if member is None:
            return
        message = self.build_message(
            name,
            kind,
            request_id,
            target=target,
            target_silence_ms=target_silence_ms,
            records=records,
            first=first,
        )
        self.actions.append(SendDatagram(self.address_of(member), message))

    def _select_records(self, first: MemberRecord | None) -> list[MemberRecord]:
        """Returns the local record, ``first``, and as much gossip as fits into a datagram."""
        own = self.local_record()
        capacity_bytes = _RECORDS_CAPACITY_BYTES - datagrams.encoded_size(own)
        limit = self.config.retransmit_limit(self.table.active_count)
        return [own, *self.gossip.select(capacity_bytes, limit, first)]

    # Reports to operators.

    def report(self, code: str, member: str = "", text: str = "") -> None:
        """Counts an event and reports it to operators."""
        self.counts[f"note:{code}"] += 1
        self.actions.append(ReportEvent(code, member, text))

    def update_link(self, member: Member, link_state: LinkState) -> bool:
        """Stores the link state found by the last probe; returns whether it changed."""
        return self.table.update_link(member, link_state, self.now)

    def report_link(self, member: Member) -> None:
        """Reports the link state of a member."""
        self.report(f"link-{member.link_state.value}", member.name)

    def report_first_contact(self, name: str) -> None:
        """Reports the first contact with another member."""
        if self.is_isolated:
            self.is_isolated = False
            self.report("joined", name)
