"""A body on its way to a store: unpacked where it is aws-chunked, and checked against all that the client said of it.

A store acts on a body once its last byte has come. So the last bytes are held back until everything fits: signatures of chunks,
SHA-256, Content-MD5, checksums in headers and trailers, and the length. Pure: bytes in, checked bytes out.
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
from winchdyke.s3 import checksums
from winchdyke.s3.errors import S3Error

LINE = 8 * 1024  # of a chunk's head, or a trailer's line
SIGNED_CHUNK = 16 << 20  # a signed chunk is kept whole until its signature is checked
TRAILERS = 16
_HEAD = re.compile(rb"([0-9a-fA-F]{1,12})(?:;chunk-signature=([0-9a-f]{64}))?")
_TRAILER = re.compile(r"([a-z0-9-]{1,64}):(.{0,4096})")


@dataclass
class ExpectedBody:
    """What a client said of a body. ``length``: its bytes, unpacked; ``sums``: by name, None where a trailer tells it."""

    payload: str = ""  # x-amz-content-sha256
    chunks: ChunkSignatureChain | None = None
    length: int | None = None
    md5: bytes | None = None
    checksum_values: dict[str, bytes | None] = field(default_factory=dict)
    aws_chunked: bool = False


class BodyVerifier:
    """Takes in what comes and gives out what may go on."""

    def __init__(self, wanted: ExpectedBody) -> None:
        self.wanted = wanted
        self._raw = bytearray()
        self._held = b""
        self._got = 0
        self._left = 0  # of the chunk that is under way
        self._signature = ""
        self._state = "head" if wanted.aws_chunked else "plain"
        self._sha = hashlib.sha256() if re.fullmatch(r"[0-9a-f]{64}", wanted.payload) else None
        self._md5 = hashlib.md5(usedforsecurity=False) if wanted.md5 is not None else None
        self.running_checksums = {name: checksums.MADE[name]() for name in wanted.checksum_values}
        self._trailer: list[tuple[str, str]] = []
        self._signed = wanted.aws_chunked and wanted.payload in (STREAMING_PAYLOAD, STREAMING_PAYLOAD_TRAILER)
        if self._signed and wanted.chunks is None:
            raise S3Error("AccessDenied", "a body in signed chunks goes with a signed request")

    def feed(self, data: bytes | bytearray) -> bytes:
        """More of the body as it was sent; what may go on. S3Error where it does not fit."""
        if self._state == "plain":
            return self._on(bytes(data))
        self._raw += data
        out = []
        try:
            while piece := self._unpacked():
                out.append(self._on(piece[0])) if piece[0] else None
        except AuthError as error:
            raise S3Error(error.code, error.text, error.status) from error
        return b"".join(out)

    def _on(self, data: bytes) -> bytes:
        self._got += len(data)
        length = self.wanted.length
        if length is not None and self._got > length:
            raise S3Error(
                "IncompleteBody", f"the body is longer than the {length} bytes that were stated", 400
            )
        for each in (self._sha, self._md5, *self.running_checksums.values()):
            if each is not None:
                each.update(data)
        if not data:
            return b""
        ready, self._held = self._held, data
        return ready

    def _line(self) -> bytes | None:
        at = self._raw.find(b"\r\n")
        if at < 0:
            if len(self._raw) > LINE:
                raise _malformed("a line is longer than any here")
            return None
        line = bytes(self._raw[:at])
        del self._raw[: at + 2]
        return line

    def _unpacked(self) -> tuple[bytes] | None:
        """One step: a piece of the payload, an empty one where there is nothing to hand on, None where more must come."""
        if self._state == "head":
            line = self._line()
            if line is None:
                return None
            found = _HEAD.fullmatch(line)
            if not found or bool(found[2]) != self._signed:
                raise _malformed("a chunk's head is none")
            self._left, self._signature = int(found[1], 16), (found[2] or b"").decode()
            if self._signed and self._left > SIGNED_CHUNK:
                raise _malformed(f"a signed chunk is larger than {SIGNED_CHUNK} bytes")
            if self._left == 0:
                if self._signed:
                    self._check(b"")
                self._state = "trailer"
            else:
                self._state = "data"
            return (b"",)
        if self._state == "data":
            if not self._raw or (self._signed and len(self._raw) < self._left):
                return None
            piece = bytes(self._raw[: self._left])
            del self._raw[: len(piece)]
            self._left -= len(piece)
            if self._signed:
                self._check(piece)
            if not self._left:
                self._state = "end of chunk"
            return (piece,)
        if self._state == "end of chunk":
            if len(self._raw) < 2:
                return None
            if self._raw[:2] != b"\r\n":
                raise _malformed("a chunk is longer than it says")
            del self._raw[:2]
            self._state = "head"
            return (b"",)
        if self._state == "trailer":
            line = self._line()
            if line is None:
                return None
            if not line:
                self._state = "over"
                return (b"",)
            found_line = _TRAILER.fullmatch(line.decode("latin-1"))
            if not found_line or len(self._trailer) >= TRAILERS:
                raise _malformed("a line after the last chunk is no header")
            self._trailer.append((found_line[1], found_line[2].strip()))
            return (b"",)
        if self._raw:
            raise _malformed("bytes follow the end of the body")
        return None

    def _check(self, piece: bytes) -> None:
        assert self.wanted.chunks is not None
        self.wanted.chunks.verify_chunk(hashlib.sha256(piece).hexdigest(), self._signature)

    def finish(self) -> bytes:
        """The end has come: the last bytes, where all fits. S3Error where it does not."""
        wanted = self.wanted
        if wanted.aws_chunked:
            self._finish_packed()
        if wanted.length is not None and self._got != wanted.length:
            raise S3Error("IncompleteBody", f"{self._got} bytes came; {wanted.length} were stated", 400)
        if self._sha is not None and not hmac.compare_digest(self._sha.hexdigest(), wanted.payload):
            raise S3Error("XAmzContentSHA256Mismatch", "the body's SHA-256 is not x-amz-content-sha256", 400)
        if self._md5 is not None and not hmac.compare_digest(self._md5.digest(), wanted.md5 or b""):
            raise S3Error("BadDigest", "the body's MD5 is not Content-MD5", 400)
        for name, value in wanted.checksum_values.items():
            if value is None or not hmac.compare_digest(self.running_checksums[name].digest(), value):
                said = "is missing after the body" if value is None else "is not the body's"
                raise S3Error("BadDigest", f"{checksums.PREFIX}{name} {said}", 400)
        held, self._held = self._held, b""
        return held

    def _finish_packed(self) -> None:
        if self._state not in ("over", "trailer") or (
            self._state == "trailer" and (self._raw or self._trailer)
        ):
            # The last empty line may be left out where there are no trailers, as some clients do.
            raise S3Error("IncompleteBody", "the body ended before its last chunk", 400)
        signature = ""
        lines = []
        for name, value in self._trailer:
            if name == "x-amz-trailer-signature":
                signature = value
            else:
                lines.append((name, value))
            sum_name = name.removeprefix(checksums.PREFIX)
            if name.startswith(checksums.PREFIX) and sum_name in self.wanted.checksum_values:
                self.wanted.checksum_values[sum_name] = checksums.decoded(value) or b""
        if self.wanted.payload == STREAMING_PAYLOAD_TRAILER:
            assert self.wanted.chunks is not None
            try:
                self.wanted.chunks.verify_trailer(lines, signature)
            except AuthError as error:
                raise S3Error(error.code, error.text, error.status) from error


def _malformed(text: str) -> S3Error:
    return S3Error("InvalidChunkSizeError" if "larger" in text else "MalformedTrailerError", text, 400)


PACKED = (STREAMING_PAYLOAD, STREAMING_PAYLOAD_TRAILER, STREAMING_UNSIGNED_PAYLOAD_TRAILER)
