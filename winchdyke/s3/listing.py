"""Pages of S3 listings, with keys grouped into common prefixes by a delimiter. Pure."""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterable
from dataclasses import dataclass, field

from winchdyke.object_api.listing import Entry
from winchdyke.s3.errors import S3Error

LAST_CHARACTER = "\U0010ffff"  # appended to a prefix, it sorts after every key with that prefix


@dataclass
class ObjectListing:
    """One page of a listing, collected from entries in order of key until it is full.

    Attributes:
        after: The key after which the next request to the stores starts.
        last_name: The last key or common prefix of the page.
        truncated: Whether more entries follow this page.
    """

    prefix: str
    delimiter: str
    max_items: int
    after: str = ""
    objects: list[Entry] = field(default_factory=list)
    common_prefixes: list[str] = field(default_factory=list)
    last_name: str = ""
    truncated: bool = False

    @property
    def count(self) -> int:
        """The number of keys and common prefixes."""
        return len(self.objects) + len(self.common_prefixes)

    def add(self, entries: Iterable[Entry]) -> bool:
        """Adds entries in order of key.

        Returns True if a common prefix was added; ``after`` is then behind all keys with that prefix.
        """
        for entry in entries:
            if entry.key <= self.after and self.after:
                continue
            delimiter_at = entry.key.find(self.delimiter, len(self.prefix)) if self.delimiter else -1
            name = entry.key[: delimiter_at + len(self.delimiter)] if delimiter_at >= 0 else entry.key
            if self.count >= self.max_items:
                self.truncated = True
                return False
            self.last_name = name
            if delimiter_at < 0:
                self.objects.append(entry)
                self.after = entry.key
            else:
                self.common_prefixes.append(name)
                self.after = name + LAST_CHARACTER
                return True
        return False


def encode_token(last_name: str) -> str:
    """The continuation token for the page after this key or common prefix."""
    return base64.urlsafe_b64encode(last_name.encode()).decode()


def decode_token(text: str) -> str:
    """The last key or common prefix of the previous page.

    Raises:
        S3Error: The token is not valid.
    """
    try:
        return base64.b64decode(text.encode(), altchars=b"-_", validate=True).decode()
    except (binascii.Error, ValueError) as error:
        raise S3Error("InvalidArgument", "the continuation token is invalid") from error


def resume_after(after: str, delimiter: str, prefix: str) -> str:
    """The key to start after, for a previous page that ended at a key or a common prefix."""
    is_common_prefix = delimiter and after.startswith(prefix) and delimiter in after[len(prefix) :]
    return after + LAST_CHARACTER if is_common_prefix and after.endswith(delimiter) else after
