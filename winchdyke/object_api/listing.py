"""Merges the listings of a volume's shards. Pure."""

from __future__ import annotations

import heapq

import msgspec


class Entry(msgspec.Struct):
    """An object in a listing.

    Attributes:
        size: Its size in bytes.
        modified: The time of its last change, in the format of Last-Modified; empty: not reported.
    """

    key: str
    size: int
    etag: str
    modified: str = ""


class Page(msgspec.Struct):
    """A page of a listing in order of key.

    Attributes:
        next: The key after which the next page begins; None: this is the last page.
    """

    objects: list[Entry]
    next: str | None = None


def merge(pages: list[Page], limit: int) -> Page:
    """Merges one page of each shard into one page of at most ``limit`` objects.

    The page ends at the smallest key at which a shard's page ends, because that shard may have more keys
    after it.
    """
    bounds = [page.next for page in pages if page.next is not None]
    bound = min(bounds) if bounds else None
    merged: list[Entry] = []
    truncated = bound is not None
    for entry in heapq.merge(*(page.objects for page in pages), key=lambda entry: entry.key):
        if (bound is not None and entry.key > bound) or len(merged) == limit:
            truncated = True
            break
        if not merged or merged[-1].key != entry.key:
            merged.append(entry)
    return Page(merged, (merged[-1].key if merged else bound) if truncated else None)
