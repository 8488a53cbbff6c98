"""Fuzzes the parsing of unauthenticated requests to the S3 listener: signatures, queries, chunked bodies and XML documents.

python fuzz/signatures.py CORPUS_FOLDER [libFuzzer options]

Each input has to be parsed or rejected with an error text. Any other exception is a fault, and so is a request that verifies without
the key.
"""

from __future__ import annotations

import sys

from instrumentation import instrumented

with instrumented("winchdyke.auth", "winchdyke.s3", "winchdyke.object_api"):
    from winchdyke.auth.sigv4 import (
        AuthError,
        SignableRequest,
        canonical_path,
        canonical_query,
        is_signed,
        verify,
    )
    from winchdyke.http1 import RequestHead
    from winchdyke.s3 import requests, xml
    from winchdyke.s3.body import BodyVerifier, ExpectedBody
    from winchdyke.s3.errors import S3Error

NOW_S = 1_369_353_600.0
METHODS = ("GET", "PUT", "POST", "DELETE", "HEAD")
HEADER_NAMES = (
    b"authorization", b"host", b"x-amz-date", b"x-amz-content-sha256", b"range", b"x-amz-copy-source", b"content-md5",
    b"x-amz-meta-a", b"x-amz-trailer", b"if-match",
)  # fmt: skip


def _visible_ascii(data: bytes) -> str:
    """Map bytes to visible ASCII, which is all that the HTTP parser passes on."""
    return "".join(chr(33 + byte % 94) for byte in data)


def run_input(data: bytes) -> None:
    """Run one input; its first byte selects the parser."""
    if not data:
        return
    kind, rest = data[0] % 4, data[1:]
    if kind == 0:
        lines = rest.split(b"\n")
        path, _, query = _visible_ascii(lines[0]).partition("?")
        headers = tuple(
            (HEADER_NAMES[line[0] % len(HEADER_NAMES)], line[1:].replace(b"\r", b""))
            for line in lines[1:8]
            if line
        )
        request = SignableRequest(METHODS[len(rest) % 5], "/" + path.lstrip("/"), query, headers)
        is_signed(request)
        canonical_path(request.path), canonical_query(request.query)
        try:
            verify(request, lambda _: "secret that no input contains", NOW_S)
        except AuthError as error:
            assert error.text and 400 <= error.status < 500
        else:
            raise AssertionError("a request verified without the key")
    elif kind == 1:
        lines = rest.split(b"\n")
        headers_list = [(HEADER_NAMES[line[0] % len(HEADER_NAMES)], line[1:]) for line in lines[1:8] if line]
        head = RequestHead(METHODS[len(rest) % 5], ("/" + _visible_ascii(lines[0])).encode(), headers_list, 0)
        try:
            asked = requests.parse(head, "s3.test")
            requests.stored_headers(head)
            requests.copy_source(head)
            asked.integer("partNumber", 10_000, 1)
        except S3Error as error:
            assert error.text and 400 <= error.status < 600
    elif kind == 2:
        body = BodyVerifier(
            ExpectedBody(
                "STREAMING-UNSIGNED-PAYLOAD-TRAILER",
                None,
                len(rest) // 2,
                checksum_values={"crc32": None},
                aws_chunked=True,
            )
        )
        out = 0
        try:
            for at in range(0, len(rest), 7):
                out += len(body.feed(rest[at : at + 7]))
            out += len(body.finish())
        except S3Error as error:
            assert error.text and out <= len(rest)
        else:
            assert out == len(rest) // 2
    else:
        for read in (xml.parse_completion, xml.parse_deletion):
            try:
                read(rest)
            except S3Error as error:
                assert error.text


def main() -> None:
    """Fuzz until libFuzzer's options end the run."""
    import atheris

    atheris.Setup(sys.argv, run_input)
    atheris.Fuzz()


if __name__ == "__main__":
    main()
