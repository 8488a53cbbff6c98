"""What a request's headers declare about its body: encoding, length, digests and checksums. Pure."""

from __future__ import annotations

from winchdyke.auth import sigv4
from winchdyke.http1 import RequestHead
from winchdyke.s3 import checksums
from winchdyke.s3.body import AWS_CHUNKED_PAYLOADS, ExpectedBody
from winchdyke.s3.errors import S3Error

MAX_LENGTH_DIGITS = 15
MD5_BYTES = 16
# Headers with the prefix of checksums that hold no checksum.
CHECKSUM_OPTIONS = ("algorithm", "mode", "type")
UNHASHED_PAYLOADS = (sigv4.UNSIGNED_PAYLOAD, sigv4.STREAMING_UNSIGNED_PAYLOAD_TRAILER)


def declared_body(head: RequestHead, verified: sigv4.VerifiedRequest) -> ExpectedBody:
    """Return what the body has to be, by the headers and the request's verified signature.

    Raises:
        S3Error: A header is invalid, or its checksum is not supported.
    """
    payload_hash = verified.payload_hash
    if payload_hash in UNHASHED_PAYLOADS:
        payload_hash = head.get(b"x-amz-content-sha256") or payload_hash
    aws_chunked = payload_hash in AWS_CHUNKED_PAYLOADS
    expected = ExpectedBody(payload_hash, verified.chunks, head.length, aws_chunked=aws_chunked)
    if aws_chunked:
        expected.length = _decoded_length(head)
    expected.md5 = _content_md5(head)
    _read_checksum_headers(head, expected)
    _read_trailer_names(head, expected)
    return expected


def _decoded_length(head: RequestHead) -> int:
    text = head.get(b"x-amz-decoded-content-length")
    if text is None or not text.isascii() or not text.isdigit() or len(text) > MAX_LENGTH_DIGITS:
        raise S3Error("MissingContentLength", "x-amz-decoded-content-length is missing or invalid", 411)
    return int(text)


def _content_md5(head: RequestHead) -> bytes | None:
    text = head.get(b"content-md5")
    if text is None:
        return None
    digest = checksums.decode_base64(text)
    if digest is None or len(digest) != MD5_BYTES:
        raise S3Error("InvalidDigest", "Content-MD5 is not a base64-encoded MD5")
    return digest


def _read_checksum_headers(head: RequestHead, expected: ExpectedBody) -> None:
    for name, value in head.headers:
        algorithm = name.decode("latin-1").removeprefix(checksums.PREFIX)
        if not name.startswith(checksums.PREFIX.encode()) or algorithm in CHECKSUM_OPTIONS:
            continue
        _check_algorithm(algorithm)
        checksum = checksums.decode_base64(value.decode("latin-1"))
        if checksum is None:
            raise S3Error("InvalidRequest", f"{name.decode()} is not base64")
        expected.checksum_values[algorithm] = checksum


def _read_trailer_names(head: RequestHead, expected: ExpectedBody) -> None:
    trailer = head.get(b"x-amz-trailer")
    if not trailer:
        return
    if not expected.aws_chunked or not expected.payload_hash.endswith("TRAILER"):
        raise S3Error("InvalidRequest", "x-amz-trailer requires an aws-chunked body with trailers")
    for trailer_name in trailer.split(","):
        algorithm = trailer_name.strip().lower().removeprefix(checksums.PREFIX)
        _check_algorithm(algorithm)
        expected.checksum_values[algorithm] = None


def _check_algorithm(algorithm: str) -> None:
    if algorithm not in checksums.ALGORITHMS:
        supported = ", ".join(checksums.ALGORITHMS)
        raise S3Error("NotImplemented", f"the checksum {algorithm!r} is not supported; {supported} are")
