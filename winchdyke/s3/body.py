"""Verification of request bodies on their way to a store.

An aws-chunked body is decoded first. A store executes a request once it has received the last byte of
the body. Therefore the last bytes are held back until the whole body is verified: the signatures of the
chunks, SHA-256, Content-MD5, the checksums in headers and trailers, and the length. Pure: no I/O.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from dataclasses import dataclass, field

from winchdyke.auth.sigv4 import (
    STREAMING_PAYLOAD,
    STREAMING_PAYLOAD_TRAILER,
    STREAMING_UNSIGNED_PAYLOAD_TRAILER,
    AuthError,
    ChunkSignatureChain,
)
from winchdyke.peer_limits.message_gate import FRAMING_BYTES_PER_PAYLOAD_BYTE, MAX_EXCESS_FRAMING_BYTES
from winchdyke.s3 import checksums
from winchdyke.s3.errors import S3Error

MAX_LINE_BYTES = 8 * 1024  # chunk headers and trailer lines
MAX_SIGNED_CHUNK_BYTES = 16 << 20  # a signed chunk is buffered until its signature is verified
MAX_TRAILERS = 16
# In units of the turn budget: a chunk header, its data, the end of a chunk, or a line of trailers.
ELEMENT_WORK_UNITS = 1
HASHED_BYTES_PER_UNIT = 4 * 1024
_CHUNK_HEADER = re.compile(rb"([0-9a-fA-F]{1,12})(?:;chunk-signature=([0-9a-f]{64}))?")
_TRAILER_LINE = re.compile(r"([a-z0-9-]{1,64}):(.{0,4096})")


@dataclass
class ExpectedBody:
    """The properties of a body that the client declared in the request's headers.

    Attributes:
        payload_hash: The value of x-amz-content-sha256.
        signature_chain: Verifies the signatures of the chunks; None: the chunks are not signed.
        length: Bytes of the decoded body; None: not declared.
        md5: The digest in Content-MD5; None: not declared.
        checksum_values: Checksums by algorithm; None: the value follows in a trailer.
        aws_chunked: Whether the body is in the aws-chunked encoding.
    """

    payload_hash: str = ""
    signature_chain: ChunkSignatureChain | None = None
    length: int | None = None
    md5: bytes | None = None
    checksum_values: dict[str, bytes | None] = field(default_factory=dict)
    aws_chunked: bool = False


class BodyVerifier:
    """Decodes and verifies a body incrementally, and returns the bytes that may be forwarded to the store.

    Attributes:
        work_units: Work so far, in units of the turn budget.
        has_more_work: Whether bytes were added that :meth:`decode` has not processed.
    """

    def __init__(self, expected: ExpectedBody) -> None:
        self.expected = expected
        self._plain: list[bytes | bytearray] = []  # added bytes of a body that is not aws-chunked
        self._undecoded = bytearray()
        self._held = b""
        self._received = 0
        self.work_units = 0
        self.has_more_work = False
        self._encoded_bytes = 0  # of an aws-chunked body, with its framing
        self._chunk_remaining = 0  # bytes of the current chunk that have not been received
        self._chunk_signature = ""
        self._state = "chunk header" if expected.aws_chunked else "identity"
        self._sha256 = hashlib.sha256() if re.fullmatch(r"[0-9a-f]{64}", expected.payload_hash) else None
        self._md5 = hashlib.md5(usedforsecurity=False) if expected.md5 is not None else None
        self.running_checksums = {name: checksums.ALGORITHMS[name]() for name in expected.checksum_values}
        self._trailers: list[tuple[str, str]] = []
        self._signed_chunks = expected.aws_chunked and expected.payload_hash in (
            STREAMING_PAYLOAD,
            STREAMING_PAYLOAD_TRAILER,
        )
        if self._signed_chunks and expected.signature_chain is None:
            raise S3Error("AccessDenied", "a body in signed chunks requires a signed request")

    @property
    def buffered_bytes(self) -> int:
        """The bytes that are not decoded yet, as of an incomplete signed chunk, and those held back."""
        return len(self._undecoded) + len(self._held)

    def add(self, data: bytes | bytearray) -> None:
        """Adds bytes of the body as sent by the client."""
        self.has_more_work = self.has_more_work or bool(data)
        if self._state == "identity":
            self._plain.append(data)
            return
        self._encoded_bytes += len(data)
        self._undecoded += data

    def feed(self, data: bytes | bytearray) -> bytes:
        """Adds bytes and decodes all of them; see :meth:`decode`."""
        self.add(data)
        return self.decode()

    def decode(self, max_work_units: float = float("inf")) -> bytes:
        """Processes the bytes that were added, until ``max_work_units`` of work are done.

        Returns the bytes that may be forwarded.

        Raises:
            S3Error: The body is malformed or longer than declared, or the signature of a chunk is wrong.
        """
        self.has_more_work = False
        if self._state == "identity":
            data = b"".join(self._plain)
            self._plain.clear()
            return self._accept(data)
        last_work_units = self.work_units + max_work_units
        out = []
        try:
            while piece := self._next_piece():
                self.work_units += ELEMENT_WORK_UNITS
                if piece[0]:
                    out.append(self._accept(piece[0]))
                if self.work_units >= last_work_units:
                    self.has_more_work = True
                    break
        except AuthError as error:
            raise S3Error(error.code, error.text, error.status) from error
        self._check_framing()
        return b"".join(out)

    def _check_framing(self) -> None:
        """Reject chunks whose framing outweighs their payload; the work for a chunk does not depend on its size."""
        framing_bytes = self._encoded_bytes - len(self._undecoded) - self._received
        if framing_bytes > MAX_EXCESS_FRAMING_BYTES + FRAMING_BYTES_PER_PAYLOAD_BYTE * self._received:
            raise S3Error("InvalidChunkSizeError", "the framing of the chunks outweighs their payload", 400)

    def _accept(self, data: bytes) -> bytes:
        self._received += len(data)
        self.work_units += len(data) // HASHED_BYTES_PER_UNIT
        length = self.expected.length
        if length is not None and self._received > length:
            raise S3Error(
                "IncompleteBody", f"the body is longer than the declared length of {length} bytes", 400
            )
        for checksum in (self._sha256, self._md5, *self.running_checksums.values()):
            if checksum is not None:
                checksum.update(data)
        if not data:
            return b""
        ready, self._held = self._held, data
        return ready

    def _read_line(self) -> bytes | None:
        line_end = self._undecoded.find(b"\r\n")
        if line_end < 0:
            if len(self._undecoded) > MAX_LINE_BYTES:
                raise _malformed_body("a chunk header or trailer line is too long")
            return None
        line = bytes(self._undecoded[:line_end])
        del self._undecoded[: line_end + 2]
        return line

    def _next_piece(self) -> tuple[bytes] | None:
        """Decodes the next element of the aws-chunked body.

        Returns its payload, empty for headers and trailers; None if more input is needed.
        """
        if self._state == "chunk header":
            line = self._read_line()
            if line is None:
                return None
            chunk_header = _CHUNK_HEADER.fullmatch(line)
            if not chunk_header or bool(chunk_header[2]) != self._signed_chunks:
                raise _malformed_body("invalid chunk header")
            self._chunk_remaining, self._chunk_signature = (
                int(chunk_header[1], 16),
                (chunk_header[2] or b"").decode(),
            )
            if self._signed_chunks and self._chunk_remaining > MAX_SIGNED_CHUNK_BYTES:
                raise _malformed_body(f"a signed chunk is larger than {MAX_SIGNED_CHUNK_BYTES} bytes")
            if self._chunk_remaining == 0:
                if self._signed_chunks:
                    self._verify_chunk(b"")
                self._state = "trailer"
            else:
                self._state = "data"
            return (b"",)
        if self._state == "data":
            if not self._undecoded or (self._signed_chunks and len(self._undecoded) < self._chunk_remaining):
                return None
            chunk_data = bytes(self._undecoded[: self._chunk_remaining])
            del self._undecoded[: len(chunk_data)]
            self._chunk_remaining -= len(chunk_data)
            if self._signed_chunks:
                self._verify_chunk(chunk_data)
            if not self._chunk_remaining:
                self._state = "end of chunk"
            return (chunk_data,)
        if self._state == "end of chunk":
            if len(self._undecoded) < 2:
                return None
            if self._undecoded[:2] != b"\r\n":
                raise _malformed_body("the data of a chunk is longer than its header declares")
            del self._undecoded[:2]
            self._state = "chunk header"
            return (b"",)
        if self._state == "trailer":
            line = self._read_line()
            if line is None:
                return None
            if not line:
                self._state = "complete"
                return (b"",)
            trailer_match = _TRAILER_LINE.fullmatch(line.decode("latin-1"))
            if not trailer_match or len(self._trailers) >= MAX_TRAILERS:
                raise _malformed_body("invalid trailer line, or too many trailers")
            self._trailers.append((trailer_match[1], trailer_match[2].strip()))
            return (b"",)
        if self._undecoded:
            raise _malformed_body("bytes follow the end of the body")
        return None

    def _verify_chunk(self, chunk_data: bytes) -> None:
        assert self.expected.signature_chain is not None
        self.expected.signature_chain.verify_chunk(
            hashlib.sha256(chunk_data).hexdigest(), self._chunk_signature
        )

    def finish(self) -> bytes:
        """Verifies the complete body, and returns the bytes that were held back.

        Raises:
            S3Error: The body is incomplete, or its length or a checksum differs from the declared one.
        """
        expected = self.expected
        if expected.aws_chunked:
            self._finish_chunked()
        if expected.length is not None and self._received != expected.length:
            raise S3Error(
                "IncompleteBody",
                f"{self._received} bytes were received; {expected.length} were declared",
                400,
            )
        if self._sha256 is not None and not hmac.compare_digest(
            self._sha256.hexdigest(), expected.payload_hash
        ):
            raise S3Error(
                "XAmzContentSHA256Mismatch",
                "the SHA-256 of the body does not match x-amz-content-sha256",
                400,
            )
        if self._md5 is not None and not hmac.compare_digest(self._md5.digest(), expected.md5 or b""):
            raise S3Error("BadDigest", "the MD5 of the body does not match Content-MD5", 400)
        for name, value in expected.checksum_values.items():
            if value is None or not hmac.compare_digest(self.running_checksums[name].digest(), value):
                problem = "is missing from the trailers" if value is None else "does not match the body"
                raise S3Error("BadDigest", f"{checksums.PREFIX}{name} {problem}", 400)
        held, self._held = self._held, b""
        return held

    def _finish_chunked(self) -> None:
        if self._state not in ("complete", "trailer") or (
            self._state == "trailer" and (self._undecoded or self._trailers)
        ):
            # The state "trailer" is accepted: some clients omit the final empty line if there are no trailers.
            raise S3Error("IncompleteBody", "the body ended before its last chunk", 400)
        signature = ""
        lines = []
        for name, value in self._trailers:
            if name == "x-amz-trailer-signature":
                signature = value
            else:
                lines.append((name, value))
            algorithm = name.removeprefix(checksums.PREFIX)
            if name.startswith(checksums.PREFIX) and algorithm in self.expected.checksum_values:
                self.expected.checksum_values[algorithm] = checksums.decode_base64(value) or b""
        if self.expected.payload_hash == STREAMING_PAYLOAD_TRAILER:
            assert self.expected.signature_chain is not None
            try:
                self.expected.signature_chain.verify_trailer(lines, signature)
            except AuthError as error:
                raise S3Error(error.code, error.text, error.status) from error


def _malformed_body(text: str) -> S3Error:
    return S3Error("InvalidChunkSizeError" if "larger" in text else "MalformedTrailerError", text, 400)


AWS_CHUNKED_PAYLOADS = (STREAMING_PAYLOAD, STREAMING_PAYLOAD_TRAILER, STREAMING_UNSIGNED_PAYLOAD_TRAILER)
