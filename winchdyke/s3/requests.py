"""What an S3 request asks for: method, host, path, query and headers in, an :class:`Asked` out. Pure.

Whatever can't be read, or isn't spoken here, raises :class:`winchdyke.s3.errors.S3Error`. The table of what is spoken is made from
:data:`SUPPORTED_OPERATIONS` (``winchdyke s3 spoken``).
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from urllib.parse import quote

from winchdyke.auth.sigv4 import query_pairs
from winchdyke.http1 import RequestHead
from winchdyke.object_api import ranges, routes
from winchdyke.object_api.answers import RequestError
from winchdyke.s3.errors import S3Error

LIST_MOST = 1000
PART_MOST = 10_000
META_BYTES = 2048  # of user metadata in all, as S3 has it
KEPT = (
    b"content-type",
    b"content-disposition",
    b"content-encoding",
    b"content-language",
    b"cache-control",
    b"expires",
)
OVERRIDES = {
    "response-content-type": b"content-type", "response-content-disposition": b"content-disposition",
    "response-content-encoding": b"content-encoding", "response-content-language": b"content-language",
    "response-cache-control": b"cache-control", "response-expires": b"expires",
}  # fmt: skip
CONDITIONS = (b"if-match", b"if-none-match", b"if-modified-since", b"if-unmodified-since", b"if-range")
SIGNING = {
    "x-amz-algorithm", "x-amz-credential", "x-amz-date", "x-amz-expires", "x-amz-signedheaders", "x-amz-signature",
    "x-amz-content-sha256", "x-amz-security-token", "signature", "expires", "x-id", "x-amz-checksum-mode",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Spoken:
    """An operation of S3: what it takes, the right it needs, and what is left out. ``query`` tells it from others."""

    name: str
    method: str
    level: str  # service, bucket, object
    required_right: str  # list, read, write, delete; own: settings decide
    required_query: tuple[str, ...] = ()  # must be there
    optional_query: tuple[str, ...] = ()  # may be there
    required_header: bytes = b""  # must be there
    notes: str = ""


SUPPORTED_OPERATIONS = (
    Spoken("ListBuckets", "GET", "service", "own", notes="volumes named without a wildcard that the key may use"),
    Spoken("HeadBucket", "HEAD", "bucket", "list"),
    Spoken("CreateBucket", "PUT", "bucket", "list", notes="answers 200 where settings have the volume; they alone make one"),
    Spoken("DeleteBucket", "DELETE", "bucket", "delete", notes="refused: settings decide"),
    Spoken("GetBucketLocation", "GET", "bucket", "list", ("location",)),
    Spoken("GetBucketVersioning", "GET", "bucket", "list", ("versioning",), notes="never on"),
    Spoken("ListMultipartUploads", "GET", "bucket", "list", ("uploads",),
           ("prefix", "key-marker", "upload-id-marker", "max-uploads", "encoding-type")),
    Spoken("ListObjectsV2", "GET", "bucket", "list", ("list-type",),
           ("prefix", "delimiter", "continuation-token", "start-after", "max-keys", "encoding-type", "fetch-owner")),
    Spoken("ListObjects", "GET", "bucket", "list", (), ("prefix", "delimiter", "marker", "max-keys", "encoding-type")),
    Spoken("DeleteObjects", "POST", "bucket", "delete", ("delete",)),
    Spoken("ListParts", "GET", "object", "read", ("uploadId",), ("max-parts", "part-number-marker", "encoding-type")),
    Spoken("GetObject", "GET", "object", "read", (), (*OVERRIDES, "AWSAccessKeyId", "partNumber"),
           notes="one range, or one part; no versions"),
    Spoken("HeadObject", "HEAD", "object", "read", (), (*OVERRIDES, "partNumber")),
    Spoken("UploadPartCopy", "PUT", "object", "write", ("uploadId", "partNumber"), (), b"x-amz-copy-source"),
    Spoken("UploadPart", "PUT", "object", "write", ("uploadId", "partNumber")),
    Spoken("CopyObject", "PUT", "object", "write", (), (), b"x-amz-copy-source", notes="streamed through this gateway"),
    Spoken("PutObject", "PUT", "object", "write", notes="`If-None-Match: *`, `If-Match`"),
    Spoken("AbortMultipartUpload", "DELETE", "object", "write", ("uploadId",)),
    Spoken("DeleteObject", "DELETE", "object", "delete"),
    Spoken("CreateMultipartUpload", "POST", "object", "write", ("uploads",)),
    Spoken("CompleteMultipartUpload", "POST", "object", "write", ("uploadId",), notes="atomic; a repeat gets the first one's answer"),
)  # fmt: skip
UNSUPPORTED_PARAMETERS = {
    "acl", "tagging", "policy", "cors", "lifecycle", "versions", "versionId", "website", "logging", "notification", "torrent",
    "restore", "select", "retention", "legal-hold", "object-lock", "encryption", "replication", "requestPayment", "accelerate",
    "inventory", "analytics", "metrics", "publicAccessBlock", "ownershipControls", "policyStatus", "attributes",
    "intelligent-tiering", "session", "object-lock-enabled", "metadataTable", "renameObject",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class Asked:
    """One S3 request, read."""

    spoken: Spoken
    bucket: str = ""
    key: str = ""
    query: dict[str, str] = field(default_factory=dict)
    path: str = ""  # as it was sent, with the bucket in it only where the client had it there
    raw_query: str = ""

    @property
    def upload(self) -> str:
        """The upload's id; empty where there is none."""
        return self.query.get("uploadId", "")

    def integer(self, name: str, most: int, default: int, low: int = 0) -> int:
        """A whole number of the query."""
        text = self.query.get(name)
        if text is None or text == "":
            return default
        if not re.fullmatch(r"[0-9]{1,9}", text) or not low <= int(text):
            raise S3Error("InvalidArgument", f"{name} is {text!r}, not a whole number from {low}")
        if name == "partNumber" and int(text) > most:
            raise S3Error("InvalidArgument", f"partNumber is {text}; {most} is the most")
        return min(most, int(text))


def _bucket_of(host: str, domain: str) -> str:
    name = re.sub(r":[0-9]+$", "", host).lower().rstrip(".")
    end = "." + domain.lower()
    return name[: -len(end)] if domain and name.endswith(end) else ""


def parse(head: RequestHead, domain: str = "") -> Asked:
    """The operation that a request's head asks for; ``domain``: whose names under it are buckets."""
    try:
        target = head.target.decode("ascii")
    except UnicodeDecodeError as error:
        raise S3Error("InvalidURI", "the path holds bytes that are not ASCII; percent-encode them") from error
    path, _, raw = target.partition("?")
    if not path.startswith("/"):
        raise S3Error("InvalidURI", "the path begins with a slash")
    bucket, key = _bucket_of(head.get(b"host") or "", domain), ""
    whole = f"/{bucket}{path}" if bucket else path
    if whole != "/":
        try:
            bucket, key = routes.volume_and_key(whole)
        except RequestError as error:
            code = "InvalidBucketName" if "volume's name" in str(error) else "InvalidArgument"
            raise S3Error("KeyTooLongError" if "bytes; " in str(error) else code, str(error)) from error
    query: dict[str, str] = {}
    for name_raw, value_raw in query_pairs(raw):
        try:
            name, value = name_raw.decode(), value_raw.decode()
        except UnicodeDecodeError as error:
            raise S3Error("InvalidURI", "the query is not UTF-8") from error
        if name.lower() in SIGNING:
            continue
        if name in query:
            raise S3Error("InvalidArgument", f"{name} is given twice")
        query[name] = value
    level = "object" if key else "bucket" if bucket else "service"
    return Asked(_which(head, level, query), bucket, key, query, path, raw)


def _which(head: RequestHead, level: str, query: dict[str, str]) -> Spoken:
    if strange := sorted(name for name in query if name in UNSUPPORTED_PARAMETERS):
        raise S3Error("NotImplemented", f"{strange[0]} is not spoken here")
    at_level = [
        spoken for spoken in SUPPORTED_OPERATIONS if spoken.level == level and spoken.method == head.method
    ]
    if not at_level:
        raise S3Error("MethodNotAllowed", f"{head.method} is not taken here")
    for spoken in sorted(at_level, key=lambda each: (-len(each.required_query), not each.required_header)):
        if not all(name in query for name in spoken.required_query):
            continue
        if spoken.required_header and head.get(spoken.required_header) is None:
            continue
        if spoken.name == "ListObjectsV2" and query["list-type"] != "2":
            raise S3Error("InvalidArgument", f"list-type is {query['list-type']!r}; it is 2")
        if extra := sorted(set(query) - {*spoken.required_query, *spoken.optional_query}):
            code = "NotImplemented" if extra[0] in UNSUPPORTED_PARAMETERS else "InvalidArgument"
            raise S3Error(code, f"{extra[0]} does not go with {spoken.name} here")
        return spoken
    raise S3Error("NotImplemented", f"{head.method} as it is asked is not spoken here")


def stored_headers(head: RequestHead) -> tuple[tuple[bytes, bytes], ...]:
    """The headers that a store keeps with an object: content headers and user metadata."""
    found = []
    size = 0
    for name, value in head.headers:
        if name.startswith(b"x-amz-meta-"):
            size += len(name) - 11 + len(value)
            found.append((name, value))
        elif name in KEPT:
            if name == b"content-encoding":
                rest = [part.strip() for part in value.split(b",") if part.strip().lower() != b"aws-chunked"]
                if not rest:
                    continue
                value = b", ".join(rest)
            found.append((name, value))
    if size > META_BYTES:
        raise S3Error("MetadataTooLarge", f"the user metadata has {size} bytes; {META_BYTES} are the most")
    return tuple(found)


def conditions(head: RequestHead) -> tuple[tuple[bytes, bytes], ...]:
    """The conditions of a request, as a store takes them."""
    return tuple((name, value) for name, value in head.headers if name in CONDITIONS)


def copy_source(head: RequestHead) -> tuple[str, str, ranges.ByteRange | None]:
    """Bucket, key and range of what is copied."""
    text = head.get(b"x-amz-copy-source") or ""
    if "?" in text:
        raise S3Error("NotImplemented", "versions are not spoken here")
    path = text if text.startswith("/") else "/" + text
    try:
        bucket, key = routes.volume_and_key(path)
    except RequestError as error:
        raise S3Error("InvalidArgument", f"x-amz-copy-source: {error}") from error
    if not key:
        raise S3Error("InvalidArgument", "x-amz-copy-source is BUCKET/KEY")
    asked = head.get(b"x-amz-copy-source-range")
    found = ranges.parse(asked)
    if asked is not None and (found is None or found.first is None or found.last is None):
        raise S3Error("InvalidArgument", "x-amz-copy-source-range is bytes=FIRST-LAST")
    return bucket, key, found


def spelled(text: str) -> str:
    """A key as encoding-type=url has it."""
    return quote(text, safe="/-_.~*")
