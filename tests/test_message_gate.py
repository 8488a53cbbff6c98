"""The bounds on the framing of one message: what they stop, and that all usual forms of messages pass."""

from __future__ import annotations

import random

import pytest

from winchdyke.http1 import ClientCodec, EndOfBody, NeedData, ProtocolError, RequestHead, ServerCodec
from winchdyke.peer_limits.message_gate import (
    EVENT_WORK_UNITS,
    MAX_CHUNKED_PIECE_BYTES,
    MAX_EXCESS_FRAMING_BYTES,
    MAX_HEAD_LINES,
)

HEADER_BYTES = 16 * 1024
CHUNKED_PUT = b"PUT /o HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\n"
CHUNKED_RESPONSE = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunked(data: bytes, sizes: list[int], extension: bytes = b"") -> bytes:
    """Return data in chunks whose sizes repeat in this order."""
    parts = []
    at = 0
    while at < len(data):
        piece = data[at : at + sizes[len(parts) % len(sizes)]]
        parts.append(b"%x%s\r\n%s\r\n" % (len(piece), extension, piece))
        at += len(piece)
    return b"".join(parts) + b"0\r\n"


def read_message(codec: ServerCodec | ClientCodec) -> tuple[object, bytes] | None:
    """Return the head and the body of the next message; None if it is incomplete."""
    head = codec.head()
    if isinstance(head, NeedData) or head is None:
        return None
    return head, read_body(codec)


def read_body(codec: ServerCodec | ClientCodec) -> bytes:
    body = b""
    while not isinstance(codec, ServerCodec) or not codec.body_done:
        piece = codec.body()
        if isinstance(piece, EndOfBody):
            break
        assert not isinstance(piece, NeedData), "the body is incomplete"
        body += piece
    return body


def requests_in_pieces(data: bytes, sizes: list[int]) -> list[tuple[bytes, bytes]]:
    """Feed a server pieces of these sizes in turn; return the targets and bodies of all requests."""
    codec = ServerCodec(HEADER_BYTES)
    found: list[tuple[bytes, bytes]] = []
    head: RequestHead | None = None
    body = b""
    at = count = 0
    while True:
        if head is None and isinstance(next_head := codec.head(), RequestHead):
            head = next_head
            body = b""
        while head is not None and not codec.body_done and not isinstance(piece := codec.body(), NeedData):
            body += b"" if isinstance(piece, EndOfBody) else piece
        if head is not None and codec.body_done:
            found.append((head.target, body))
            head = None
            codec.response_head(200, [(b"content-length", b"0")])
            codec.end()
            codec.next_cycle()
            continue
        if at >= len(data):
            assert not codec.buffered_bytes, "nothing is left over"
            return found
        size = sizes[count % len(sizes)]
        codec.feed(data[at : at + size])
        at += size
        count += 1


@pytest.mark.parametrize("seed", range(40))
def test_messages_in_pieces_and_in_all_forms_are_read_as_they_are(seed):
    # Guards against bounds that stop usual clients: any chunks, extensions, trailers, pieces and pipelined requests.
    draw = random.Random(seed)
    expected = []
    data = b""
    for number in range(draw.randint(1, 6)):
        body = draw.randbytes(draw.choice((0, 1, 212, 4_000, 70_000)))
        target = b"/%d" % number
        head = b"PUT %s HTTP/1.1\r\nhost: t\r\n" % target
        head += b"".join(
            b"x-%d: %s\r\n" % (i, b"v" * draw.randint(0, 90)) for i in range(draw.randint(0, 100))
        )
        expected.append((target, body))
        if draw.random() < 0.4:
            data += head + b"content-length: %d\r\n\r\n" % len(body) + body
            continue
        smallest = 1 if len(body) <= 4_000 else 3
        sizes = [draw.randint(smallest, draw.choice((8, 300, 70_000))) for _ in range(5)]
        trailers = b"".join(b"t-%d: v\r\n" % i for i in range(draw.choice((0, 0, 3))))
        extension = draw.choice((b"", b";a=b")) if min(sizes) > 10 else b""
        data += (
            head
            + b"transfer-encoding: chunked\r\n\r\n"
            + chunked(body, sizes, extension)
            + trailers
            + b"\r\n"
        )
    largest_piece = draw.choice((3, 500, 65_536)) if len(data) < 30_000 else draw.choice((500, 65_536))
    pieces = [draw.randint(1, largest_piece) for _ in range(9)]
    assert requests_in_pieces(data, pieces) == expected


@pytest.mark.parametrize(
    ("name", "body"),
    [
        ("chunks of a byte", chunked(b"x" * 60_000, [1])),
        ("chunk extensions", chunked(b"x" * 4_000, [100], b";" + b"e" * 2_000)),
        ("one long extension", b"1;" + b"e" * 30_000 + b"\r\nx\r\n0\r\n"),
        ("trailers", b"0\r\n" + b"a:b\r\n" * 3_000),
        ("trailers that never end", b"0\r\n" + b"a:b\r\n" * 200),
    ],
)
@pytest.mark.parametrize("side", ["client", "store"])
def test_framing_that_outweighs_its_payload_is_rejected(name, body, side):
    # Guards against bodies of 60 MB in chunks of a byte, which kept the gateway busy for tens of seconds.
    del name
    codec = ServerCodec(HEADER_BYTES) if side == "client" else ClientCodec(HEADER_BYTES)
    if isinstance(codec, ClientCodec):
        codec.request("GET", b"/o", [(b"host", b"t")])
        codec.end()
    codec.feed(CHUNKED_PUT if side == "client" else CHUNKED_RESPONSE)
    codec.head()
    codec.feed(body)
    with pytest.raises(ProtocolError) as raised:
        for _ in range(len(body)):
            if isinstance(codec.body(), (NeedData, EndOfBody)):
                # The bound on trailers that are incomplete is looked at with the next bytes.
                codec.feed(b"a:b\r\n")
    assert raised.value.status == (400 if side == "client" else 502)
    worst_events = (MAX_EXCESS_FRAMING_BYTES + 2 * MAX_CHUNKED_PIECE_BYTES) / 3
    assert codec.work_units <= EVENT_WORK_UNITS * worst_events


def test_a_body_of_one_byte_chunks_is_read_while_its_framing_is_small():
    codec = ServerCodec(HEADER_BYTES)
    body = b"x" * 4_000
    codec.feed(CHUNKED_PUT + chunked(body, [1]) + b"\r\n")
    message = read_message(codec)
    assert message is not None and message[1] == body


@pytest.mark.parametrize(
    "head",
    [
        b"GET /o HTTP/1.1\r\nhost: t\r\n" + b"a:b\r\n" * MAX_HEAD_LINES,
        b"GET /o HTTP/1.1\r\nhost: t\r\nx: " + b"y" * HEADER_BYTES,
        b"GET /o HTTP/1.1\r\nhost: t\r\nx: a\r\n" + b" b\r\n" * MAX_HEAD_LINES,
    ],
    ids=["lines", "bytes", "folded lines"],
)
@pytest.mark.parametrize("piece_bytes", [100, 65_536])
def test_a_head_is_rejected_before_it_is_parsed_or_complete(head, piece_bytes):
    # Guards against heads of 64 KiB that arrive in one piece and are taken apart before they are found too long.
    codec = ServerCodec(HEADER_BYTES)
    with pytest.raises(ProtocolError) as raised:
        for at in range(0, len(head), piece_bytes):
            codec.feed(head[at : at + piece_bytes])
            codec.head()
        codec.feed(b"\r\n")
        codec.head()
    assert (raised.value.status, raised.value.reason) == (431, "head-too-large")
    assert codec.work_units == 0


def test_interim_responses_count_with_the_head_that_they_precede():
    # Guards against interim responses without an end, which never come to a body whose size is limited.
    codec = ClientCodec(HEADER_BYTES)
    codec.request("GET", b"/o", [(b"host", b"t")])
    codec.end()
    codec.feed(b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n" * 5 + b"HTTP/1.1 100 Continue\r\n\r\n")
    assert isinstance(codec.head(), NeedData)
    codec.feed(b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000)
    with pytest.raises(ProtocolError) as raised:
        codec.head()
    assert raised.value.reason == "store-framing"
    assert codec.work_units <= MAX_HEAD_LINES


def test_a_response_without_a_length_is_read_to_the_end_of_its_connection():
    codec = ClientCodec(HEADER_BYTES)
    codec.request("GET", b"/o", [(b"host", b"t")])
    codec.end()
    codec.feed(b"HTTP/1.1 200 OK\r\n\r\nhalf")
    codec.head()
    assert codec.body() == b"half" and isinstance(codec.body(), NeedData)
    codec.feed(b" whole")
    codec.feed(b"")
    assert read_body(codec) == b" whole"
