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

MAGIC, VERSION, TAG = b"WF", 1, 16
HEAD = len(MAGIC) + 2 + TAG
ENTRY_MOST = 4 * (64 + 2) + 3 * 9 + 6  # bytes of the largest entry
DATAGRAM_MOST = 1200  # bytes: under the least path MTU that IPv6 promises (1,280) with its headers and UDP's
EXCHANGE_MOST = 1 << 20  # bytes of a full exchange
NAME_MOST, ADDRESS_MOST = 64, 64
ENTRIES_MOST = 4096  # of a full exchange; a datagram's are bounded by its bytes
NUMBER_MOST = (1 << 63) - 1

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=NAME_MOST)]
MayName = Annotated[str, msgspec.Meta(max_length=NAME_MOST)]
Address = Annotated[str, msgspec.Meta(max_length=ADDRESS_MOST)]
Number = Annotated[int, msgspec.Meta(ge=0, le=NUMBER_MOST)]


class State(IntEnum):
    """What is said of a member. Of equal life and incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Kind(IntEnum):
    """What a message is."""

    PING = 1  # answered by ACK with its number
    ACK = 2
    ASK = 3  # ping ``target`` for me: answered by ACK if it answers, by NACK if it has not after a part of the time
    NACK = 4
    EXCHANGE = 5  # over TCP: all that I know, answered with all that the other knows


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """What is said of one member: its life (told at its start), its word against accusations (incarnation), by whom."""

    name: Name
    address: Address
    zone: MayName
    index: Annotated[int, msgspec.Meta(ge=0, le=65535)]
    life: Number
    incarnation: Number
    state: Annotated[int, msgspec.Meta(ge=0, le=3)]
    by: MayName = ""

    @property
    def order(self) -> tuple[int, int, int]:
        """What wins over what: a later life, then a higher incarnation, then the worse word."""
        return self.life, self.incarnation, self.state


class Envelope(msgspec.Struct, array_like=True, frozen=True):
    """One message. ``to`` is whom it is meant for ("": whoever is there); ``age`` is the ms since the one named by the ping
    it answers was heard directly (-1: never)."""

    sender: Name
    life: Number
    counter: Number
    to: MayName
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)]
    number: Number = 0
    target: MayName = ""
    age: Annotated[int, msgspec.Meta(ge=-1, le=NUMBER_MOST)] = -1
    entries: Annotated[list[Entry], msgspec.Meta(max_length=ENTRIES_MOST)] = []


class Dropped(Exception):
    """A message that is not used; ``reason`` is what it is counted under."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)
KINDS = frozenset(Kind)


def size(entry: Entry) -> int:
    """Bytes that an entry takes in a message."""
    return len(_encoder.encode(entry))


def _tag(secret: bytes, head: bytes, body: bytes) -> bytes:
    return blake2b(head + body, key=secret, digest_size=TAG).digest()


def seal(envelope: Envelope, secret: bytes) -> bytes:
    """The bytes that go out; ``secret`` is 16 to 64 bytes."""
    head, body = MAGIC + bytes((VERSION, 0)), _encoder.encode(envelope)
    return head + _tag(secret, head, body) + body


def unseal(data: bytes, secrets: Sequence[bytes], most: int = DATAGRAM_MOST) -> Envelope:
    """What was sealed with one of the secrets. Dropped."""
    if len(data) > most:
        raise Dropped("too-long")
    if len(data) < HEAD or data[:2] != MAGIC:
        raise Dropped("not-ours")
    if data[2] != VERSION:
        raise Dropped("version")
    head, tag, body = data[: HEAD - TAG], data[HEAD - TAG : HEAD], data[HEAD:]
    if not any(hmac.compare_digest(_tag(secret, head, body), tag) for secret in secrets):
        raise Dropped("seal")
    try:
        envelope = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise Dropped("fields") from None
    for entry in envelope.entries:
        # The bounds above count characters; what rides on in datagrams is bounded in bytes.
        if any(len(text.encode()) > NAME_MOST for text in (entry.name, entry.address, entry.zone, entry.by)):
            raise Dropped("fields")
    if envelope.kind not in KINDS:
        raise Dropped("kind")  # a later version's: its entries are left alone, too
    return envelope


class Window:
    """Which counts of one life have come: each is taken once, and none that lies far behind the highest."""

    __slots__ = ("_bits", "highest", "life")
    WIDE = 256  # counts behind the highest that may still come: reordered datagrams

    def __init__(self, life: int) -> None:
        self.life, self.highest, self._bits = life, -1, 0

    def takes(self, counter: int) -> bool:
        """Whether this count is new; it is not from then on."""
        ahead = counter - self.highest
        if ahead > 0:
            self._bits = ((self._bits << ahead) if ahead < self.WIDE else 0) & ((1 << self.WIDE) - 1) | 1
            self.highest = counter
            return True
        if -ahead >= self.WIDE or self._bits >> -ahead & 1:
            return False
        self._bits |= 1 << -ahead
        return True
