"""The listing of a volume, merged from its shards. Pure."""

from __future__ import annotations

import heapq

import msgspec


class Entry(msgspec.Struct):
    """An object: its key, its bytes and its entity tag."""

    key: str
    size: int
    etag: str
    modified: str = ""  # as in Last-Modified, where the store tells it


class Page(msgspec.Struct):
    """A part of a listing in order of key; ``next`` is where the following page begins after, or None at the end."""

    objects: list[Entry]
    next: str | None = None


def merge(pages: list[Page], limit: int) -> Page:
    """One page of all shards. Nothing is shown past where a shard's page ends: what follows there is not told yet."""
    bounds = [page.next for page in pages if page.next is not None]
    bound = min(bounds) if bounds else None
    found: list[Entry] = []
    more = bound is not None
    for entry in heapq.merge(*(page.objects for page in pages), key=lambda entry: entry.key):
        if (bound is not None and entry.key > bound) or len(found) == limit:
            more = True
            break
        if not found or found[-1].key != entry.key:
            found.append(entry)
    return Page(found, (found[-1].key if found else bound) if more else None)
