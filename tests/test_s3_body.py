"""Bodies in S3's own chunks: the work for them in a turn of the event loop, and the memory of signed chunks in sum."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import random
import zlib

import anyio
import pytest
from rig import Rig, rig, run_async
from test_s3 import AccessKeys, s3_settings, send_raw
from test_turn_budget import TurnCounter

from winchdyke.peer_limits.memory_account import MemoryAccount
from winchdyke.peer_limits.task_turns import budget_of_running_loop
from winchdyke.peer_limits.turn_budget import UNITS_PER_PEER, UNITS_PER_TURN
from winchdyke.s3.body import BodyVerifier, ExpectedBody
from winchdyke.s3.body_reader import FREE_BUFFER_BYTES, BodyVerificationError, VerifiedBodyReader

CHUNK = b"10\r\n0123456789abcdef\r\n"
END = b"0\r\n\r\n"
MARKER = "STREAMING-UNSIGNED-PAYLOAD-TRAILER"


class TrustingChain:
    """A signature chain that accepts any signature."""

    def verify_chunk(self, digest, signature):
        pass


def reader_of(pieces, verifier, memory):
    """Return a reader of a body that arrives in these pieces."""
    remaining = [*pieces, b""]

    async def receive():
        return remaining.pop(0)

    return VerifiedBodyReader(receive, verifier, 1 << 30, memory)


async def read_all(reader):
    body = bytearray()
    while piece := await reader.read():
        body += piece
    return bytes(body)


def put_in_chunks(chunks: int, number: int) -> bytes:
    body = CHUNK * chunks + END
    lines = (
        f"PUT /school-1/o{number} HTTP/1.1", "host: t", f"content-length: {len(body)}",
        f"x-amz-content-sha256: {MARKER}", f"x-amz-decoded-content-length: {16 * chunks}", "", "",
    )  # fmt: skip
    return "\r\n".join(lines).encode() + body


def test_uploads_in_small_chunks_share_the_work_of_a_turn(tmp_path, monkeypatch):
    # Guards against uploads whose chunks are all decoded in one turn of the event loop: 12,000 elements of four uploads.
    counter = TurnCounter(monkeypatch, BodyVerifier, "_next_piece")

    @run_async
    async def run():
        async with rig(s3_settings(AccessKeys(tmp_path), unsigned="all")) as it:
            counter.start()

            async def put(it: Rig, number: int) -> None:
                assert b"200" in (await send_raw(it, put_in_chunks(4_000, number)))[:20]

            async with anyio.create_task_group() as group:
                for number in range(4):
                    group.start_soon(put, it, number)
            objects = [body for store in it.stores for body, _ in store.object_store.objects.values()]
            assert objects == [CHUNK[4:-2] * 4_000] * 4

    run()
    assert 0 < counter.max_calls <= UNITS_PER_TURN + UNITS_PER_PEER


def test_large_signed_chunks_have_a_bound_in_sum_and_small_ones_go_on():
    # Guards against some hundred clients that each begin a chunk of 16 MiB, which is buffered until its signature.
    async def scenario() -> None:
        memory = MemoryAccount(2 * FREE_BUFFER_BYTES)

        def signed_body(chunk_bytes: int, sent_bytes: int) -> VerifiedBodyReader:
            expected = ExpectedBody(
                "STREAMING-AWS4-HMAC-SHA256-PAYLOAD", TrustingChain(), chunk_bytes, aws_chunked=True
            )
            signature = b";chunk-signature=" + b"0" * 64 + b"\r\n"
            data = b"%x" % chunk_bytes + signature + b"x" * sent_bytes
            if sent_bytes == chunk_bytes:
                data += b"\r\n0" + signature + b"\r\n"
            pieces = [data[at : at + 65_536] for at in range(0, len(data), 65_536)]
            return reader_of(pieces, BodyVerifier(expected), memory)

        readers = [signed_body(4 * FREE_BUFFER_BYTES, 2 * FREE_BUFFER_BYTES) for _ in range(3)]
        for reader in readers[:2]:
            with pytest.raises(BodyVerificationError) as incomplete:
                await read_all(reader)
            assert incomplete.value.error.code == "IncompleteBody"
        assert memory.used_bytes <= memory.limit_bytes + 65_536
        with pytest.raises(BodyVerificationError) as refused:
            await read_all(readers[2])
        assert refused.value.error.code == "SlowDown"
        assert await read_all(signed_body(65_536, 65_536)) == b"x" * 65_536
        for reader in readers:
            reader.release()
        assert memory.used_bytes == 0

    asyncio.run(scenario())


def test_body_is_verified_at_its_end_although_reads_were_cancelled():
    # Guards against a read that is cancelled while it waits for a turn, after which the body would pass unverified.
    async def scenario() -> None:
        body = b"data"
        for md5, is_valid in ((hashlib.md5(body).digest(), True), (b"0" * 16, False)):
            verifier = BodyVerifier(ExpectedBody(length=len(body), md5=md5))
            reader = reader_of([body], verifier, MemoryAccount(0))
            for _ in range(3):
                read = asyncio.create_task(reader.read())
                budget_of_running_loop().spend(UNITS_PER_TURN)
                await asyncio.sleep(0)
                assert read.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await read
            if is_valid:
                assert await read_all(reader) == body
            else:
                with pytest.raises(BodyVerificationError):
                    await read_all(reader)

    asyncio.run(scenario())


@pytest.mark.parametrize("seed", range(20))
def test_body_decoded_in_steps_of_any_size_is_the_body_decoded_in_one(seed):
    # Guards against steps that end within a chunk or a trailer and lose, repeat or accept bytes.
    rng = random.Random(seed)
    payload = rng.randbytes(rng.randrange(1, 6000))
    chunks, at = bytearray(), 0
    while at < len(payload):
        chunk = payload[at : at + rng.randrange(1, 700)]
        chunks += b"%x\r\n%s\r\n" % (len(chunk), chunk)
        at += len(chunk)
    checksum = base64.b64encode(zlib.crc32(payload).to_bytes(4))
    encoded = bytes(chunks) + b"0\r\nx-amz-checksum-crc32:" + checksum + b"\r\n\r\n"
    verifier = BodyVerifier(
        ExpectedBody(MARKER, length=len(payload), checksum_values={"crc32": None}, aws_chunked=True)
    )
    decoded = bytearray()
    at = 0
    while at < len(encoded) or verifier.has_more_work:
        if not verifier.has_more_work or rng.random() < 0.3:
            piece = encoded[at : at + rng.randrange(1, 900)]
            verifier.add(piece)
            at += len(piece)
        units_before = verifier.work_units
        max_units = rng.randrange(1, 20)
        decoded += verifier.decode(max_units)
        assert verifier.work_units <= units_before + max_units
    assert bytes(decoded) + verifier.finish() == payload
