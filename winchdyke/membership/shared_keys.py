"""The shared secrets that authenticate messages, with reloads of their file."""

from __future__ import annotations

import time
from pathlib import Path

import structlog

from winchdyke.admin.keys import KeyFileError, KeyRing
from winchdyke.membership.errors import MembershipError

MAX_SECRET_BYTES = 64  # the longest key that BLAKE2b accepts


class SharedKeys:
    """The secrets in use: the first one seals outgoing messages, and all of them unseal received ones."""

    def __init__(self, path: str) -> None:
        self.ring = KeyRing(Path(path))
        self.secrets: list[bytes] = []
        self._path = path
        self._log = structlog.get_logger("membership")

    @property
    def sealing_secret(self) -> bytes:
        """The secret for outgoing messages."""
        return self.secrets[0]

    def load(self) -> None:
        """Reads the file at startup. Raises MembershipError if it contains no valid key."""
        try:
            keys = self.ring.valid_keys(_unix_ms())
        except KeyFileError as error:
            raise MembershipError(f"{error}; see fleet, keys") from error
        if not keys:
            raise MembershipError(f"{self._path} contains no key that is valid now; see fleet, keys")
        self.secrets = [key.secret_bytes()[:MAX_SECRET_BYTES] for key in keys]

    def reload(self) -> None:
        """Reads the file again; if it contains no valid key, the secrets in use stay."""
        try:
            keys = self.ring.valid_keys(_unix_ms())
        except KeyFileError as error:
            self._log.warning("membership_key_reload_failed", error=f"{error}; the earlier keys stay in use")
            return
        if keys:
            self.secrets = [key.secret_bytes()[:MAX_SECRET_BYTES] for key in keys]


def _unix_ms() -> float:
    return time.time() * 1000
