"""Parses the head of an S3 request into a :class:`ParsedRequest`. Pure.

Invalid and unsupported requests raise :class:`winchdyke.s3.errors.S3Error`. ``winchdyke s3 spoken`` prints
the table of :data:`SUPPORTED_OPERATIONS`.
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

MAX_LISTED_ITEMS = 1000
MAX_PART_NUMBER = 10_000
MAX_USER_METADATA_BYTES = 2048  # of all user metadata of an object; S3's limit
STORED_HEADERS = (
    b"content-type",
    b"content-disposition",
    b"content-encoding",
    b"content-language",
    b"cache-control",
    b"expires",
)
RESPONSE_HEADER_PARAMETERS = {
    "response-content-type": b"content-type", "response-content-disposition": b"content-disposition",
    "response-content-encoding": b"content-encoding", "response-content-language": b"content-language",
    "response-cache-control": b"cache-control", "response-expires": b"expires",
}  # fmt: skip
CONDITIONAL_HEADERS = (
    b"if-match",
    b"if-none-match",
    b"if-modified-since",
    b"if-unmodified-since",
    b"if-range",
)
IGNORED_PARAMETERS = {
    "x-amz-algorithm", "x-amz-credential", "x-amz-date", "x-amz-expires", "x-amz-signedheaders", "x-amz-signature",
    "x-amz-content-sha256", "x-amz-security-token", "signature", "expires", "x-id", "x-amz-checksum-mode",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class SupportedOperation:
    """An S3 operation that the gateway supports, and how a request for it is recognised.

    Attributes:
        level: "service", "bucket" or "object".
        required_right: "list", "read", "write" or "delete"; "own": none, and the result depends on the key's rights.
        required_query: Query parameters that distinguish the operation from others.
        optional_query: Further query parameters that are accepted.
        required_header: A header that distinguishes the operation from others; empty: none.
        notes: Limits of the support, for the table in the documentation.
    """

    name: str
    method: str
    level: str
    required_right: str
    required_query: tuple[str, ...] = ()
    optional_query: tuple[str, ...] = ()
    required_header: bytes = b""
    notes: str = ""


SUPPORTED_OPERATIONS = (
    SupportedOperation("ListBuckets", "GET", "service", "own", notes="volumes named without a wildcard that the key may use"),
    SupportedOperation("HeadBucket", "HEAD", "bucket", "list"),
    SupportedOperation("CreateBucket", "PUT", "bucket", "list",
                       notes="answers 200 where settings have the volume; they alone make one"),
    SupportedOperation("DeleteBucket", "DELETE", "bucket", "delete", notes="refused: settings decide"),
    SupportedOperation("GetBucketLocation", "GET", "bucket", "list", ("location",)),
    SupportedOperation("GetBucketVersioning", "GET", "bucket", "list", ("versioning",), notes="never on"),
    SupportedOperation("ListMultipartUploads", "GET", "bucket", "list", ("uploads",),
                       ("prefix", "key-marker", "upload-id-marker", "max-uploads", "encoding-type")),
    SupportedOperation("ListObjectsV2", "GET", "bucket", "list", ("list-type",),
                       ("prefix", "delimiter", "continuation-token", "start-after", "max-keys", "encoding-type", "fetch-owner")),
    SupportedOperation("ListObjects", "GET", "bucket", "list", (), ("prefix", "delimiter", "marker", "max-keys", "encoding-type")),
    SupportedOperation("DeleteObjects", "POST", "bucket", "delete", ("delete",)),
    SupportedOperation("ListParts", "GET", "object", "read", ("uploadId",), ("max-parts", "part-number-marker", "encoding-type")),
    SupportedOperation("GetObject", "GET", "object", "read", (), (*RESPONSE_HEADER_PARAMETERS, "AWSAccessKeyId", "partNumber"),
                       notes="one range, or one part; no versions"),
    SupportedOperation("HeadObject", "HEAD", "object", "read", (), (*RESPONSE_HEADER_PARAMETERS, "partNumber")),
    SupportedOperation("UploadPartCopy", "PUT", "object", "write", ("uploadId", "partNumber"), (), b"x-amz-copy-source"),
    SupportedOperation("UploadPart", "PUT", "object", "write", ("uploadId", "partNumber")),
    SupportedOperation("CopyObject", "PUT", "object", "write", (), (), b"x-amz-copy-source", notes="streamed through this gateway"),
    SupportedOperation("PutObject", "PUT", "object", "write", notes="`If-None-Match: *`, `If-Match`"),
    SupportedOperation("AbortMultipartUpload", "DELETE", "object", "write", ("uploadId",)),
    SupportedOperation("DeleteObject", "DELETE", "object", "delete"),
    SupportedOperation("CreateMultipartUpload", "POST", "object", "write", ("uploads",)),
    SupportedOperation("CompleteMultipartUpload", "POST", "object", "write", ("uploadId",),
                       notes="atomic; a repeat gets the first one's answer"),
)  # fmt: skip
UNSUPPORTED_PARAMETERS = {
    "acl", "tagging", "policy", "cors", "lifecycle", "versions", "versionId", "website", "logging", "notification", "torrent",
    "restore", "select", "retention", "legal-hold", "object-lock", "encryption", "replication", "requestPayment", "accelerate",
    "inventory", "analytics", "metrics", "publicAccessBlock", "ownershipControls", "policyStatus", "attributes",
    "intelligent-tiering", "session", "object-lock-enabled", "metadataTable", "renameObject",
}  # fmt: skip


@dataclass(frozen=True, slots=True)
class ParsedRequest:
    """An S3 request.

    Attributes:
        query: The query parameters, without those of the signature.
        path: The path as sent; without the bucket if the client named it in the host name.
        raw_query: The query string as sent.
    """

    operation: SupportedOperation
    bucket: str = ""
    key: str = ""
    query: dict[str, str] = field(default_factory=dict)
    path: str = ""
    raw_query: str = ""

    @property
    def upload_id(self) -> str:
        """The upload's id; empty if the request names none."""
        return self.query.get("uploadId", "")

    def integer(self, name: str, maximum: int, default: int, minimum: int = 0) -> int:
        """The value of an integer query parameter, capped at ``maximum``.

        Raises:
            S3Error: It is not an integer, is below ``minimum``, or is a partNumber above ``maximum``.
        """
        text = self.query.get(name)
        if text is None or text == "":
            return default
        if not re.fullmatch(r"[0-9]{1,9}", text) or not minimum <= int(text):
            raise S3Error("InvalidArgument", f"{name} is {text!r}; expected an integer of at least {minimum}")
        if name == "partNumber" and int(text) > maximum:
            raise S3Error("InvalidArgument", f"partNumber is {text}; {maximum} is the maximum")
        return min(maximum, int(text))


def _bucket_from_host(host: str, domain: str) -> str:
    name = re.sub(r":[0-9]+$", "", host).lower().rstrip(".")
    suffix = "." + domain.lower()
    return name[: -len(suffix)] if domain and name.endswith(suffix) else ""


def parse(head: RequestHead, domain: str = "") -> ParsedRequest:
    """Parses the head of a request.

    Args:
        head: The request's head.
        domain: The domain whose subdomains are bucket names; empty: buckets are named in paths only.

    Raises:
        S3Error: The request is invalid or not supported.
    """
    try:
        target = head.target.decode("ascii")
    except UnicodeDecodeError as error:
        raise S3Error(
            "InvalidURI", "the path contains bytes that are not ASCII; percent-encode them"
        ) from error
    path, _, raw = target.partition("?")
    if not path.startswith("/"):
        raise S3Error("InvalidURI", "the path must begin with a slash")
    bucket, key = _bucket_from_host(head.get(b"host") or "", domain), ""
    full_path = f"/{bucket}{path}" if bucket else path
    if full_path != "/":
        try:
            bucket, key = routes.volume_and_key(full_path)
        except RequestError as error:
            code = "InvalidBucketName" if "volume's name" in str(error) else "InvalidArgument"
            raise S3Error("KeyTooLongError" if "bytes; " in str(error) else code, str(error)) from error
    query: dict[str, str] = {}
    for name_raw, value_raw in query_pairs(raw):
        try:
            name, value = name_raw.decode(), value_raw.decode()
        except UnicodeDecodeError as error:
            raise S3Error("InvalidURI", "the query is not UTF-8") from error
        if name.lower() in IGNORED_PARAMETERS:
            continue
        if name in query:
            raise S3Error("InvalidArgument", f"{name} is given twice")
        query[name] = value
    level = "object" if key else "bucket" if bucket else "service"
    return ParsedRequest(_match_operation(head, level, query), bucket, key, query, path, raw)


def _match_operation(head: RequestHead, level: str, query: dict[str, str]) -> SupportedOperation:
    if unsupported := sorted(name for name in query if name in UNSUPPORTED_PARAMETERS):
        raise S3Error("NotImplemented", f"{unsupported[0]} is not a supported query parameter")
    candidates = [
        operation
        for operation in SUPPORTED_OPERATIONS
        if operation.level == level and operation.method == head.method
    ]
    if not candidates:
        raise S3Error("MethodNotAllowed", f"{head.method} is not supported for this path")
    for operation in sorted(
        candidates, key=lambda each: (-len(each.required_query), not each.required_header)
    ):
        if not all(name in query for name in operation.required_query):
            continue
        if operation.required_header and head.get(operation.required_header) is None:
            continue
        if operation.name == "ListObjectsV2" and query["list-type"] != "2":
            raise S3Error("InvalidArgument", f"list-type is {query['list-type']!r}; only 2 is supported")
        if unexpected := sorted(set(query) - {*operation.required_query, *operation.optional_query}):
            code = "NotImplemented" if unexpected[0] in UNSUPPORTED_PARAMETERS else "InvalidArgument"
            raise S3Error(code, f"{unexpected[0]} is not a query parameter that {operation.name} accepts")
        return operation
    raise S3Error("NotImplemented", f"{head.method} with these query parameters is not supported")


def stored_headers(head: RequestHead) -> tuple[tuple[bytes, bytes], ...]:
    """The headers that are stored with an object: content headers and user metadata.

    Raises:
        S3Error: The user metadata is too large.
    """
    found = []
    size = 0
    for name, value in head.headers:
        if name.startswith(b"x-amz-meta-"):
            size += len(name) - 11 + len(value)
            found.append((name, value))
        elif name in STORED_HEADERS:
            if name == b"content-encoding":
                encodings = [
                    part.strip() for part in value.split(b",") if part.strip().lower() != b"aws-chunked"
                ]
                if not encodings:
                    continue
                value = b", ".join(encodings)
            found.append((name, value))
    if size > MAX_USER_METADATA_BYTES:
        raise S3Error(
            "MetadataTooLarge",
            f"the user metadata has {size} bytes; {MAX_USER_METADATA_BYTES} is the maximum",
        )
    return tuple(found)


def conditional_headers(head: RequestHead) -> tuple[tuple[bytes, bytes], ...]:
    """The conditional headers of a request, which are forwarded to the store."""
    return tuple((name, value) for name, value in head.headers if name in CONDITIONAL_HEADERS)


def copy_source(head: RequestHead) -> tuple[str, str, ranges.ByteRange | None]:
    """The bucket, key and range of the source of a copy.

    Raises:
        S3Error: x-amz-copy-source or x-amz-copy-source-range is invalid, or it names a version.
    """
    text = head.get(b"x-amz-copy-source") or ""
    if "?" in text:
        raise S3Error("NotImplemented", "object versions are not supported")
    path = text if text.startswith("/") else "/" + text
    try:
        bucket, key = routes.volume_and_key(path)
    except RequestError as error:
        raise S3Error("InvalidArgument", f"x-amz-copy-source: {error}") from error
    if not key:
        raise S3Error("InvalidArgument", "x-amz-copy-source must be BUCKET/KEY")
    range_text = head.get(b"x-amz-copy-source-range")
    byte_range = ranges.parse(range_text)
    if range_text is not None and (byte_range is None or byte_range.first is None or byte_range.last is None):
        raise S3Error("InvalidArgument", "x-amz-copy-source-range must be bytes=FIRST-LAST")
    return bucket, key, byte_range


def url_encoded(text: str) -> str:
    """Encodes a key as in listings with encoding-type=url."""
    return quote(text, safe="/-_.~*")
