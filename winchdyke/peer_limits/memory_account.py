"""Counts the memory that is held on behalf of peers, in sum, against a limit."""

from __future__ import annotations


class MemoryAccount:
    """The memory held on behalf of a group of peers.

    Each holder of memory for a peer calls :meth:`change` as it takes and as it releases it. The account refuses nothing:
    its user looks at :attr:`available_bytes` before it takes more, and may exceed the limit for what must be finished.

    Attributes:
        limit_bytes: Nothing more is taken beyond this sum, unless it must be finished.
        used_bytes: The present sum.
        max_used_bytes: The largest sum so far.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.used_bytes = 0
        self.max_used_bytes = 0

    @property
    def available_bytes(self) -> int:
        """The bytes that are left below the limit; 0 if it is reached or exceeded."""
        return max(0, self.limit_bytes - self.used_bytes)

    def change(self, by_bytes: int) -> None:
        """Add memory that was taken, or subtract memory that was released."""
        self.used_bytes += by_bytes
        self.max_used_bytes = max(self.max_used_bytes, self.used_bytes)


class MemoryCharge:
    """What one holder has charged to an account; setting it to another value changes the account's sum.

    Attributes:
        held_bytes: The bytes charged now.
    """

    __slots__ = ("_account", "held_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        self._account = account
        self.held_bytes = 0

    def set(self, held_bytes: int) -> None:
        """Charge this many bytes in place of those charged now."""
        if held_bytes != self.held_bytes:
            self._account.change(held_bytes - self.held_bytes)
            self.held_bytes = held_bytes
