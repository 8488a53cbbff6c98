"""The endpoint cache: endpoint views in files, written atomically, verified when read, in several generations.

``nodes.0`` is the current view; ``nodes.1`` and ``nodes.2`` are the views before the last two changes of its endpoints. Each
file is a header (``WDNODES``, the format's version, the payload's length, its xxh3-64; little-endian, 20 bytes) and the payload:
msgpack of :class:`CachedEndpointList`. A file that is truncated, corrupt, of a newer format, or writable by other users is
skipped with a warning.
"""

from __future__ import annotations

import os
import stat
import struct
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec
import xxhash

from winchdyke.discovery.errors import EndpointCacheError
from winchdyke.discovery.records import CachedEndpoint
from winchdyke.durable_files import sync_directory

MAGIC = b"WDNODES"
VERSION = 1
HEADER = struct.Struct("<7sBIQ")
GENERATIONS = 3
MAX_PAYLOAD_BYTES = 16 << 20
WRITABLE_BY_OTHERS = 0o022


class CachedEndpointList(msgspec.Struct):
    """The stored view: the time at which it was saved, the gateway, and its endpoints. Explicit names are the stored ones."""

    saved_unix_ms: float = msgspec.field(name="unix_ms")
    gateway: str
    endpoints: list[CachedEndpoint] = msgspec.field(name="nodes")


class LoadedCache(NamedTuple):
    """The newest usable generation, if any, and a warning for each generation skipped."""

    cached: CachedEndpointList | None
    warnings: list[str]


def generation_path(directory: Path, generation: int) -> Path:
    """Returns the path of a generation's file; generation 0 is the current one."""
    return directory / f"nodes.{generation}"


def save(directory: Path, cached: CachedEndpointList, rotate: bool) -> None:
    """Writes the current generation; with ``rotate`` the previous one is retained.

    Raises:
        OSError: The file can't be written. Earlier generations are intact.
    """
    payload = msgspec.msgpack.encode(cached)
    header = HEADER.pack(MAGIC, VERSION, len(payload), xxhash.xxh3_64_intdigest(payload))
    new_file = directory / "nodes.new"
    _write_synced(new_file, header + payload)
    if rotate:
        _rotate_generations(directory)
    new_file.replace(generation_path(directory, 0))
    sync_directory(directory)


def _write_synced(path: Path, data: bytes) -> None:
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        os.fchmod(descriptor, 0o600)
        remaining = memoryview(data)
        while remaining:
            written = os.write(descriptor, remaining)
            remaining = remaining[written:]
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _rotate_generations(directory: Path) -> None:
    """Shifts all generations up by one; generation 0 also stays in its place until the new file replaces it."""
    for generation in range(GENERATIONS - 1, 1, -1):
        previous = generation_path(directory, generation - 1)
        if previous.exists():
            previous.replace(generation_path(directory, generation))
    present = generation_path(directory, 0)
    if present.exists():
        spare = directory / "nodes.spare"
        spare.unlink(missing_ok=True)
        os.link(present, spare)
        spare.replace(generation_path(directory, 1))


def load(directory: Path) -> LoadedCache:
    """Reads the newest usable generation."""
    warnings: list[str] = []
    for generation in range(GENERATIONS):
        path = generation_path(directory, generation)
        try:
            cached = read_generation(path)
        except FileNotFoundError:
            continue
        except EndpointCacheError as error:
            warnings.append(str(error))
            continue
        if generation:
            warnings.append(f"an earlier list is used instead ({path.name})")
        return LoadedCache(cached, warnings)
    return LoadedCache(None, warnings)


def read_generation(path: Path) -> CachedEndpointList:
    """Reads and verifies one file.

    Raises:
        EndpointCacheError: The file can't be used.
        FileNotFoundError: The file does not exist.
    """
    _check_permissions(path.parent, "folder")
    _check_permissions(path, "file")
    try:
        data = path.read_bytes()
    except FileNotFoundError:
        raise
    except OSError as error:
        raise EndpointCacheError(f"{path} can't be read: {error.strerror}") from error
    payload = _verified_payload(path, data)
    try:
        return msgspec.msgpack.decode(payload, type=CachedEndpointList)
    except msgspec.DecodeError as error:
        raise EndpointCacheError(f"{path} does not match the stored format: {error}") from error


def _verified_payload(path: Path, data: bytes) -> bytes:
    if len(data) < HEADER.size:
        raise EndpointCacheError(f"{path} is truncated: {len(data)} bytes")
    magic, version, payload_bytes, checksum = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise EndpointCacheError(f"{path} is not a node list")
    if version > VERSION:
        raise EndpointCacheError(
            f"{path} has format {version}, and this release reads formats up to {VERSION}; a newer release wrote it"
        )
    payload = data[HEADER.size :]
    if len(payload) != payload_bytes or payload_bytes > MAX_PAYLOAD_BYTES:
        raise EndpointCacheError(f"{path} is truncated: {len(payload)} of {payload_bytes} bytes")
    if xxhash.xxh3_64_intdigest(payload) != checksum:
        raise EndpointCacheError(f"{path} is corrupt: its checksum does not match")
    return payload


def _check_permissions(path: Path, kind: str) -> None:
    """Rejects a file or folder that other users may write to: they could redirect this host's requests."""
    try:
        status = path.stat()
    except FileNotFoundError:
        raise
    except OSError as error:
        raise EndpointCacheError(f"{path} can't be read: {error.strerror}") from error
    if status.st_uid not in (os.geteuid(), 0):
        raise EndpointCacheError(
            f"{path} is owned by user {status.st_uid}, not by the gateway's user or root; its list is ignored"
        )
    is_sticky_folder = kind == "folder" and status.st_mode & stat.S_ISVTX
    if status.st_mode & WRITABLE_BY_OTHERS and not is_sticky_folder:
        mode = stat.S_IMODE(status.st_mode)
        raise EndpointCacheError(
            f"others may write to the {kind} {path} (mode {mode:o}); run chmod go-w on it and check its contents"
        )


def membership_key(endpoints: Iterable[CachedEndpoint]) -> frozenset[tuple[str, int, str, str]]:
    """Returns a key that differs between views that are stored as separate generations."""
    return frozenset(
        (endpoint.name, endpoint.shard, endpoint.status.value, endpoint.identity) for endpoint in endpoints
    )
