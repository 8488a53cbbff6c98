"""The wire format between gateways: authenticated msgpack with a bound on every field. Without I/O.

A sealed message is ``WF``, a version byte, a reserved byte (0), 16 bytes of BLAKE2b keyed with the gateways' shared secret over
everything else, then the msgpack of a :class:`SwimMessage`. Structs are encoded as arrays, so that the position of a field is
part of the format and its name is not; a later version may append fields, which this one skips. An invalid message raises
:class:`MessageRejectedError` and is never answered: a sender without the key can't even detect that a process is listening.

Replays are rejected without a clock: each generation of a sender numbers its messages, and :class:`ReplayWindow` accepts each
number once (the anti-replay window of RFC 4303, section 3.4.3).
"""

from __future__ import annotations

import hmac
from collections.abc import Sequence
from enum import IntEnum
from hashlib import blake2b
from typing import Annotated

import msgspec

from winchdyke.membership.errors import MessageRejectedError

MAGIC = b"WF"
VERSION = 1
MAC_BYTES = 16
HEADER_BYTES = len(MAGIC) + 2 + MAC_BYTES
MAX_DATAGRAM_BYTES = 1200  # less than IPv6's minimum path MTU (1,280), also with the headers of IPv6 and UDP
MAX_STATE_EXCHANGE_BYTES = 1 << 20
MAX_NAME_BYTES = 64
MAX_ADDRESS_BYTES = 64
MAX_RECORDS = 4096  # maximum records in a state exchange; in a datagram, its size is the bound
MAX_INTEGER = (1 << 63) - 1

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_BYTES)]
OptionalName = Annotated[str, msgspec.Meta(max_length=MAX_NAME_BYTES)]
Address = Annotated[str, msgspec.Meta(max_length=MAX_ADDRESS_BYTES)]
UnsignedInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]


class MemberState(IntEnum):
    """A member's state. Of records of equal generation and incarnation the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MessageKind(IntEnum):
    """The type of a message."""

    PING = 1  # answered by an ACK with its request id
    ACK = 2
    # Requests a ping of ``target``; answered by an ACK if the target answers, by a NACK if it has not answered after a
    # fraction of the timeout.
    PING_REQ = 3
    NACK = 4
    STATE_EXCHANGE = 5  # sent over TCP: all records of the sender; answered with those of the receiver


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """The state of one member as reported by a member.

    ``generation`` distinguishes the successive processes of one name; ``incarnation`` counts the refutations of one process,
    and is raised by that process only; ``reported_by`` is the member that set the state ("": the member itself).
    """

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
        """The order in which records of one member win: later generation, higher incarnation, worse state."""
        return self.generation, self.incarnation, self.state


class SwimMessage(msgspec.Struct, array_like=True, frozen=True):
    """One message.

    ``recipient`` is the name of the intended member ("": any process at the address). ``target_silence_ms`` is the time since
    the answering member directly received a message from the member that the ping names (-1: never).
    """

    sender: Name
    generation: UnsignedInteger
    message_counter: UnsignedInteger
    recipient: OptionalName
    kind: Annotated[int, msgspec.Meta(ge=0, le=255)]
    request_id: UnsignedInteger = 0
    target: OptionalName = ""
    target_silence_ms: Annotated[int, msgspec.Meta(ge=-1, le=MAX_INTEGER)] = -1
    records: Annotated[list[MemberRecord], msgspec.Meta(max_length=MAX_RECORDS)] = []


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SwimMessage)
_KNOWN_KINDS = frozenset(MessageKind)


def encoded_size(record: MemberRecord) -> int:
    """Returns the size in bytes of a record in a message."""
    return len(_encoder.encode(record))


def message_mac(secret: bytes, header: bytes, body: bytes) -> bytes:
    """Returns the authentication code over the header's first bytes and the body."""
    return blake2b(header + body, key=secret, digest_size=MAC_BYTES).digest()


def seal(message: SwimMessage, secret: bytes) -> bytes:
    """Encodes and authenticates a message with a secret of 16 to 64 bytes."""
    header = MAGIC + bytes((VERSION, 0))
    body = _encoder.encode(message)
    return header + message_mac(secret, header, body) + body


def unseal(data: bytes, secrets: Sequence[bytes], max_bytes: int = MAX_DATAGRAM_BYTES) -> SwimMessage:
    """Returns the message that was sealed with one of the secrets.

    Raises MessageRejectedError with the reason ``too-long``, ``not-ours``, ``version``, ``seal``, ``fields`` or ``kind``.
    """
    if len(data) > max_bytes:
        raise MessageRejectedError("too-long")
    if len(data) < HEADER_BYTES or data[:2] != MAGIC:
        raise MessageRejectedError("not-ours")
    if data[2] != VERSION:
        raise MessageRejectedError("version")
    header = data[: HEADER_BYTES - MAC_BYTES]
    mac = data[HEADER_BYTES - MAC_BYTES : HEADER_BYTES]
    body = data[HEADER_BYTES:]
    if not any(hmac.compare_digest(message_mac(secret, header, body), mac) for secret in secrets):
        raise MessageRejectedError("seal")
    return _decode(body)


def _decode(body: bytes) -> SwimMessage:
    try:
        message = _decoder.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise MessageRejectedError("fields") from None
    if any(_is_oversized(record) for record in message.records):
        raise MessageRejectedError("fields")
    if message.kind not in _KNOWN_KINDS:
        # The message is of a later version, whose records may have another meaning.
        raise MessageRejectedError("kind")
    return message


def _is_oversized(record: MemberRecord) -> bool:
    """Returns whether a text exceeds its bound in bytes; the decoder's bounds count characters."""
    texts = (record.name, record.address, record.zone, record.reported_by)
    return any(len(text.encode()) > MAX_NAME_BYTES for text in texts)


class ReplayWindow:
    """Accepts each message counter of one generation once, and none far behind the highest (RFC 4303, section 3.4.3)."""

    __slots__ = ("_bits", "generation", "highest")
    SIZE = 256  # number of counters behind the highest that are still accepted, for reordered datagrams

    def __init__(self, generation: int) -> None:
        self.generation = generation
        self.highest = -1
        self._bits = 0

    def accept(self, counter: int) -> bool:
        """Returns whether the counter is new, and marks it as received."""
        ahead = counter - self.highest
        if ahead > 0:
            shifted = (self._bits << ahead) if ahead < self.SIZE else 0
            self._bits = shifted & ((1 << self.SIZE) - 1) | 1
            self.highest = counter
            return True
        if -ahead >= self.SIZE or self._bits >> -ahead & 1:
            return False
        self._bits |= 1 << -ahead
        return True
