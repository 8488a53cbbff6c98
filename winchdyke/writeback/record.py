"""A write as it is stored in the log, and the key under which stores remember it."""

from __future__ import annotations

import hashlib
import uuid

import msgspec

from winchdyke.writeback.write_order import WriteStamp


class WriteBackRecord(msgspec.Struct, array_like=True):
    """A write as it is stored in the log; fields are added at the end, so that logs of earlier releases are read.

    Attributes:
        volume: The object's volume.
        key: The object's key.
        class_name: Name of the request class.
        repeat_key: The client's Idempotency-Key; empty: the client sent none.
        passed: The client's headers that are passed to the store.
        shard: The shard that holds the object.
        units: The work of the write.
        etag: The ETag that the store will give the object.
        unix_ms: When it was acknowledged.
        client_request: The client's own id of the request.
        body: The object's content.
        write_key: Names the write among those of all gateways; empty in records of earlier releases.
        clock: The name of the clock of ``unix_ms``; empty in records of earlier releases.
    """

    volume: str
    key: str
    class_name: str
    repeat_key: str
    passed: list[tuple[bytes, bytes]]
    shard: int
    units: float
    etag: str
    unix_ms: float
    client_request: str
    body: bytes
    write_key: str = ""
    clock: str = ""

    @property
    def stamp(self) -> WriteStamp:
        """The write's place in the order of acknowledged writes."""
        return WriteStamp(self.unix_ms, self.clock)

    @property
    def idempotency_key(self) -> str:
        """The key under which the write is sent, the same for every sending.

        Stores remember it for all gateways, so it is the client's or one drawn at random. The key of a record of an earlier
        release is derived from what the record tells of the write.
        """
        return self.repeat_key or self.write_key or self._derived_key()

    def _derived_key(self) -> str:
        identity = msgspec.msgpack.encode(
            (self.volume, self.key, self.etag, self.unix_ms, self.client_request)
        )
        return f"log-{hashlib.sha256(identity).hexdigest()[:32]}"


def new_write_key() -> str:
    """Draw a key for a write: 122 random bits, so that no two writes share one, whichever gateway or log has them."""
    return f"log-{uuid.uuid4().hex}"


def etag_of(body: bytes) -> str:
    """Return the ETag that a store gives an object that is put in one piece (``docs/store-protocol.md``)."""
    return f'"{hashlib.md5(body, usedforsecurity=False).hexdigest()}"'
