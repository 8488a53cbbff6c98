"""Datagrams between gateways: msgpack under 1,200 bytes, sealed by keyed BLAKE2, every field bounded. Pure.

A sealed message is ``WF``, a version byte, a byte kept at 0, 16 bytes of BLAKE2b keyed with the fleet's secret over all else,
then the msgpack of an :class:`Envelope`. Arrays, not maps: a later version may add fields at an end, which are passed over here.
What can't be used raises :class:`Dropped` with the reason that it is counted under, and is never answered: whoever has no key
learns nothing, not even that somebody listens.

Replays need no clock: each life of a sender counts its messages, and :class:`Window` takes each count once (the scheme of
RFC 4303, section 3.4.3).
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec

MAGIC, VERSION, MAC_BYTES = b"WF", 1, 16
HEADER_BYTES = len(MAGIC) + 2 + MAC_BYTES
MAX_RECORD_BYTES = 4 * (64 + 2) + 3 * 9 + 6  # bytes of the largest entry
MAX_DATAGRAM_BYTES = (
    1200  # bytes: under the least path MTU that IPv6 promises (1,280) with its headers and UDP's
)
MAX_STATE_EXCHANGE_BYTES = 1 << 20  # bytes of a full exchange
MAX_NAME_BYTES, MAX_ADDRESS_BYTES = 64, 64
MAX_RECORDS = 4096  # of a full exchange; a datagram's are bounded by its bytes
MAX_INTEGER = (1 << 63) - 1

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_BYTES)]
OptionalName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_BYTES)]
Address = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_BYTES)]
UnsignedInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class MemberState(IntEnum):
    """What is said of a member. Of equal life and incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """What a message is."""

    PING = 1  # answered by ACK with its number
    ACK = 2
    PING_REQ = 3  # ping ``target`` for me: answered by ACK if it answers, by NACK if it has not after a part of the time
    NACK = 4
    STATE_EXCHANGE = 5  # over TCP: all that I know, answered with all that the other knows


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """What is said of one member: its life (told at its start), its word against accusations (incarnation), by whom."""

    name: Name
    address: Address
    zone: OptionalName
    index: Annotated[int, msgspec.Meta(ge=0, le=65535)]
    generation: UnsignedInteger
    incarnation: UnsignedInteger
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]
    reported_by: OptionalName = ""

    @property
    def precedence(self) -> tuple[int, int, int]:
        """What wins over what: a later life, then a higher incarnation, then the worse word."""
        return self.generation, self.incarnation, self.state


class SwimMessage(msgspec.Struct, array_like=True, frozen=True):
    """One message. ``to`` is whom it is meant for ("": whoever is there); ``age`` is the ms since the one named by the ping
    it answers was heard directly (-1: never)."""

    sender: Name
    generation: UnsignedInteger
    message_counter: UnsignedInteger
    recipient: OptionalName
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)]
    request_id: UnsignedInteger = 0
    target: OptionalName = ""
    target_silence_ms: Annotated[int, msgspec.Meta(ge=-1, le=MAX_INTEGER)] = -1
    records: Annotated[list[MemberRecord], msgspec.Meta(max_length=MAX_RECORDS)] = []


class MessageRejectedError(Exception):
    """A message that is not used; ``reason`` is what it is counted under."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SwimMessage)
KINDS = frozenset(MessageKind)


def encoded_size(entry: MemberRecord) -> int:
    """Bytes that an entry takes in a message."""
    return len(_encoder.encode(entry))


def message_mac(secret: bytes, head: bytes, body: bytes) -> bytes:
    return blake2b(head + body, key=secret, digest_size=MAC_BYTES).digest()


def seal(envelope: SwimMessage, secret: bytes) -> bytes:
    """The bytes that go out; ``secret`` is 16 to 64 bytes."""
    head, body = MAGIC + bytes((VERSION, 0)), _encoder.encode(envelope)
    return head + message_mac(secret, head, body) + body


def unseal(data: bytes, secrets: Sequence[bytes], most: int = MAX_DATAGRAM_BYTES) -> SwimMessage:
    """What was sealed with one of the secrets. Dropped."""
    if len(data) > most:
        raise MessageRejectedError("too-long")
    if len(data) < HEADER_BYTES or data[:2] != MAGIC:
        raise MessageRejectedError("not-ours")
    if data[2] != VERSION:
        raise MessageRejectedError("version")
    head, tag, body = (
        data[: HEADER_BYTES - MAC_BYTES],
        data[HEADER_BYTES - MAC_BYTES : HEADER_BYTES],
        data[HEADER_BYTES:],
    )
    if not any(hmac.compare_digest(message_mac(secret, head, body), tag) for secret in secrets):
        raise MessageRejectedError("seal")
    try:
        envelope = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise MessageRejectedError("fields") from None
    for entry in envelope.records:
        # The bounds above count characters; what rides on in datagrams is bounded in bytes.
        if any(
            len(text.encode()) > MAX_NAME_BYTES
            for text in (entry.name, entry.address, entry.zone, entry.reported_by)
        ):
            raise MessageRejectedError("fields")
    if envelope.kind not in KINDS:
        raise MessageRejectedError("kind")  # a later version's: its entries are left alone, too
    return envelope


class ReplayWindow:
    """Which counts of one life have come: each is taken once, and none that lies far behind the highest."""

    __slots__ = ("_bits", "highest", "generation")
    SIZE = 256  # counts behind the highest that may still come: reordered datagrams

    def __init__(self, life: int) -> None:
        self.generation, self.highest, self._bits = life, -1, 0

    def accept(self, counter: int) -> bool:
        """Whether this count is new; it is not from then on."""
        ahead = counter - self.highest
        if ahead > 0:
            self._bits = ((self._bits << ahead) if ahead < self.SIZE else 0) & ((1 << self.SIZE) - 1) | 1
            self.highest = counter
            return True
        if -ahead >= self.SIZE or self._bits >> -ahead & 1:
            return False
        self._bits |= 1 << -ahead
        return True
