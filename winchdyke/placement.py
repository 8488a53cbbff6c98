"""Placement of objects on shards: the same volume and key give the same shard at every gateway, at any time.

Keys are placed by rendezvous hashing (Thaler and Ravishankar, 1998) over the volume's shards: an added shard
takes over an even share of the keys, and no other key moves. A new object that any shard may hold is placed
by the scheduler, and its name then contains the shard: ``KEY~SHARD``. So every gateway can locate it without
a shared table.
"""

from __future__ import annotations

import re
from collections.abc import Sequence

import xxhash

ANYWHERE = -1
_PLACED = re.compile(r"[0-9a-f]{32}~(\d{1,6})")


def shard_of(volume: str, key: str, shards: Sequence[int]) -> int:
    """Returns the shard that holds a key: the volume's shard named in the key, else the one found by hashing."""
    if not shards:
        raise ValueError(f"volume {volume!r} has no shards")
    placed = _PLACED.fullmatch(key)
    if placed and int(placed[1]) in shards:
        return int(placed[1])
    name = f"{volume}/{key}".encode()
    return max(shards, key=lambda shard: (xxhash.xxh3_64_intdigest(name, seed=shard), shard))


def placed_key(stem: str, shard: int) -> str:
    """Returns the name of a new object placed on a shard; ``stem`` is 32 hexadecimal digits."""
    return f"{stem}~{shard}"
