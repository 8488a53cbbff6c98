"""AWS Signature Version 4 as an S3 service checks it: in headers, in a presigned URL, and chunk by chunk. Pure.

Source: "Authenticating Requests (AWS Signature Version 4)" of the public S3 API reference. Two matters are this service's own:
the path is taken octet by octet as it was sent, so that an encoded slash is never a slash; and in a query ``+`` is a space, as
everywhere else here, whatever the client signed.
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
EMPTY = hashlib.sha256(b"").hexdigest()
SKEW_S = 900.0  # that a client's clock may be off, as S3 has it
LONGEST_S = 7 * 24 * 3600  # for which a presigned URL may count
_DATE = re.compile(r"[0-9]{8}T[0-9]{6}Z")
_HEX = re.compile(r"[0-9a-f]{64}")
_KEY = re.compile(r"[!-.0-~]{1,128}")  # visible, no slash
_ONCE = {
    b"authorization",
    b"host",
    b"x-amz-date",
    b"x-amz-content-sha256",
    b"content-length",
    b"x-amz-security-token",
}
_UNRESERVED = "-_.~"
WANTED = (
    "X-Amz-Algorithm", "X-Amz-Credential", "X-Amz-Date", "X-Amz-Expires", "X-Amz-SignedHeaders", "X-Amz-Signature",
)  # fmt: skip


class AuthError(Exception):
    """A request that is not let in: the S3 code, its status, and words."""

    def __init__(self, code: str, text: str, status: int = 403) -> None:
        super().__init__(text)
        self.code, self.text, self.status = code, text, status


@dataclass(frozen=True, slots=True)
class SignableRequest:
    """A request as the signature sees it: path and query as they were sent, header names in lower case."""

    method: str
    path: str
    query: str
    headers: tuple[tuple[bytes, bytes], ...]

    def get(self, name: bytes) -> str | None:
        """A header's value; several are joined by commas."""
        found = [value.strip() for key, value in self.headers if key == name]
        return b",".join(found).decode("latin-1") if found else None


@dataclass(frozen=True, slots=True)
class SignatureParameters:
    """What a request says of its signature."""

    access_key_id: str
    date: str  # YYYYMMDD
    region: str
    service: str
    signed_headers: tuple[str, ...]
    signature: str
    amz_date: str  # YYYYMMDDTHHMMSSZ
    payload_hash: str
    expires_s: float | None = None  # of a presigned URL

    @property
    def scope(self) -> str:
        """The credential scope."""
        return f"{self.date}/{self.region}/{self.service}/aws4_request"


@dataclass
class VerifiedRequest:
    """A request that was let in, and what its body has to fit: see :class:`ChunkSignatureChain`."""

    access_key_id: str
    payload_hash: str
    chunks: ChunkSignatureChain | None = field(default=None)


def signing_key(secret: str, date: str, region: str, service: str) -> bytes:
    """The key of a day, a region and a service."""
    key = ("AWS4" + secret).encode()
    for part in (date, region, service, "aws4_request"):
        key = hmac.digest(key, part.encode(), "sha256")
    return key


def _encoded(data: bytes, safe: str = "") -> str:
    return quote(data, safe=_UNRESERVED + safe)


def canonical_path(raw: str) -> str:
    """Each segment decoded once and encoded anew; what was sent as %2F stays so. Not normalized, as S3 has it."""
    return "/".join(_encoded(unquote_to_bytes(part)) for part in raw.split("/")) or "/"


def query_pairs(raw: str) -> list[tuple[bytes, bytes]]:
    """Names and values of a query, decoded; ``+`` is a space."""
    found = []
    for part in raw.split("&") if raw else ():
        name, _, value = part.partition("=")
        found.append((unquote_to_bytes(name.replace("+", " ")), unquote_to_bytes(value.replace("+", " "))))
    return found


def canonical_query(raw: str, without: bytes = b"") -> str:
    """Sorted by encoded name, then value."""
    pairs = [
        (_encoded(name), _encoded(value))
        for name, value in query_pairs(raw)
        if name != without or not without
    ]
    return "&".join(f"{name}={value}" for name, value in sorted(pairs))


def canonical_request(request: SignableRequest, claim: SignatureParameters, presigned: bool) -> str:
    """The canonical request, which the signature is made over."""
    lines = []
    for name in claim.signed_headers:
        values = [value for key, value in request.headers if key == name.encode()]
        text = ",".join(" ".join(value.decode("latin-1").split()) for value in values)
        lines.append(f"{name}:{text}\n")
    query = canonical_query(request.query, b"X-Amz-Signature" if presigned else b"")
    return "\n".join(
        [
            request.method, canonical_path(request.path), query, "".join(lines), ";".join(claim.signed_headers), claim.payload_hash,
        ]
    )  # fmt: skip


def string_to_sign(request: SignableRequest, claim: SignatureParameters, presigned: bool) -> str:
    """Algorithm, time, scope and the canonical request's hash."""
    made = hashlib.sha256(
        canonical_request(request, claim, presigned).encode("latin-1", "replace")
    ).hexdigest()
    return f"{ALGORITHM}\n{claim.amz_date}\n{claim.scope}\n{made}"


def _credential(text: str, code: str) -> tuple[str, str, str, str]:
    parts = text.split("/")
    if len(parts) != 5 or parts[4] != "aws4_request" or not _KEY.fullmatch(parts[0]) or not parts[2]:
        raise AuthError(code, "the credential is not KEY/DATE/REGION/s3/aws4_request", 400)
    if parts[3] != "s3":
        raise AuthError(code, f"the credential is for the service {parts[3]!r}; this one is s3", 400)
    return parts[0], parts[1], parts[2], parts[3]


def _in_headers(request: SignableRequest, text: str) -> SignatureParameters:
    code = "AuthorizationHeaderMalformed"
    algorithm, _, rest = text.partition(" ")
    if algorithm != ALGORITHM:
        raise AuthError("InvalidRequest", f"requests are signed with {ALGORITHM} here", 400)
    fields: dict[str, str] = {}
    for part in rest.split(","):
        name, _, value = part.strip().partition("=")
        if name in fields:
            raise AuthError(code, f"{name} is given twice", 400)
        fields[name] = value
    if fields.keys() != {"Credential", "SignedHeaders", "Signature"}:
        raise AuthError(code, "Credential, SignedHeaders and Signature are wanted, and nothing else", 400)
    at = request.get(b"x-amz-date") or ""
    if not _DATE.fullmatch(at):
        raise AuthError("AccessDenied", "a signed request has x-amz-date, as 20260102T030405Z")
    payload = request.get(b"x-amz-content-sha256")
    if payload is None:
        raise AuthError("InvalidRequest", "x-amz-content-sha256 is missing", 400)
    if not _HEX.fullmatch(payload) and payload not in (
        UNSIGNED_PAYLOAD,
        STREAMING_PAYLOAD,
        STREAMING_PAYLOAD_TRAILER,
        STREAMING_UNSIGNED_PAYLOAD_TRAILER,
    ):
        text = "x-amz-content-sha256 is a SHA-256 in lower-case hexadecimal, or a word for what is not hashed at once"
        raise AuthError("InvalidArgument", text, 400)
    signed = tuple(fields["SignedHeaders"].split(";"))
    return SignatureParameters(
        *_credential(fields["Credential"], code), signed, fields["Signature"], at, payload
    )


def _in_query(request: SignableRequest) -> SignatureParameters:
    code = "AuthorizationQueryParametersError"
    found: dict[str, str] = {}
    for name, value in query_pairs(request.query):
        text = name.decode("latin-1")
        if text.lower().startswith("x-amz-"):
            if text in found:
                raise AuthError(code, f"{text} is given twice", 400)
            found[text] = value.decode("latin-1")
    for need in WANTED:
        if need not in found:
            raise AuthError(code, f"a presigned URL has {need}", 400)
    if found["X-Amz-Algorithm"] != ALGORITHM or not _DATE.fullmatch(found["X-Amz-Date"]):
        raise AuthError(code, f"X-Amz-Algorithm is {ALGORITHM}, and X-Amz-Date is as 20260102T030405Z", 400)
    text = found["X-Amz-Expires"]
    if not re.fullmatch(r"[0-9]{1,6}", text) or not 1 <= int(text) <= LONGEST_S:
        raise AuthError(code, f"X-Amz-Expires is from 1 to {LONGEST_S} seconds", 400)
    payload = found.get("X-Amz-Content-Sha256") or request.get(b"x-amz-content-sha256") or UNSIGNED_PAYLOAD
    signed = tuple(found["X-Amz-SignedHeaders"].split(";"))
    credential = _credential(found["X-Amz-Credential"], code)
    return SignatureParameters(
        *credential, signed, found["X-Amz-Signature"], found["X-Amz-Date"], payload, float(text)
    )


def _fits(request: SignableRequest, claim: SignatureParameters) -> None:
    """Refuse what would leave a part of the request outside of its signature."""
    names = [name for name, _ in request.headers]
    if list(claim.signed_headers) != sorted(set(claim.signed_headers)) or "" in claim.signed_headers:
        raise AuthError("SignatureDoesNotMatch", "the signed headers are named once each, in order")
    there = {name.decode("latin-1") for name in names}
    if missing := [name for name in claim.signed_headers if name not in there]:
        raise AuthError("SignatureDoesNotMatch", f"the signed header {missing[0]} is not there")
    unsigned = [
        name for name in there
        if (name == "host" or name.startswith("x-amz-")) and name not in claim.signed_headers
        and not (claim.expires_s is not None and name == "x-amz-content-sha256")
    ]  # fmt: skip
    if unsigned:
        raise AuthError("AccessDenied", f"the header {sorted(unsigned)[0]} is there and not signed")


def _in_time(claim: SignatureParameters, now_s: float) -> None:
    try:
        at = datetime.strptime(claim.amz_date, "%Y%m%dT%H%M%SZ").replace(tzinfo=UTC).timestamp()
    except ValueError as error:
        raise AuthError("AccessDenied", "x-amz-date is no time") from error
    if claim.date != claim.amz_date[:8]:
        raise AuthError("SignatureDoesNotMatch", "the credential's date is not the request's")
    if claim.expires_s is None:
        if abs(now_s - at) > SKEW_S:
            raise AuthError("RequestTimeTooSkewed", "the request's time and the gateway's are too far apart")
    elif now_s > at + claim.expires_s:
        raise AuthError("AccessDenied", "Request has expired")
    elif now_s < at - SKEW_S:
        raise AuthError("AccessDenied", "Request is not yet valid")


def _presigned(request: SignableRequest) -> bool:
    return any(name in (b"X-Amz-Signature", b"X-Amz-Algorithm") for name, _ in query_pairs(request.query))


def is_signed(request: SignableRequest) -> bool:
    """Whether a request claims a signature at all."""
    return _presigned(request) or request.get(b"authorization") is not None


def verify(request: SignableRequest, secret_of: Callable[[str], str | None], now_s: float) -> VerifiedRequest:
    """Whose request it is. AuthError where it is not let in. ``secret_of`` gives a key's secret, None where it does not count."""
    names = [name for name, _ in request.headers]
    for name in _ONCE:
        if names.count(name) > 1:
            raise AuthError("InvalidRequest", f"{name.decode()} is given more than once", 400)
    authorization = request.get(b"authorization")
    presigned = _presigned(request)
    if presigned and authorization is not None:
        raise AuthError("InvalidArgument", "signed twice: in the headers and in the query", 400)
    if not presigned and authorization is None:
        raise AuthError("AccessDenied", "the request is not signed")
    claim = _in_query(request) if presigned else _in_headers(request, authorization or "")
    _fits(request, claim)
    _in_time(claim, now_s)
    secret = secret_of(claim.access_key_id)
    # A key that is not known costs as much time as one that is.
    key = signing_key(secret or "none", claim.date, claim.region, claim.service)
    made = hmac.digest(key, string_to_sign(request, claim, presigned).encode(), "sha256").hex()
    same = hmac.compare_digest(made.encode(), claim.signature.encode("latin-1", "replace"))
    if secret is None:
        raise AuthError("InvalidAccessKeyId", "the access key is not known here")
    if not same:
        raise AuthError("SignatureDoesNotMatch", "the signature does not fit the request and the key")
    chunks = None
    if claim.payload_hash in (STREAMING_PAYLOAD, STREAMING_PAYLOAD_TRAILER):
        chunks = ChunkSignatureChain(key, claim.amz_date, claim.scope, claim.signature)
    return VerifiedRequest(claim.access_key_id, claim.payload_hash, chunks)


class ChunkSignatureChain:
    """The chain of signatures over the chunks of a body; each is checked before its bytes go on."""

    def __init__(self, key: bytes, at: str, scope: str, seed: str) -> None:
        self._key, self._at, self._scope, self._before = key, at, scope, seed

    def _next(self, kind: str, rest: str) -> str:
        text = f"{ALGORITHM}-{kind}\n{self._at}\n{self._scope}\n{self._before}\n{rest}"
        return hmac.digest(self._key, text.encode(), "sha256").hex()

    def verify_chunk(self, digest: str, signature: str) -> None:
        """A chunk's bytes, by their SHA-256; AuthError where the signature is another one."""
        made = self._next("PAYLOAD", f"{EMPTY}\n{digest}")
        if not hmac.compare_digest(made.encode(), signature.encode("latin-1", "replace")):
            raise AuthError("SignatureDoesNotMatch", "a chunk's signature does not fit its bytes")
        self._before = made

    def verify_trailer(self, lines: Iterable[tuple[str, str]], signature: str) -> None:
        """The headers after the body."""
        text = "".join(f"{name}:{value}\n" for name, value in lines)
        made = self._next("TRAILER", hashlib.sha256(text.encode()).hexdigest())
        if not hmac.compare_digest(made.encode(), signature.encode("latin-1", "replace")):
            raise AuthError("SignatureDoesNotMatch", "the trailer's signature does not fit it")


def sign(
    method: str, host: str, path: str, query: str, payload: str, key: str, secret: str, now_s: float,
    region: str = "us-east-1",
) -> list[tuple[bytes, bytes]]:  # fmt: skip
    """The headers that sign a request, as a client puts them; ``payload``: the body's SHA-256, or a word for it."""
    at = datetime.fromtimestamp(now_s, UTC).strftime("%Y%m%dT%H%M%SZ")
    signed = ("host", "x-amz-content-sha256", "x-amz-date")
    claim = SignatureParameters(key, at[:8], region, "s3", signed, "", at, payload)
    headers = [
        (b"host", host.encode()),
        (b"x-amz-content-sha256", payload.encode()),
        (b"x-amz-date", at.encode()),
    ]
    text = string_to_sign(SignableRequest(method, path, query, tuple(headers)), claim, False)
    made = hmac.digest(signing_key(secret, claim.date, region, "s3"), text.encode(), "sha256").hex()
    told = f"{ALGORITHM} Credential={key}/{claim.scope},SignedHeaders={';'.join(signed)},Signature={made}"
    return [*headers, (b"authorization", told.encode())]
