"""Which entries ride on the next message: those that were sent least often, as many as fit. Pure."""

from __future__ import annotations

from winchdyke.membership import datagrams


class Gossip:
    """Entries that are still to be told. A newer one of a member takes the place of the one before."""

    def __init__(self) -> None:
        self._left: dict[str, tuple[datagrams.Entry, int, int]] = {}  # entry, times sent, bytes

    def __len__(self) -> int:
        return len(self._left)

    def tell(self, entry: datagrams.Entry) -> None:
        """From now on this is told of the member."""
        self._left[entry.name] = entry, 0, datagrams.size(entry)

    def forget(self, name: str) -> None:
        """Nothing more is told of a member."""
        self._left.pop(name, None)

    def take(self, room: int, sends: int, first: datagrams.Entry | None = None) -> list[datagrams.Entry]:
        """Entries of so many bytes in all at the most; each goes out ``sends`` times. ``first`` goes in any case."""
        # Guards against a refutation that comes too late: a suspect hears its own accusation first (Lifeguard's buddies).
        found = [] if first is None else [first]
        room -= 0 if first is None else datagrams.size(first)
        for name, (entry, sent, size) in sorted(self._left.items(), key=lambda item: item[1][1]):
            if first is not None and name == first.name:
                continue
            if size > room:
                break  # the least told goes next time: to pass it over would let small ones starve it
            room -= size
            found.append(entry)
            if sent + 1 >= sends:
                del self._left[name]
            else:
                self._left[name] = entry, sent + 1, size
        return found
