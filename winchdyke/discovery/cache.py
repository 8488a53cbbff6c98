"""The node list on the disk: written whole, synced and renamed; checked as it is read; older ones kept beside it.

``nodes.0`` is the present list, ``nodes.1`` and ``nodes.2`` the ones before its members last changed. Each is a head of 8 bytes
(``WDNODES`` and the format's version), the payload's length (4 bytes, little-endian), its xxh3-64 (8 bytes), and the payload:
msgpack of :class:`Kept`. A file that is cut, damaged, of a newer format, or open to others' writing is passed over, and said.
"""

from __future__ import annotations

import os
import stat
import struct
from collections.abc import Iterable
from pathlib import Path

import msgspec
import xxhash

from winchdyke.discovery.endpoint_view import CachedEndpoint
from winchdyke.durable_files import sync_folder

MAGIC, VERSION = b"WDNODES", 1
HEADER = struct.Struct("<7sBIQ")
GENERATIONS = 3
MAX_PAYLOAD_BYTES = 16 << 20


class EndpointCacheError(Exception):
    """A list that can't be used; says what is wrong and what to do."""


class CachedEndpointList(msgspec.Struct):
    """What is kept: when it was written (Unix ms), by which gateway, and what was believed of each node."""

    saved_unix_ms: float
    gateway: str
    endpoints: list[CachedEndpoint]


def generation_path(folder: Path, generation: int) -> Path:
    """Where a generation lies."""
    return folder / f"nodes.{generation}"


def save(folder: Path, kept: CachedEndpointList, rotate: bool) -> None:
    """Write the list; ``rotate``: its members changed, so the present one is kept as the one before. OSError."""
    payload = msgspec.msgpack.encode(kept)
    new = folder / "nodes.new"
    descriptor = os.open(new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        os.fchmod(descriptor, 0o600)
        data = HEADER.pack(MAGIC, VERSION, len(payload), xxhash.xxh3_64_intdigest(payload)) + payload
        view = memoryview(data)
        while view:
            view = view[os.write(descriptor, view) :]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    if rotate:
        for generation in range(GENERATIONS - 1, 0, -1):
            before = generation_path(folder, generation - 1)
            if before.exists():
                if generation == 1:  # stays in its place until the new one takes it
                    spare = folder / "nodes.spare"
                    spare.unlink(missing_ok=True)
                    os.link(before, spare)
                    spare.replace(generation_path(folder, 1))
                else:
                    before.replace(generation_path(folder, generation))
    new.replace(generation_path(folder, 0))
    sync_folder(folder)


def read_generation(where: Path) -> CachedEndpointList:
    """One generation. DiskError where it can't be used; FileNotFoundError where there is none."""
    _safe(where.parent, "folder")
    _safe(where, "file")
    try:
        data = where.read_bytes()
    except FileNotFoundError:
        raise
    except OSError as error:
        raise EndpointCacheError(f"{where} can't be read: {error.strerror}") from error
    if len(data) < HEADER.size:
        raise EndpointCacheError(f"{where} is cut short: {len(data)} bytes")
    magic, version, length, check = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise EndpointCacheError(f"{where} is no node list")
    if version > VERSION:
        raise EndpointCacheError(
            f"{where} is of format {version}, and this release reads up to {VERSION}; a newer one wrote it"
        )
    payload = data[HEADER.size :]
    if len(payload) != length or length > MAX_PAYLOAD_BYTES:
        raise EndpointCacheError(f"{where} is cut short: {len(payload)} of {length} bytes")
    if xxhash.xxh3_64_intdigest(payload) != check:
        raise EndpointCacheError(f"{where} is damaged: its checksum does not fit")
    try:
        return msgspec.msgpack.decode(payload, type=CachedEndpointList)
    except msgspec.DecodeError as error:
        raise EndpointCacheError(f"{where} is of another form: {error}") from error


def _safe(where: Path, what: str) -> None:
    """Refuse what others may write: they could send this host's requests anywhere."""
    try:
        found = where.stat()
    except FileNotFoundError:
        raise
    except OSError as error:
        raise EndpointCacheError(f"{where} can't be read: {error.strerror}") from error
    if found.st_uid not in (os.geteuid(), 0):
        raise EndpointCacheError(
            f"{where} belongs to user {found.st_uid}, not to the gateway's; its list is not believed"
        )
    sticky = what == "folder" and found.st_mode & stat.S_ISVTX
    if found.st_mode & 0o022 and not sticky:
        mode = stat.S_IMODE(found.st_mode)
        raise EndpointCacheError(
            f"others may write to the {what} {where} (mode {mode:o}); chmod go-w it, and check what is in it"
        )


def load(folder: Path) -> tuple[CachedEndpointList | None, list[str]]:
    """The newest generation that can be used, and what is to be said of those passed over."""
    said: list[str] = []
    for generation in range(GENERATIONS):
        try:
            found = read_generation(generation_path(folder, generation))
        except FileNotFoundError:
            continue
        except EndpointCacheError as error:
            said.append(str(error))
            continue
        if generation:
            said.append(f"the list before is used instead ({generation_path(folder, generation).name})")
        return found, said
    return None, said


def membership_key(nodes: Iterable[CachedEndpoint]) -> frozenset[tuple[str, int, str, str]]:
    """What makes two lists differ enough to keep the one before."""
    return frozenset((known.name, known.shard, known.status.value, known.identity) for known in nodes)
