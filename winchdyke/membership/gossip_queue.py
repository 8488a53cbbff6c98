"""The queue of member records to piggyback on outgoing messages. Without I/O."""

from __future__ import annotations

from dataclasses import dataclass

from winchdyke.membership import datagrams
from winchdyke.membership.datagrams import MemberRecord


@dataclass(frozen=True, slots=True)
class _QueuedUpdate:
    record: MemberRecord
    transmissions: int
    size_bytes: int


class GossipQueue:
    """Records to be sent, at most one per member."""

    def __init__(self) -> None:
        self._updates: dict[str, _QueuedUpdate] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def enqueue(self, record: MemberRecord) -> None:
        """Adds a record; it replaces an earlier record of the same member."""
        self._updates[record.name] = _QueuedUpdate(record, 0, datagrams.encoded_size(record))

    def discard(self, name: str) -> None:
        """Removes the record of a member."""
        self._updates.pop(name, None)

    def select(
        self, capacity_bytes: int, retransmit_limit: int, first: MemberRecord | None = None
    ) -> list[MemberRecord]:
        """Returns the least often sent records that fit into ``capacity_bytes``, and counts them as sent.

        A record is dropped from the queue after ``retransmit_limit`` transmissions. ``first`` is always included: a suspect
        receives its own suspicion first, so that it can refute it in time (Lifeguard's buddy system).
        """
        selected: list[MemberRecord] = []
        if first is not None:
            selected.append(first)
            capacity_bytes -= datagrams.encoded_size(first)
        for name, update in sorted(self._updates.items(), key=_transmissions):
            if first is not None and name == first.name:
                continue
            if update.size_bytes > capacity_bytes:
                break  # skipping it would let smaller records starve it
            capacity_bytes -= update.size_bytes
            selected.append(update.record)
            self._count_transmission(name, update, retransmit_limit)
        return selected

    def _count_transmission(self, name: str, update: _QueuedUpdate, retransmit_limit: int) -> None:
        """Counts a transmission of a record, and removes it from the queue at the limit."""
        transmissions = update.transmissions + 1
        if transmissions >= retransmit_limit:
            del self._updates[name]
            return
        self._updates[name] = _QueuedUpdate(update.record, transmissions, update.size_bytes)


def _transmissions(item: tuple[str, _QueuedUpdate]) -> int:
    return item[1].transmissions
