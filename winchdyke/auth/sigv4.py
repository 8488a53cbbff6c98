"""AWS Signature Version 4 as an S3 service verifies it: in headers, in a presigned URL, and chunk by chunk. Pure.

Source: "Authenticating Requests (AWS Signature Version 4)" of the public S3 API reference. Two details are specific to this
service: the path is verified byte by byte as it was sent, so that an encoded slash never counts as a slash; and in a query ``+``
is a space, as everywhere else in winchdyke, whatever the client signed.
"""

from __future__ import annotations

import hashlib
import hmac
import re
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from urllib.parse import quote, unquote_to_bytes

ALGORITHM = "AWS4-HMAC-SHA256"
UNSIGNED_PAYLOAD = "UNSIGNED-PAYLOAD"
STREAMING_PAYLOAD = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD"
STREAMING_PAYLOAD_TRAILER = "STREAMING-AWS4-HMAC-SHA256-PAYLOAD-TRAILER"
STREAMING_UNSIGNED_PAYLOAD_TRAILER = "STREAMING-UNSIGNED-PAYLOAD-TRAILER"
EMPTY_SHA256 = hashlib.sha256(b"").hexdigest()
MAX_CLOCK_SKEW_S = 900.0  # maximum difference between the clocks of client and gateway, as in S3
MAX_PRESIGNED_S = 7 * 24 * 3600  # the longest validity of a presigned URL
_DATE = re.compile(r"[0-9]{8}T[0-9]{6}Z")
_HEX = re.compile(r"[0-9a-f]{64}")
_ACCESS_KEY_ID = re.compile(r"[!-.0-~]{1,128}")  # visible ASCII without the slash
_SINGLE_HEADERS = {  # headers that a request may have only once
    b"authorization",
    b"host",
    b"x-amz-date",
    b"x-amz-content-sha256",
    b"content-length",
    b"x-amz-security-token",
}
_UNRESERVED = "-_.~"
PRESIGNED_PARAMETERS = (
    "X-Amz-Algorithm", "X-Amz-Credential", "X-Amz-Date", "X-Amz-Expires", "X-Amz-SignedHeaders", "X-Amz-Signature",
)  # fmt: skip


class AuthError(Exception):
    """A request that is rejected, with the S3 error code, a text for people, and the HTTP status."""

    def __init__(self, code: str, text: str, status: int = 403) -> None:
        super().__init__(text)
        self.code, self.text, self.status = code, text, status


@dataclass(frozen=True, slots=True)
class SignableRequest:
    """A request as the signature covers it: path and query as they were sent, header names in lower case."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> str | None:
        """Return a header's value, with several values joined by commas; None if the header is absent."""
        found = [value.strip() for key, value in self.headers if key == name]
        return b",".join(found).decode("latin-1") if found else None


@dataclass(frozen=True, slots=True)
class SignatureParameters:
    """The parameters of a request's signature, as the request states them."""

    access_key_id: str
    date: str  # YYYYMMDD
    region: str
    service: str
    signed_headers: tuple[str, ...]
    signature: str
    amz_date: str  # YYYYMMDDTHHMMSSZ
    payload_hash: str  # the body's SHA-256, or a marker such as UNSIGNED-PAYLOAD
    expires_s: float | None = None  # a presigned URL's validity; None for a signature in headers

    @property
    def scope(self) -> str:
        """The credential scope: date, region, service and terminator."""
        return f"{self.date}/{self.region}/{self.service}/aws4_request"


@dataclass
class VerifiedRequest:
    """A request whose signature is valid, and the values against which its body is verified.

    ``payload_hash``: the body's SHA-256 or a marker. ``chunks``: verifies a body that is signed chunk by chunk; None for others.
    """

    access_key_id: str
    payload_hash: str
    chunks: ChunkSignatureChain | None = field(default=None)


def signing_key(secret: str, date: str, region: str, service: str) -> bytes:
    """Return the signing key, derived for a date, a region and a service."""
    key = ("AWS4" + secret).encode()
    for part in (date, region, service, "aws4_request"):
        key = hmac.digest(key, part.encode(), "sha256")
    return key


def _uri_encode(data: bytes, safe: str = "") -> str:
    return quote(data, safe=_UNRESERVED + safe)


def canonical_path(raw: str) -> str:
    """Return the path with each segment decoded once and encoded again; %2F stays encoded. Not normalized, as in S3."""
    return "/".join(_uri_encode(unquote_to_bytes(part)) for part in raw.split("/")) or "/"


def query_pairs(raw: str) -> list[tuple[bytes, bytes]]:
    """Return the decoded names and values of a query; ``+`` is a space."""
    found = []
    for part in raw.split("&") if raw else ():
        name, _, value = part.partition("=")
        found.append((unquote_to_bytes(name.replace("+", " ")), unquote_to_bytes(value.replace("+", " "))))
    return found


def canonical_query(raw: str, without: bytes = b"") -> str:
    """Return the query sorted by encoded name, then value; ``without``: a name that is left out."""
    pairs = [
        (_uri_encode(name), _uri_encode(value))
        for name, value in query_pairs(raw)
        if name != without or not without
    ]
    return "&".join(f"{name}={value}" for name, value in sorted(pairs))


def canonical_request(request: SignableRequest, parameters: SignatureParameters, presigned: bool) -> str:
    """Return the canonical request, whose hash the signature covers."""
    lines = []
    for name in parameters.signed_headers:
        values = [value for key, value in request.headers if key == name.encode()]
        text = ",".join(" ".join(value.decode("latin-1").split()) for value in values)
        lines.append(f"{name}:{text}\n")
    query = canonical_query(request.query, b"X-Amz-Signature" if presigned else b"")
    return "\n".join(
        [
            request.method,
            canonical_path(request.path),
            query,
            "".join(lines),
            ";".join(parameters.signed_headers),
            parameters.payload_hash,
        ]
    )


def string_to_sign(request: SignableRequest, parameters: SignatureParameters, presigned: bool) -> str:
    """Return the string to sign: algorithm, time, scope and the canonical request's hash."""
    request_hash = hashlib.sha256(
        canonical_request(request, parameters, presigned).encode("latin-1", "replace")
    ).hexdigest()
    return f"{ALGORITHM}\n{parameters.amz_date}\n{parameters.scope}\n{request_hash}"


def _parse_credential(text: str, code: str) -> tuple[str, str, str, str]:
    parts = text.split("/")
    if (
        len(parts) != 5
        or parts[4] != "aws4_request"
        or not _ACCESS_KEY_ID.fullmatch(parts[0])
        or not parts[2]
    ):
        raise AuthError(code, "the credential has to be KEY/DATE/REGION/s3/aws4_request", 400)
    if parts[3] != "s3":
        raise AuthError(code, f"the credential is for the service {parts[3]!r}; sign for s3", 400)
    return parts[0], parts[1], parts[2], parts[3]


def _parse_authorization(request: SignableRequest, text: str) -> SignatureParameters:
    code = "AuthorizationHeaderMalformed"
    algorithm, _, rest = text.partition(" ")
    if algorithm != ALGORITHM:
        raise AuthError("InvalidRequest", f"requests are signed with {ALGORITHM} at this service", 400)
    fields: dict[str, str] = {}
    for part in rest.split(","):
        name, _, value = part.strip().partition("=")
        if name in fields:
            raise AuthError(code, f"{name} is given twice", 400)
        fields[name] = value
    if fields.keys() != {"Credential", "SignedHeaders", "Signature"}:
        raise AuthError(
            code,
            "the Authorization header needs Credential, SignedHeaders and Signature, and nothing else",
            400,
        )
    amz_date = request.get(b"x-amz-date") or ""
    if not _DATE.fullmatch(amz_date):
        raise AuthError("AccessDenied", "a signed request needs x-amz-date, such as 20260102T030405Z")
    payload = request.get(b"x-amz-content-sha256")
    if payload is None:
        raise AuthError("InvalidRequest", "x-amz-content-sha256 is missing", 400)
    if not _HEX.fullmatch(payload) and payload not in (
        UNSIGNED_PAYLOAD,
        STREAMING_PAYLOAD,
        STREAMING_PAYLOAD_TRAILER,
        STREAMING_UNSIGNED_PAYLOAD_TRAILER,
    ):
        text = "x-amz-content-sha256 has to be a SHA-256 in lower-case hexadecimal, or a marker such as UNSIGNED-PAYLOAD"
        raise AuthError("InvalidArgument", text, 400)
    signed = tuple(fields["SignedHeaders"].split(";"))
    return SignatureParameters(
        *_parse_credential(fields["Credential"], code), signed, fields["Signature"], amz_date, payload
    )


def _parse_presigned_query(request: SignableRequest) -> SignatureParameters:
    code = "AuthorizationQueryParametersError"
    found: dict[str, str] = {}
    for name, value in query_pairs(request.query):
        text = name.decode("latin-1")
        if text.lower().startswith("x-amz-"):
            if text in found:
                raise AuthError(code, f"{text} is given twice", 400)
            found[text] = value.decode("latin-1")
    for required in PRESIGNED_PARAMETERS:
        if required not in found:
            raise AuthError(code, f"a presigned URL needs {required}", 400)
    if found["X-Amz-Algorithm"] != ALGORITHM or not _DATE.fullmatch(found["X-Amz-Date"]):
        raise AuthError(
            code, f"X-Amz-Algorithm has to be {ALGORITHM}, and X-Amz-Date such as 20260102T030405Z", 400
        )
    text = found["X-Amz-Expires"]
    if not re.fullmatch(r"[0-9]{1,6}", text) or not 1 <= int(text) <= MAX_PRESIGNED_S:
        raise AuthError(code, f"X-Amz-Expires has to be from 1 to {MAX_PRESIGNED_S} seconds", 400)
    payload = found.get("X-Amz-Content-Sha256") or request.get(b"x-amz-content-sha256") or UNSIGNED_PAYLOAD
    signed = tuple(found["X-Amz-SignedHeaders"].split(";"))
    credential = _parse_credential(found["X-Amz-Credential"], code)
    return SignatureParameters(
        *credential, signed, found["X-Amz-Signature"], found["X-Amz-Date"], payload, float(text)
    )


def _check_signed_headers(request: SignableRequest, parameters: SignatureParameters) -> None:
    """Raise AuthError if the signature does not cover the host and all x-amz headers, or lists a header that is missing."""
    names = [name for name, _ in request.headers]
    if (
        list(parameters.signed_headers) != sorted(set(parameters.signed_headers))
        or "" in parameters.signed_headers
    ):
        raise AuthError(
            "SignatureDoesNotMatch", "SignedHeaders has to list each header once, in sorted order"
        )
    header_names = {name.decode("latin-1") for name in names}
    if missing := [name for name in parameters.signed_headers if name not in header_names]:
        raise AuthError("SignatureDoesNotMatch", f"the signed header {missing[0]} is missing")
    unsigned = [
        name for name in header_names
        if (name == "host" or name.startswith("x-amz-")) and name not in parameters.signed_headers
        and not (parameters.expires_s is not None and name == "x-amz-content-sha256")
    ]  # fmt: skip
    if unsigned:
        raise AuthError("AccessDenied", f"the header {sorted(unsigned)[0]} has to be signed")


def _check_time(parameters: SignatureParameters, now_s: float) -> None:
    try:
        signed_at_s = datetime.strptime(parameters.amz_date, "%Y%m%dT%H%M%SZ").replace(tzinfo=UTC).timestamp()
    except ValueError as error:
        raise AuthError("AccessDenied", "x-amz-date is not a valid time") from error
    if parameters.date != parameters.amz_date[:8]:
        raise AuthError("SignatureDoesNotMatch", "the credential's date differs from the request's")
    if parameters.expires_s is None:
        if abs(now_s - signed_at_s) > MAX_CLOCK_SKEW_S:
            raise AuthError("RequestTimeTooSkewed", "the request's time and the gateway's are too far apart")
    elif now_s > signed_at_s + parameters.expires_s:
        raise AuthError("AccessDenied", "Request has expired")
    elif now_s < signed_at_s - MAX_CLOCK_SKEW_S:
        raise AuthError("AccessDenied", "Request is not yet valid")


def _is_presigned(request: SignableRequest) -> bool:
    return any(name in (b"X-Amz-Signature", b"X-Amz-Algorithm") for name, _ in query_pairs(request.query))


def is_signed(request: SignableRequest) -> bool:
    """Return whether a request has a signature, valid or not."""
    return _is_presigned(request) or request.get(b"authorization") is not None


def verify(
    request: SignableRequest, find_secret: Callable[[str], str | None], now_s: float
) -> VerifiedRequest:
    """Verify a request's signature.

    ``find_secret``: returns the secret of an access key ID, or None if no valid key has it.

    Raises:
        AuthError: The request is rejected.
    """
    names = [name for name, _ in request.headers]
    for name in _SINGLE_HEADERS:
        if names.count(name) > 1:
            raise AuthError("InvalidRequest", f"{name.decode()} is given more than once", 400)
    authorization = request.get(b"authorization")
    presigned = _is_presigned(request)
    if presigned and authorization is not None:
        raise AuthError(
            "InvalidArgument", "the request is signed twice: in the headers and in the query", 400
        )
    if not presigned and authorization is None:
        raise AuthError("AccessDenied", "the request is not signed")
    parameters = (
        _parse_presigned_query(request) if presigned else _parse_authorization(request, authorization or "")
    )
    _check_signed_headers(request, parameters)
    _check_time(parameters, now_s)
    secret = find_secret(parameters.access_key_id)
    # An unknown key takes as much time as a known one, so that timing does not reveal which keys exist.
    key = signing_key(secret or "none", parameters.date, parameters.region, parameters.service)
    expected = hmac.digest(key, string_to_sign(request, parameters, presigned).encode(), "sha256").hex()
    matches = hmac.compare_digest(expected.encode(), parameters.signature.encode("latin-1", "replace"))
    if secret is None:
        raise AuthError("InvalidAccessKeyId", "the access key is not known here")
    if not matches:
        raise AuthError(
            "SignatureDoesNotMatch", "the signature does not match the request and the secret key"
        )
    chunks = None
    if parameters.payload_hash in (STREAMING_PAYLOAD, STREAMING_PAYLOAD_TRAILER):
        chunks = ChunkSignatureChain(key, parameters.amz_date, parameters.scope, parameters.signature)
    return VerifiedRequest(parameters.access_key_id, parameters.payload_hash, chunks)


class ChunkSignatureChain:
    """Verifies the chain of signatures over the chunks of a body, each before its bytes are passed on."""

    def __init__(self, key: bytes, amz_date: str, scope: str, seed: str) -> None:
        self._key, self._amz_date, self._scope, self._previous_signature = key, amz_date, scope, seed

    def _chained_signature(self, kind: str, rest: str) -> str:
        text = f"{ALGORITHM}-{kind}\n{self._amz_date}\n{self._scope}\n{self._previous_signature}\n{rest}"
        return hmac.digest(self._key, text.encode(), "sha256").hex()

    def verify_chunk(self, digest: str, signature: str) -> None:
        """Verify a chunk by the SHA-256 of its bytes. Raises AuthError if the signature does not match."""
        expected = self._chained_signature("PAYLOAD", f"{EMPTY_SHA256}\n{digest}")
        if not hmac.compare_digest(expected.encode(), signature.encode("latin-1", "replace")):
            raise AuthError("SignatureDoesNotMatch", "a chunk's signature does not match its bytes")
        self._previous_signature = expected

    def verify_trailer(self, lines: Iterable[tuple[str, str]], signature: str) -> None:
        """Verify the trailer, the headers after the body. Raises AuthError if the signature does not match."""
        text = "".join(f"{name}:{value}\n" for name, value in lines)
        expected = self._chained_signature("TRAILER", hashlib.sha256(text.encode()).hexdigest())
        if not hmac.compare_digest(expected.encode(), signature.encode("latin-1", "replace")):
            raise AuthError("SignatureDoesNotMatch", "the trailer's signature does not match its headers")


def sign(
    method: str, host: str, path: str, query: str, payload: str, key: str, secret: str, now_s: float,
    region: str = "us-east-1",
) -> list[tuple[bytes, bytes]]:  # fmt: skip
    """Return the headers that sign a request, as a client sends them; ``payload``: the body's SHA-256 or a marker."""
    amz_date = datetime.fromtimestamp(now_s, UTC).strftime("%Y%m%dT%H%M%SZ")
    signed = ("host", "x-amz-content-sha256", "x-amz-date")
    parameters = SignatureParameters(key, amz_date[:8], region, "s3", signed, "", amz_date, payload)
    headers = [
        (b"host", host.encode()),
        (b"x-amz-content-sha256", payload.encode()),
        (b"x-amz-date", amz_date.encode()),
    ]
    text = string_to_sign(SignableRequest(method, path, query, tuple(headers)), parameters, False)
    signature = hmac.digest(signing_key(secret, parameters.date, region, "s3"), text.encode(), "sha256").hex()
    authorization = f"{ALGORITHM} Credential={key}/{parameters.scope},SignedHeaders={';'.join(signed)},Signature={signature}"
    return [*headers, (b"authorization", authorization.encode())]
