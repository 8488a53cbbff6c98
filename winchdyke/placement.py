"""Which shard holds an object. Pure: the same volume and key give the same shard at every gateway, forever.

A key has its place by rendezvous hashing (Thaler and Ravishankar, 1998) over the volume's shards: a shard that is
added takes an even part of the keys, and no other key moves. A new object that may lie anywhere goes where the
scheduler puts it, and its name then says where: ``KEY~SHARD``. So any gateway finds it with no table to share.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

import xxhash

ANYWHERE = -1
_PLACED = re.compile(r"[0-9a-f]{32}~(\d{1,6})")


def shard_of(volume: str, key: str, shards: Sequence[int]) -> int:
    """The shard that holds a key; the one in its name where the name carries one of the volume's shards."""
    if not shards:
        raise ValueError(f"volume {volume!r} has no shards")
    placed = _PLACED.fullmatch(key)
    if placed and int(placed[1]) in shards:
        return int(placed[1])
    name = f"{volume}/{key}".encode()
    return max(shards, key=lambda shard: (xxhash.xxh3_64_intdigest(name, seed=shard), shard))


def placed_key(stem: str, shard: int) -> str:
    """The name of a new object that a shard has taken; ``stem`` is 32 hexadecimal digits."""
    return f"{stem}~{shard}"
