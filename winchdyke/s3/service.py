"""From an S3 client's request to its one final answer: let in, translated, carried through the scheduler, and told as S3 has it.

Each step that touches a store is an operation of the object API's, with the deadline that is left. Nothing is decided here about
where and when: that is the scheduler's. What a refusal means to a client is :mod:`winchdyke.s3.errors`.
"""

from __future__ import annotations

import contextlib
import time
import uuid
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from email.utils import parsedate_to_datetime
from pathlib import Path

import anyio
import msgspec
import structlog

from winchdyke.auth import sigv4
from winchdyke.auth.keys import AccessKeyFileError, AccessKeyRing, Right, has_rights_in, is_allowed
from winchdyke.config.model import S3 as Settings
from winchdyke.gateway.access_log import AccessLogRecord
from winchdyke.gateway.attempts import ClientDisconnectedError
from winchdyke.gateway.clients import ClientConnection
from winchdyke.gateway.config_snapshot import ConfigSnapshot
from winchdyke.gateway.final_response import FinalResponse
from winchdyke.gateway.request_context import BodySource, InternalCaller
from winchdyke.gateway.service import Service
from winchdyke.http1 import Bytes, Headers, ProtocolError, RequestHead, ResponseHead
from winchdyke.object_api import listing as native
from winchdyke.object_api import ranges, routes, store_protocol
from winchdyke.object_api.answers import RequestError
from winchdyke.s3 import checksums, listing, multipart, requests, xml
from winchdyke.s3.body import AWS_CHUNKED_PAYLOADS, BodyVerifier, ExpectedBody
from winchdyke.s3.errors import S3Error, from_final_response
from winchdyke.s3.lanes import KeyQueues
from winchdyke.s3.requests import ParsedRequest

DOCUMENT = (
    16 << 20
)  # bytes of a store's answer that is read whole: the parts of an upload, a page of a listing
AT_ONCE = 8  # deletes of one request under way together
PIPE = 4  # pieces of a copy between its reading and its writing
ROUNDS = 64  # pages asked of the stores for one page of a listing
SWEEP_MOST_S = 600.0  # between looks for forgotten uploads
ALL = [Right("*", "", ["list", "read", "write", "delete"])]


class Collect:
    """A sink that keeps an answer whole, up to a bound."""

    def __init__(self, most: int = DOCUMENT) -> None:
        self.data_, self._most, self.head = bytearray(), most, None

    head: ResponseHead | None

    async def begin_stream(self, head: ResponseHead) -> None:
        """Take the head."""
        self.head = head

    async def data(self, data: Bytes) -> None:
        """Take a piece."""
        self.data_ += data
        if len(self.data_) > self._most:
            raise ClientDisconnectedError

    async def finish(self) -> None:
        """The end."""


class Relay:
    """A sink that hands an object's answer to the client as S3 has it."""

    def __init__(self, connection: ClientConnection, overrides: Headers) -> None:
        self._to, self._overrides = connection, overrides

    def told(self, head: ResponseHead) -> ResponseHead:
        """The head with the headers that the client asked for in place of those that are kept."""
        names = {name for name, _ in self._overrides}
        headers = [(name, value) for name, value in head.headers if name not in names] + self._overrides
        return ResponseHead(head.status, headers, head.length)

    async def begin_stream(self, head: ResponseHead) -> None:
        """Pass the head on."""
        await self._to.begin_stream(self.told(head))

    async def data(self, data: Bytes) -> None:
        """Pass a piece on."""
        await self._to.data(data)

    async def finish(self) -> None:
        """Pass the end on."""
        await self._to.finish()


class Pipe:
    """What is read from one store on its way to another."""

    def __init__(self) -> None:
        self._send, self._receive = anyio.create_memory_object_stream[bytes](PIPE)
        self.begun, self.head = anyio.Event(), ResponseHead(0, [], None)
        self.whole = False

    async def begin_stream(self, head: ResponseHead) -> None:
        """The source is there."""
        self.head = head
        self.begun.set()

    async def data(self, data: Bytes) -> None:
        """A piece of it."""
        await self._send.send(bytes(data))

    async def finish(self) -> None:
        """It is whole."""
        self.whole = True

    def close(self) -> None:
        """Nothing more comes."""
        self._send.close()
        self.begun.set()

    async def read(self) -> bytes:
        """The next piece; ProtocolError where the source broke off."""
        try:
            return await self._receive.receive()
        except anyio.EndOfStream:
            if not self.whole:
                raise ProtocolError(500, "body-cut", "what was copied broke off") from None
            return b""


class S3Service:
    """The S3 dialect at one gateway."""

    def __init__(self, service: Service, settings: Settings, wall: Callable[[], float] = time.time) -> None:
        self.service, self.settings, self.wall = service, settings, wall
        self.access = AccessKeyRing(Path(settings.keys), Path(settings.master)) if settings.keys else None
        self._born, self._count = uuid.uuid4().hex[:20], 0
        self.parts, self.ranges = KeyQueues(settings.parts_at_once), KeyQueues(settings.ranges_at_once)
        self._volumes: set[str] = set()  # that had uploads in parts since this gateway's start
        self._log = structlog.get_logger("s3")

    async def handle(self, connection: ClientConnection, head: RequestHead) -> None:
        """Answer one request; whatever happens, once."""
        service = self.service
        self._count += 1
        call = Call(self, connection, head, f"{self._born}{self._count:012x}")
        told: Headers = [(b"x-amz-request-id", call.request.encode())]
        if call.snapshot.version:
            told.append((store_protocol.CONFIG_VERSION_HEADER, str(call.snapshot.version).encode()))
        connection.begin_request(told, close=service.stopping)
        connection.declared_body_bytes = head.length
        service.active_requests += 1
        try:
            await call.run()
        except S3Error as error:
            await self._refuse(call, error)
        except RequestError as error:
            code = {"no-volume": "NoSuchBucket", "too-large": "EntityTooLarge"}.get(
                error.reason, "InvalidArgument"
            )
            await self._refuse(call, S3Error(code, str(error)))
        except ProtocolError as error:
            code = {413: "EntityTooLarge", 408: "RequestTimeout"}.get(error.status, "IncompleteBody")
            await self._refuse(call, S3Error(code, str(error), 400))
        except ClientDisconnectedError:
            connection.close_after_response = True
        except Exception as error:
            self._log.error("internal", request=call.request, exc_info=error)
            await self._refuse(
                call, S3Error("InternalError", "this went wrong inside; see the gateway's log")
            )
        finally:
            service.active_requests -= 1
            connection.on_disconnect = None
            call.ended()

    async def run(self) -> None:
        """Look for forgotten uploads until cancelled."""
        while True:
            await anyio.sleep(min(SWEEP_MOST_S, self.settings.upload_keep / 1000 / 4))
            for volume in sorted(self._volumes | {rule.pattern for rule in self.service.config.volumes}):
                if not set("*?[") & set(volume):
                    await self.forget(volume)

    async def forget(self, volume: str) -> int:
        """Abort the uploads of a volume that nobody has touched for too long; how many. Each step is the scheduler's."""
        self._count += 1
        request = f"{self._born}{self._count:012x}"
        head = RequestHead("GET", f"/{volume}?uploads".encode(), [], 0)
        call = Call(self, InternalCaller(), head, request)  # type: ignore[arg-type]
        done = 0
        try:
            for upload in multipart.expired(
                await call.uploads(volume), self.wall() * 1000, self.settings.upload_keep
            ):
                final = await call._do("abort-upload", volume, upload.key, upload=upload.uploadId)
                done += final.response is not None and final.response.head.status == 204
                self._log.info("forgotten", volume=volume, key=upload.key, upload=upload.uploadId)
        except (S3Error, RequestError, ClientDisconnectedError) as error:
            self._log.warning("forgotten", volume=volume, trouble=str(error))  # at the next look
        return done

    async def _refuse(self, call: Call, error: S3Error) -> None:
        connection = call.connection
        call.outcome = (
            "refused" if error.code == "SlowDown" else "failed" if error.status >= 500 else "served"
        )
        call.code = error.code
        if connection.disconnected or not connection.codec.can_respond:
            connection.close_after_response = True
            return
        body = xml.error_document(
            error.code, error.text, call.head.target.partition(b"?")[0].decode("latin-1"), call.request
        )
        headers: Headers = [
            (b"content-type", b"application/xml"),
            (b"content-length", str(len(body)).encode()),
        ]
        if error.retry_after_ms is not None:
            headers.append((b"retry-after", str(max(1, round(error.retry_after_ms / 1000 + 0.49))).encode()))
        if error.status == 304:
            headers, body = [], b""
        await connection.respond(error.status, headers, b"" if call.head.method == "HEAD" else body)


class Call:
    """One request while it is answered."""

    def __init__(self, s3: S3Service, connection: ClientConnection, head: RequestHead, request: str) -> None:
        self.s3, self.connection, self.head, self.request = s3, connection, head, request
        self.service = s3.service
        self.snapshot: ConfigSnapshot = s3.service.snapshot
        self.began, self._steps = self.service.clock(), 0
        self.parsed: ParsedRequest | None = None
        self.rights: list[Right] = []
        self.signed = sigv4.VerifiedRequest("", sigv4.UNSIGNED_PAYLOAD)
        self.record = AccessLogRecord(config_version=self.snapshot.version)
        self.outcome, self.code, self.who = "served", "", ""
        self.end = float("inf")

    async def run(self) -> None:
        """Let in, and answer."""
        parsed = self.parsed = requests.parse(self.head, self.s3.settings.domain)
        self._let_in(parsed)
        if parsed.bucket and self.snapshot.volume(parsed.bucket) is None:
            raise S3Error("NoSuchBucket", f"no volume {parsed.bucket!r} is set up here")
        doing: Callable[[ParsedRequest], Awaitable[None]] = getattr(self, "_" + parsed.operation.name)
        await doing(parsed)

    def ended(self) -> None:
        """Tell those who count, and the log."""
        parsed = self.parsed
        if parsed is not None and parsed.bucket and self.service.on_request_end is not None:
            shard = self.record.request.shard if self.record.request is not None else -1
            self.service.on_request_end(parsed.bucket, shard, self.outcome, self.service.clock() - self.began)
        structlog.get_logger("access").info(
            "s3", request=self.request, who=self.who, operation=parsed.operation.name if parsed else None,
            bucket=parsed.bucket if parsed else None, status=self.connection.response_status, code=self.code,
            attempts=self.record.attempt_count, nodes=self.record.endpoints, total_ms=round(self.service.clock() - self.began, 2),
        )  # fmt: skip

    # Who it is, and what they may

    def _let_in(self, parsed: ParsedRequest) -> None:
        head, now = self.head, self.s3.wall()
        request = sigv4.SignableRequest(head.method, parsed.path, parsed.raw_query, tuple(head.headers))
        if "AWSAccessKeyId" in parsed.query or (head.get(b"authorization") or "").startswith("AWS "):
            raise S3Error(
                "InvalidRequest", "signature version 2 is not spoken: set your client to version 4 (s3v4)"
            )
        if not sigv4.is_signed(request):
            word = self.s3.settings.unsigned
            if word == "all" or (word == "read" and parsed.operation.required_right in ("read", "list")):
                self.rights, self.who = ALL, "anyone"
                if head.get(b"x-amz-content-sha256") in AWS_CHUNKED_PAYLOADS:
                    self.signed.payload_hash = sigv4.STREAMING_UNSIGNED_PAYLOAD_TRAILER
                return
            raise S3Error("AccessDenied", "the request is not signed")
        access = self.s3.access
        found: list[tuple[list[Right], str]] = []

        def secret_of(name: str) -> str | None:
            if access is None:
                return None
            try:
                key = access.find(name, now * 1000)
            except AccessKeyFileError as error:
                self.s3._log.error("keys", trouble=str(error))
                raise S3Error(
                    "ServiceUnavailable", "keys can't be looked at now; see the gateway's log"
                ) from error
            if key is None:
                return None
            found[:] = [(key[0].rights, key[0].who)]
            return key[1]

        try:
            self.signed = sigv4.verify(request, secret_of, now)
        except sigv4.AuthError as error:
            raise S3Error(error.code, error.text, error.status) from error
        self.rights, self.who = found[0]
        right = parsed.operation.required_right
        if right != "own" and parsed.operation.level != "service":
            name = parsed.key if parsed.operation.level == "object" else parsed.query.get("prefix", "")
            if parsed.operation.name == "DeleteObjects":
                return  # each key by itself
            bare = parsed.operation.level == "bucket" and parsed.operation.name.startswith(
                ("Head", "Create", "GetBucket")
            )
            allowed = (
                has_rights_in(self.rights, parsed.bucket)
                if bare
                else is_allowed(self.rights, right, parsed.bucket, name)
            )
            if not allowed:
                raise S3Error("AccessDenied", f"this key has no right to {right} here")

    # Steps

    async def _do(
        self,
        name: str,
        volume: str,
        key: str = "",
        source: BodySource | None = None,
        sink: object = None,
        **more: object,
    ) -> FinalResponse:
        """One operation of the object API, in the time that is left."""
        self._steps += 1
        request = self.request if self._steps == 1 else f"{self.request}.{self._steps}"
        now = self.service.clock()
        left = None if self.end == float("inf") else max(1.0, self.end - now)
        client = routes.client_request(self.head)
        operation = routes.Operation(name, volume, key, time_left_ms=left, client_request=client, **more)  # type: ignore[arg-type]
        length = source.length if source is not None else 0
        head = RequestHead(operation.store_method, operation.target(), self.head.headers, length)
        record = AccessLogRecord(config_version=self.snapshot.version)
        try:
            kind, final = await self.service.execute(
                self.connection, head, operation, request, record, self.snapshot, source or BodySource(_nothing, 0),
                sink if sink is not None else Collect(),  # type: ignore[arg-type]
            )  # fmt: skip
        finally:
            self.record.attempt_count += record.attempt_count
            self.record.endpoints += record.endpoints
            self.record.request = self.record.request or record.request
        if self._steps == 1:
            self.end = self.began + kind.rules.deadline_ms
        if final.outcome == "gone":
            raise ClientDisconnectedError
        return final

    @asynccontextmanager
    async def _queue_slot(self, queues: KeyQueues, name: str, kind: str) -> AsyncIterator[None]:
        """A place in a lane, within the deadline of the class that the operation has."""
        ready = anyio.Event()
        rules = self.snapshot.config.kind_for(kind, None)
        if rules is not None:
            self.end = min(self.end, self.began + rules.rules.deadline_ms)
        if not queues.acquire(name, ready.set):
            left = max(0.0, self.end - self.service.clock()) / 1000
            with anyio.move_on_after(left) as late:
                await ready.wait()
            if late.cancelled_caught and queues.cancel_wait(name, ready.set):
                raise S3Error("SlowDown", "too many parts or ranges of this object at once", 503, 1000.0)
        try:
            yield
        finally:
            queues.release(name)

    def _answered(self, final: FinalResponse, missing: str = "NoSuchKey") -> ResponseHead:
        """The head of a store's whole answer. S3Error where it says no, or where no store said anything."""
        if final.streamed:
            self.outcome = final.outcome
            if final.outcome != "served":
                self.connection.close_after_response = True
            raise ClientDisconnectedError  # all that can be said was said
        if final.response is None:
            self.outcome = final.outcome
            raise from_final_response(
                final.status, final.outcome, final.reason, final.text, final.retry_after_ms
            )
        head = final.response.head
        if head.status < 300:
            return head
        text = {404: missing, 412: "PreconditionFailed", 416: "InvalidRange", 304: "NotModified"}.get(
            head.status
        )
        if text is None:
            raise S3Error("InvalidRequest", f"the store answered {head.status}", 400)
        raise S3Error(text, _WORDS.get(text, text), head.status)

    async def _whole(self, final: FinalResponse, sink: Collect, missing: str) -> bytes:
        """The body of an answer that is read whole, however large it came."""
        if final.streamed and final.outcome == "served" and sink.head is not None:
            return bytes(sink.data_)
        if final.streamed:
            raise S3Error("InternalError", "a store's answer broke off or is too large")
        self._answered(final, missing)
        assert final.response is not None
        return final.response.body

    async def _say(self, status: int, body: bytes = b"", headers: Headers = []) -> None:  # noqa: B006
        told: Headers = [*headers]
        if status != 204:
            told.append((b"content-length", str(len(body)).encode()))
        if body:
            told.append((b"content-type", b"application/xml"))
        await self.connection.respond(status, told, b"" if self.head.method == "HEAD" else body)

    def _etag(self, head: ResponseHead) -> str:
        return head.get(b"etag") or ""

    # Bodies

    def _source(self) -> tuple[BodySource, BodyVerifier]:
        """The client's body, unpacked and checked."""
        head = self.head
        payload = head.get(b"x-amz-content-sha256") or self.signed.payload_hash
        if self.signed.payload_hash not in (sigv4.UNSIGNED_PAYLOAD, sigv4.STREAMING_UNSIGNED_PAYLOAD_TRAILER):
            payload = self.signed.payload_hash
        aws_chunked = payload in AWS_CHUNKED_PAYLOADS
        wanted = ExpectedBody(payload, self.signed.chunks, head.length, aws_chunked=aws_chunked)
        if aws_chunked:
            text = head.get(b"x-amz-decoded-content-length")
            if text is None or not text.isascii() or not text.isdigit() or len(text) > 15:
                raise S3Error("MissingContentLength", "x-amz-decoded-content-length is missing", 411)
            wanted.length = int(text)
        md5 = head.get(b"content-md5")
        if md5 is not None:
            wanted.md5 = checksums.decode_base64(md5)
            if wanted.md5 is None or len(wanted.md5) != 16:
                raise S3Error("InvalidDigest", "Content-MD5 is no MD5 in base64")
        for name, value in head.headers:
            algorithm = name.decode("latin-1").removeprefix(checksums.PREFIX)
            if name.startswith(checksums.PREFIX.encode()) and algorithm not in ("algorithm", "mode", "type"):
                self._known(algorithm)
                wanted.checksum_values[algorithm] = checksums.decode_base64(value.decode("latin-1"))
                if wanted.checksum_values[algorithm] is None:
                    raise S3Error("InvalidRequest", f"{name.decode()} is not base64")
        if trailer := head.get(b"x-amz-trailer"):
            if not aws_chunked or not payload.endswith("TRAILER"):
                raise S3Error("InvalidRequest", "x-amz-trailer goes with a body in chunks that has a trailer")
            for each in trailer.split(","):
                algorithm = each.strip().lower().removeprefix(checksums.PREFIX)
                self._known(algorithm)
                wanted.checksum_values[algorithm] = None
        body = BodyVerifier(wanted)
        most, got, over = self.service.config.limits.object_bytes, 0, False

        async def read() -> bytes:
            nonlocal got, over
            while not over:
                data = await self.connection.read_body()
                got += len(data)
                if got > most + most // 8:
                    raise ProtocolError(413, "too-large", f"the object is larger than {most} bytes")
                try:
                    ready = body.feed(data) if data else body.finish()
                except S3Error as error:
                    raise _Wrong(error) from error
                over = not data
                if ready:
                    return ready
            return b""

        return BodySource(read, wanted.length), body

    @staticmethod
    def _known(name: str) -> None:
        if name not in checksums.ALGORITHMS:
            known = ", ".join(checksums.ALGORITHMS)
            raise S3Error("NotImplemented", f"the checksum {name!r} is not spoken here; {known} are")

    async def _document(self) -> bytes:
        """A document that the client sends, checked."""
        source, _ = self._source()
        got = bytearray()
        if (source.length or 0) > xml.MAX_DOCUMENT_BYTES:
            raise S3Error("EntityTooLarge", f"a document has at most {xml.MAX_DOCUMENT_BYTES} bytes")
        # Guards against a client that sends a document a byte at a time: no deadline of a class counts yet.
        with anyio.move_on_after(self.service.config.limits.stream_idle / 1000) as late:
            while data := await _unwrapped(source.read):
                got += data
                if len(got) > xml.MAX_DOCUMENT_BYTES:
                    raise S3Error("EntityTooLarge", f"a document has at most {xml.MAX_DOCUMENT_BYTES} bytes")
        if late.cancelled_caught:
            self.connection.close_after_response = True
            raise S3Error("RequestTimeout", "the document did not arrive in time")
        return bytes(got)

    # Buckets

    async def _ListBuckets(self, _: ParsedRequest) -> None:
        names = sorted(
            rule.pattern for rule in self.snapshot.config.volumes
            if not set("*?[") & set(rule.pattern) and has_rights_in(self.rights, rule.pattern)
        )  # fmt: skip
        buckets: list[xml.Value] = [
            {"Name": name, "CreationDate": "1970-01-01T00:00:00.000Z"} for name in names
        ]
        owner: xml.Value = {"ID": self.who, "DisplayName": self.who}
        await self._say(
            200, xml.document("ListAllMyBucketsResult", {"Owner": owner, "Buckets": {"Bucket": buckets}})
        )

    async def _HeadBucket(self, _: ParsedRequest) -> None:
        await self._say(200, b"", [(b"x-amz-bucket-region", b"us-east-1")])

    async def _CreateBucket(self, parsed: ParsedRequest) -> None:
        await self._document()
        await self._say(200, b"", [(b"location", f"/{parsed.bucket}".encode())])

    async def _DeleteBucket(self, _: ParsedRequest) -> None:
        raise S3Error("AccessDenied", "volumes are made and removed in the gateway's settings alone")

    async def _GetBucketLocation(self, _: ParsedRequest) -> None:
        await self._say(200, xml.document("LocationConstraint", {}))

    async def _GetBucketVersioning(self, _: ParsedRequest) -> None:
        await self._say(200, xml.document("VersioningConfiguration", {}))

    # Objects

    async def _GetObject(self, parsed: ParsedRequest) -> None:
        overrides: Headers = []
        for name, header in requests.RESPONSE_HEADER_PARAMETERS.items():
            if name in parsed.query:
                if not self.signed.access_key_id and self.s3.settings.unsigned != "all":
                    raise S3Error("InvalidRequest", "response headers are set by signed requests alone")
                value = parsed.query[name]
                if not value.isprintable() or not value.isascii():
                    raise S3Error("InvalidArgument", f"{name} is no value of a header")
                overrides.append((header, value.encode()))
        relay = Relay(self.connection, overrides)
        name = "head" if self.head.method == "HEAD" else "get"
        part = ranges.parse(self.head.get(b"range")) if name == "get" else None
        forwarded_headers = requests.conditional_headers(self.head)
        number = parsed.integer("partNumber", requests.MAX_PART_NUMBER, 0, 1)
        if number and part is not None:
            raise S3Error("InvalidRequest", "a range and a part number do not go together")
        if part is None:
            final = await self._do(
                name, parsed.bucket, parsed.key, sink=relay, forwarded_headers=forwarded_headers, part=number
            )
        else:
            async with self._queue_slot(self.s3.ranges, f"{parsed.bucket}/{parsed.key}", name):
                final = await self._do(
                    name,
                    parsed.bucket,
                    parsed.key,
                    sink=relay,
                    forwarded_headers=forwarded_headers,
                    range=part,
                )
        if final.streamed:
            self.outcome = final.outcome
            if final.outcome != "served":
                self.connection.close_after_response = True
            return
        if final.response is not None and final.response.head.status == 304:
            return await self.connection.respond(
                304, store_protocol.client_headers(final.response.head.headers), b""
            )
        self._answered(final)
        assert final.response is not None
        told = relay.told(final.response.head)
        await self.connection.respond(
            told.status, store_protocol.client_headers(told.headers), final.response.body
        )

    _HeadObject = _GetObject

    async def _PutObject(self, parsed: ParsedRequest) -> None:
        if self.head.length is None and self.head.get(b"x-amz-decoded-content-length") is None:
            raise S3Error("MissingContentLength", "Content-Length is missing", 411)
        source, body = self._source()
        forwarded_headers = requests.stored_headers(self.head) + requests.conditional_headers(self.head)
        final = await self._with_body("put", parsed, source, forwarded_headers=forwarded_headers)
        await self._put_answer(final, body, "NoSuchBucket")

    async def _with_body(
        self, name: str, parsed: ParsedRequest, source: BodySource, **more: object
    ) -> FinalResponse:
        wrong: list[S3Error] = []
        read = source.read

        async def noted() -> Bytes:
            try:
                return await read()
            except _Wrong as error:
                wrong.append(error.error)
                raise

        final = await self._do(name, parsed.bucket, parsed.key, BodySource(noted, source.length), **more)
        if wrong:
            raise wrong[0]
        return final

    async def _put_answer(self, final: FinalResponse, body: BodyVerifier, missing: str) -> None:
        head = self._answered(final, missing)
        told: Headers = [(b"etag", self._etag(head).encode())]
        for name, value in body.running_checksums.items():
            told.append(
                ((checksums.PREFIX + name).encode(), checksums.encode_base64(value.digest()).encode())
            )
        await self._say(200, b"", told)

    async def _DeleteObject(self, parsed: ParsedRequest) -> None:
        final = await self._do(
            "delete", parsed.bucket, parsed.key, forwarded_headers=requests.conditional_headers(self.head)
        )
        if final.response is None or final.response.head.status != 404:  # what is not there is deleted
            self._answered(final)
        await self._say(204)

    async def _DeleteObjects(self, parsed: ParsedRequest) -> None:
        keys, quiet = xml.parse_deletion(await self._document())
        done: dict[str, S3Error | None] = {}
        places = anyio.CapacityLimiter(AT_ONCE)

        async def one(key: str) -> None:
            async with places:
                try:
                    if not is_allowed(self.rights, "delete", parsed.bucket, key):
                        raise S3Error("AccessDenied", "this key has no right to delete here")
                    volume, read = routes.volume_and_key(f"/{parsed.bucket}/{requests.url_encoded(key)}")
                    final = await self._do("delete", volume, read)
                    if final.response is None or final.response.head.status != 404:
                        self._answered(final)
                    done[key] = None
                except S3Error as error:
                    done[key] = error
                except RequestError as error:
                    done[key] = S3Error("InvalidArgument", str(error))

        async with anyio.create_task_group() as group:
            for key in dict.fromkeys(keys):
                group.start_soon(one, key)
        told: dict[str, xml.Value] = {
            "Deleted": [{"Key": key} for key in keys if done[key] is None and not quiet],
            "Error": [
                {"Key": key, "Code": error.code, "Message": error.text}
                for key in keys for error in [done[key]] if error is not None
            ],
        }  # fmt: skip
        await self._say(200, xml.document("DeleteResult", told))

    async def _copied(
        self, put: Callable[[BodySource, ResponseHead], Awaitable[FinalResponse]]
    ) -> FinalResponse:
        """What the request names is read from its store and handed to ``put`` as it comes."""
        bucket, key, part = requests.copy_source(self.head)
        if self.snapshot.volume(bucket) is None:
            raise S3Error("NoSuchBucket", f"no volume {bucket!r} is set up here")
        if not is_allowed(self.rights, "read", bucket, key):
            raise S3Error("AccessDenied", "this key has no right to read what is copied")
        names = {
            b"x-amz-copy-source-if-match": b"if-match", b"x-amz-copy-source-if-none-match": b"if-none-match",
            b"x-amz-copy-source-if-modified-since": b"if-modified-since",
            b"x-amz-copy-source-if-unmodified-since": b"if-unmodified-since",
        }  # fmt: skip
        forwarded_headers = tuple((names[name], value) for name, value in self.head.headers if name in names)
        pipe, finals = Pipe(), list[FinalResponse]()

        async def get() -> None:
            try:
                finals.append(
                    await self._do(
                        "get", bucket, key, sink=pipe, forwarded_headers=forwarded_headers, range=part
                    )
                )
            finally:
                pipe.close()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(get)
                await pipe.begun.wait()
                if pipe.head.status == 0:  # a small one, or none
                    head = (
                        self._answered(finals[0])
                        if finals[0].response is None or finals[0].response.head.status != 304
                        else None
                    )
                    if head is None:
                        raise S3Error("PreconditionFailed", "what is copied is as it was")
                    assert finals[0].response is not None
                    return await put(_bytes(finals[0].response.body), head)
                made = await put(BodySource(pipe.read, pipe.head.length), pipe.head)
                if not pipe.whole:
                    group.cancel_scope.cancel()
                return made
        except BaseExceptionGroup as group_error:
            found = group_error.subgroup(S3Error)
            while isinstance(found, BaseExceptionGroup):
                found = found.exceptions[0]  # type: ignore[assignment]
            if isinstance(found, S3Error):
                raise found from None
            raise
        raise AssertionError("a copy ends with an answer or an error")

    async def _CopyObject(self, parsed: ParsedRequest) -> None:
        word = self.head.get(b"x-amz-metadata-directive") or "COPY"
        if word not in ("COPY", "REPLACE"):
            raise S3Error("InvalidArgument", f"x-amz-metadata-directive is COPY or REPLACE, not {word!r}")
        if requests.copy_source(self.head)[:2] == (parsed.bucket, parsed.key) and word == "COPY":
            raise S3Error(
                "InvalidRequest", "a copy onto itself has to change something: REPLACE the metadata"
            )

        async def put(source: BodySource, head: ResponseHead) -> FinalResponse:
            kept = requests.stored_headers(self.head) if word == "REPLACE" else _kept_of(head)
            return await self._do("put", parsed.bucket, parsed.key, source, forwarded_headers=kept)

        head = self._answered(await self._copied(put), "NoSuchBucket")
        told: dict[str, xml.Value] = {"ETag": self._etag(head), "LastModified": _stamp(self.s3.wall())}
        await self._say(200, xml.document("CopyObjectResult", told))

    # Listings

    async def _page(self, volume: str, prefix: str, after: str, limit: int) -> native.Page:
        sink = Collect()
        final = await self._do("list", volume, sink=sink, prefix=prefix, after=after, limit=limit)
        data = await self._whole(final, sink, "NoSuchBucket")
        return msgspec.json.decode(data, type=native.Page)

    async def _folded(self, parsed: ParsedRequest, after: str) -> listing.ObjectListing:
        query = parsed.query
        prefix, delimiter = query.get("prefix", ""), query.get("delimiter", "")
        most = parsed.integer("max-keys", requests.MAX_LISTED_ITEMS, requests.MAX_LISTED_ITEMS)
        fold = listing.ObjectListing(prefix, delimiter, most, after)
        if most == 0:
            return fold
        for _ in range(ROUNDS):
            page = await self._page(
                parsed.bucket, prefix, fold.after, min(requests.MAX_LISTED_ITEMS, most - fold.count + 1)
            )
            skipped = fold.add(page.objects)
            if fold.truncated or (page.next is None and not skipped):
                return fold
            if not skipped and page.next is not None:
                fold.after = max(fold.after, page.next)
        fold.truncated = True  # as far as it came: the client goes on from there
        return fold

    def _told(self, parsed: ParsedRequest, fold: listing.ObjectListing) -> dict[str, xml.Value]:
        spell = requests.url_encoded if parsed.query.get("encoding-type") == "url" else str
        if parsed.query.get("encoding-type") not in (None, "url"):
            raise S3Error("InvalidArgument", "encoding-type is url")
        return {
            "Name": parsed.bucket, "Prefix": spell(fold.prefix), "Delimiter": spell(fold.delimiter) if fold.delimiter else None,
            "MaxKeys": fold.max_items, "EncodingType": parsed.query.get("encoding-type"), "IsTruncated": fold.truncated,
            "Contents": [
                {
                    "Key": spell(entry.key), "LastModified": _iso(entry.modified), "ETag": entry.etag, "Size": entry.size,
                    "StorageClass": "STANDARD",
                }
                for entry in fold.objects
            ],
            "CommonPrefixes": [{"Prefix": spell(each)} for each in fold.common_prefixes],
        }  # fmt: skip

    async def _ListObjectsV2(self, parsed: ParsedRequest) -> None:
        given, first = parsed.query.get("continuation-token"), parsed.query.get("start-after", "")
        after = listing.decode_token(given) if given else first
        if given:
            after = listing.resume_after(
                after, parsed.query.get("delimiter", ""), parsed.query.get("prefix", "")
            )
        fold = await self._folded(parsed, after)
        told = self._told(parsed, fold)
        told |= {
            "KeyCount": fold.count, "ContinuationToken": given, "StartAfter": first or None,
            "NextContinuationToken": listing.encode_token(fold.last_name or after) if fold.truncated else None,
        }  # fmt: skip
        await self._say(200, xml.document("ListBucketResult", told))

    async def _ListObjects(self, parsed: ParsedRequest) -> None:
        marker, delimiter = parsed.query.get("marker", ""), parsed.query.get("delimiter", "")
        fold = await self._folded(
            parsed, listing.resume_after(marker, delimiter, parsed.query.get("prefix", ""))
        )
        told = self._told(parsed, fold) | {
            "Marker": marker,
            "NextMarker": fold.last_name if fold.truncated else None,
        }
        await self._say(200, xml.document("ListBucketResult", told))

    # Uploads in parts

    async def _CreateMultipartUpload(self, parsed: ParsedRequest) -> None:
        self.s3._volumes.add(parsed.bucket)
        final = await self._do(
            "start-upload", parsed.bucket, parsed.key, forwarded_headers=requests.stored_headers(self.head)
        )
        self._answered(final, "NoSuchBucket")
        assert final.response is not None
        upload = msgspec.json.decode(final.response.body)["uploadId"]
        told: dict[str, xml.Value] = {"Bucket": parsed.bucket, "Key": parsed.key, "UploadId": upload}
        await self._say(200, xml.document("InitiateMultipartUploadResult", told))

    def _upload(self, parsed: ParsedRequest) -> str:
        if not routes.is_upload(parsed.upload_id):
            raise S3Error("NoSuchUpload", "no such upload was started here")
        return parsed.upload_id

    async def _UploadPart(self, parsed: ParsedRequest) -> None:
        number, upload = parsed.integer("partNumber", requests.MAX_PART_NUMBER, 0, 1), self._upload(parsed)
        source, body = self._source()
        async with self._queue_slot(self.s3.parts, upload, "put-part"):
            final = await self._with_body("put-part", parsed, source, upload=upload, part=number)
        await self._put_answer(final, body, "NoSuchUpload")

    async def _UploadPartCopy(self, parsed: ParsedRequest) -> None:
        number, upload = parsed.integer("partNumber", requests.MAX_PART_NUMBER, 0, 1), self._upload(parsed)

        async def put(source: BodySource, _: ResponseHead) -> FinalResponse:
            return await self._do("put-part", parsed.bucket, parsed.key, source, upload=upload, part=number)

        head = self._answered(await self._copied(put), "NoSuchUpload")
        told: dict[str, xml.Value] = {"ETag": self._etag(head), "LastModified": _stamp(self.s3.wall())}
        await self._say(200, xml.document("CopyPartResult", told))

    async def _parts(self, parsed: ParsedRequest, upload: str) -> list[multipart.StoredPart]:
        sink = Collect()
        final = await self._do("list-parts", parsed.bucket, parsed.key, sink=sink, upload=upload)
        return msgspec.json.decode(
            await self._whole(final, sink, "NoSuchUpload"), type=multipart.StoredParts
        ).parts

    async def _ListParts(self, parsed: ParsedRequest) -> None:
        upload = self._upload(parsed)
        most, after = (
            parsed.integer("max-parts", 1000, 1000),
            parsed.integer("part-number-marker", requests.MAX_PART_NUMBER, 0),
        )
        parts = [part for part in await self._parts(parsed, upload) if part.partNumber > after]
        shown = parts[:most]
        told: dict[str, xml.Value] = {
            "Bucket": parsed.bucket, "Key": parsed.key, "UploadId": upload, "PartNumberMarker": after, "MaxParts": most,
            "NextPartNumberMarker": shown[-1].partNumber if shown else after, "IsTruncated": len(parts) > len(shown),
            "Part": [{"PartNumber": part.partNumber, "ETag": part.etag, "Size": part.size} for part in shown],
        }  # fmt: skip
        await self._say(200, xml.document("ListPartsResult", told))

    async def _ListMultipartUploads(self, parsed: ParsedRequest) -> None:
        prefix, marker = parsed.query.get("prefix", ""), parsed.query.get("key-marker", "")
        upload_marker = parsed.query.get("upload-id-marker", "")
        most = parsed.integer("max-uploads", 1000, 1000)
        found = [
            upload for upload in await self.uploads(parsed.bucket)
            if upload.key.startswith(prefix)
            and ((upload.key, upload.uploadId) > (marker, upload_marker) if upload_marker else upload.key > marker)
        ]  # fmt: skip
        found.sort(key=lambda upload: (upload.key, upload.uploadId))
        shown = found[:most]
        told: dict[str, xml.Value] = {
            "Bucket": parsed.bucket, "KeyMarker": marker, "UploadIdMarker": upload_marker, "MaxUploads": most,
            "IsTruncated": len(found) > len(shown), "Prefix": prefix,
            "NextKeyMarker": shown[-1].key if len(found) > len(shown) else None,
            "NextUploadIdMarker": shown[-1].uploadId if len(found) > len(shown) else None,
            "Upload": [
                {"Key": each.key, "UploadId": each.uploadId, "Initiated": _stamp(each.since_ms / 1000)} for each in shown
            ],
        }  # fmt: skip
        await self._say(200, xml.document("ListMultipartUploadsResult", told))

    async def uploads(self, volume: str) -> list[multipart.Upload]:
        """The uploads of a volume that are under way, over all its shards."""
        final = await self._do("list-uploads", volume)
        if final.shard_bodies is None:
            self._answered(final, "NoSuchBucket")
            raise S3Error("InternalError", "the stores told nothing of uploads")
        return [
            upload for part in final.shard_bodies for upload in msgspec.json.decode(part, type=multipart.Uploads).uploads
        ]  # fmt: skip

    async def _AbortMultipartUpload(self, parsed: ParsedRequest) -> None:
        self._answered(
            await self._do("abort-upload", parsed.bucket, parsed.key, upload=self._upload(parsed)),
            "NoSuchUpload",
        )
        await self._say(204)

    async def _CompleteMultipartUpload(self, parsed: ParsedRequest) -> None:
        upload = self._upload(parsed)
        wanted = xml.parse_completion(await self._document())
        try:
            parts = await self._parts(parsed, upload)
        except S3Error as error:
            if error.code != "NoSuchUpload":
                raise
            parts = None  # it may be complete already: the store knows, and gives the first one's answer
        if parts is not None:
            multipart.validate_completion(wanted, parts, self.s3.settings.part_least)
        body = msgspec.json.encode(
            {"parts": [{"partNumber": part.number, "etag": part.etag} for part in wanted]}
        )
        forwarded_headers = requests.conditional_headers(self.head)
        final = await self._do(
            "complete-upload",
            parsed.bucket,
            parsed.key,
            _bytes(body),
            upload=upload,
            forwarded_headers=forwarded_headers,
        )
        if final.response is not None and final.response.head.status == 400:
            raise S3Error("InvalidPart", "a part is not the one that was put: it was put anew meanwhile")
        head = self._answered(final, "NoSuchUpload")
        told: dict[str, xml.Value] = {
            "Location": f"/{parsed.bucket}/{requests.url_encoded(parsed.key)}", "Bucket": parsed.bucket, "Key": parsed.key,
            "ETag": self._etag(head),
        }  # fmt: skip
        await self._say(200, xml.document("CompleteMultipartUploadResult", told))


_WORDS = {
    "NoSuchKey": "The specified key does not exist.", "NoSuchUpload": "no such upload is under way",
    "PreconditionFailed": "a condition of the request does not hold", "InvalidRange": "the range is outside of the object",
}  # fmt: skip


class _Wrong(ProtocolError):
    """A body that does not fit: what is under way at a store is broken off."""

    def __init__(self, error: S3Error) -> None:
        super().__init__(error.status, "body-cut", error.text)
        self.error = error


async def _unwrapped(read: Callable[[], Awaitable[Bytes]]) -> Bytes:
    try:
        return await read()
    except _Wrong as wrong:
        raise wrong.error from None


async def _nothing() -> bytes:
    return b""


def _bytes(data: bytes) -> BodySource:
    left = [data] if data else []

    async def read() -> bytes:
        return left.pop() if left else b""

    return BodySource(read, len(data))


def _kept_of(head: ResponseHead) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (name, value)
        for name, value in head.headers
        if name in requests.STORED_HEADERS or name.startswith(b"x-amz-meta-")
    )


def _iso(text: str) -> str:
    with contextlib.suppress(ValueError, TypeError):
        return parsedate_to_datetime(text).strftime("%Y-%m-%dT%H:%M:%S.000Z")
    return "1970-01-01T00:00:00.000Z"


def _stamp(unix_s: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S.000Z", time.gmtime(unix_s))
