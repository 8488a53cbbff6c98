"""Which entries ride on the next message: those that were sent least often, as many as fit. Pure."""

from __future__ import annotations

from winchdyke.membership import datagrams


class GossipQueue:
    """Entries that are still to be told. A newer one of a member takes the place of the one before."""

    def __init__(self) -> None:
        self._updates: dict[str, tuple[datagrams.MemberRecord, int, int]] = {}  # entry, times sent, bytes

    def __len__(self) -> int:
        return len(self._updates)

    def enqueue(self, entry: datagrams.MemberRecord) -> None:
        """From now on this is told of the member."""
        self._updates[entry.name] = entry, 0, datagrams.encoded_size(entry)

    def discard(self, name: str) -> None:
        """Nothing more is told of a member."""
        self._updates.pop(name, None)

    def select(
        self, room: int, sends: int, first: datagrams.MemberRecord | None = None
    ) -> list[datagrams.MemberRecord]:
        """Entries of so many bytes in all at the most; each goes out ``sends`` times. ``first`` goes in any case."""
        # Guards against a refutation that comes too late: a suspect hears its own accusation first (Lifeguard's buddies).
        found = [] if first is None else [first]
        room -= 0 if first is None else datagrams.encoded_size(first)
        for name, (entry, sent, size) in sorted(self._updates.items(), key=lambda item: item[1][1]):
            if first is not None and name == first.name:
                continue
            if size > room:
                break  # the least told goes next time: to pass it over would let small ones starve it
            room -= size
            found.append(entry)
            if sent + 1 >= sends:
                del self._updates[name]
            else:
                self._updates[name] = entry, sent + 1, size
        return found
