"""Listings as S3 has them: keys folded under a delimiter, in pages. Pure."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable
from dataclasses import dataclass, field

from winchdyke.object_api.listing import Entry
from winchdyke.s3.errors import S3Error

LAST = "\U0010ffff"  # sorts behind all that a key may go on with


@dataclass
class Fold:
    """Collects entries in order of key until a page is full; ``after`` is where to go on asking."""

    prefix: str
    delimiter: str
    most: int
    after: str = ""
    keys: list[Entry] = field(default_factory=list)
    prefixes: list[str] = field(default_factory=list)
    last: str = ""  # the last key or prefix that was told
    full: bool = False

    @property
    def count(self) -> int:
        """Keys and prefixes together."""
        return len(self.keys) + len(self.prefixes)

    def take(self, entries: Iterable[Entry]) -> bool:
        """More entries, in order; whether the rest of a folded prefix is to be skipped (``after`` says to where)."""
        for entry in entries:
            if entry.key <= self.after and self.after:
                continue
            at = entry.key.find(self.delimiter, len(self.prefix)) if self.delimiter else -1
            name = entry.key[: at + len(self.delimiter)] if at >= 0 else entry.key
            if self.count >= self.most:
                self.full = True
                return False
            self.last = name
            if at < 0:
                self.keys.append(entry)
                self.after = entry.key
            else:
                self.prefixes.append(name)
                self.after = name + LAST
                return True
        return False


def token(last: str) -> str:
    """A continuation token, which tells where the page before ended."""
    return base64.urlsafe_b64encode(last.encode()).decode()


def untoken(text: str) -> str:
    """Where the page before ended. S3Error where this is none of ours."""
    try:
        return base64.b64decode(text.encode(), altchars=b"-_", validate=True).decode()
    except (binascii.Error, ValueError) as error:
        raise S3Error("InvalidArgument", "the continuation token is none that was given out") from error


def start(after: str, delimiter: str, prefix: str) -> str:
    """Where to go on after a page that ended at a key or a folded prefix."""
    folded = delimiter and after.startswith(prefix) and delimiter in after[len(prefix) :]
    return after + LAST if folded and after.endswith(delimiter) else after
