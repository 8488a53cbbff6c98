"""The errors of membership."""

from __future__ import annotations


class MembershipError(Exception):
    """Membership can't start or continue. The text states the problem, its place and the remedy."""


class MessageRejectedError(MembershipError):
    """A received message is rejected; ``reason`` is the name of its counter."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason
