"""The package's errors."""

from __future__ import annotations


class MembershipError(Exception):
    """Membership can't start or go on; the text says what is wrong, where, and what to do."""


class MessageRejectedError(MembershipError):
    """A received message that is not used; ``reason`` is the name it is counted under."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
