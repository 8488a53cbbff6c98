"""Handles S3 requests: authorization, translation into operations of the object API, and the S3 response.

Each access to a store is an operation of the object API with the remaining time as its deadline; the
scheduler decides where and when it is executed. :mod:`winchdyke.s3.errors` maps refusals to S3 errors.
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
from winchdyke.peer_limits.memory_account import MemoryAccount
from winchdyke.s3 import checksums, listing, multipart, requests, xml
from winchdyke.s3.body import AWS_CHUNKED_PAYLOADS, BodyVerifier
from winchdyke.s3.body_reader import MAX_BUFFERED_CHUNKS_BYTES, BodyVerificationError, VerifiedBodyReader
from winchdyke.s3.declared_body import declared_body
from winchdyke.s3.errors import S3Error, from_final_response
from winchdyke.s3.lanes import KeyQueues
from winchdyke.s3.requests import ParsedRequest
from winchdyke.s3.sinks import BufferSink, CopyPipe, RelaySink

MAX_CONCURRENT_DELETES = 8  # deletions at once for one DeleteObjects request
MAX_LISTING_ROUNDS = 64  # pages requested from the stores for one page of an S3 listing
MAX_SWEEP_INTERVAL_S = 600.0  # time between searches for expired uploads
ALL_RIGHTS = [Right("*", "", ["list", "read", "write", "delete"])]


class S3Service:
    """The S3 service of one gateway.

    Attributes:
        access_keys: The access keys; None: no key file is configured.
        part_queues: Limits the concurrent parts of each upload, by upload id.
        range_queues: Limits the concurrent range reads of each object, by bucket and key.
        chunk_memory: The memory of all large signed chunks that are being received.
    """

    def __init__(
        self, service: Service, settings: Settings, wall_clock: Callable[[], float] = time.time
    ) -> None:
        self.service, self.settings, self.wall_clock = service, settings, wall_clock
        self.access_keys = (
            AccessKeyRing(Path(settings.keys), Path(settings.master)) if settings.keys else None
        )
        self._request_id_prefix, self._request_count = uuid.uuid4().hex[:20], 0
        self.part_queues, self.range_queues = (
            KeyQueues(settings.parts_at_once),
            KeyQueues(settings.ranges_at_once),
        )
        self.chunk_memory = MemoryAccount(MAX_BUFFERED_CHUNKS_BYTES)
        self._upload_volumes: set[str] = set()  # volumes with multipart uploads since this gateway started
        self._log = structlog.get_logger("s3")

    async def handle(self, connection: ClientConnection, head: RequestHead) -> None:
        """Handles one request, and sends one response to it, even after an unexpected exception."""
        service = self.service
        self._request_count += 1
        handler = RequestHandler(
            self, connection, head, f"{self._request_id_prefix}{self._request_count:012x}"
        )
        response_headers: Headers = [(b"x-amz-request-id", handler.request_id.encode())]
        if handler.snapshot.version:
            response_headers.append(
                (store_protocol.CONFIG_VERSION_HEADER, str(handler.snapshot.version).encode())
            )
        connection.begin_request(response_headers, close=service.stopping)
        connection.declared_body_bytes = head.length
        service.active_requests += 1
        try:
            await handler.run()
        except S3Error as error:
            await self._respond_error(handler, error)
        except RequestError as error:
            code = {"no-volume": "NoSuchBucket", "too-large": "EntityTooLarge"}.get(
                error.reason, "InvalidArgument"
            )
            await self._respond_error(handler, S3Error(code, str(error)))
        except ProtocolError as error:
            code = {413: "EntityTooLarge", 408: "RequestTimeout"}.get(error.status, "IncompleteBody")
            await self._respond_error(handler, S3Error(code, str(error), 400))
        except ClientDisconnectedError:
            connection.close_after_response = True
        except Exception as error:
            self._log.error("internal", request=handler.request_id, exc_info=error)
            await self._respond_error(
                handler, S3Error("InternalError", "internal error; see the gateway's log")
            )
        finally:
            service.active_requests -= 1
            connection.on_disconnect = None
            handler.release()
            handler.report_end()

    async def run(self) -> None:
        """Aborts expired uploads periodically until cancelled."""
        while True:
            await anyio.sleep(min(MAX_SWEEP_INTERVAL_S, self.settings.upload_keep / 1000 / 4))
            for volume in sorted(
                self._upload_volumes | {rule.pattern for rule in self.service.config.volumes}
            ):
                if not set("*?[") & set(volume):
                    await self.abort_expired_uploads(volume)

    async def abort_expired_uploads(self, volume: str) -> int:
        """Aborts the uploads of a volume that have been idle for longer than ``upload_keep``.

        Every operation goes through the scheduler. Returns the number of aborted uploads.
        """
        self._request_count += 1
        request_id = f"{self._request_id_prefix}{self._request_count:012x}"
        head = RequestHead("GET", f"/{volume}?uploads".encode(), [], 0)
        handler = RequestHandler(self, InternalCaller(), head, request_id)  # type: ignore[arg-type]
        aborted = 0
        try:
            for upload in multipart.expired(
                await handler.uploads(volume), self.wall_clock() * 1000, self.settings.upload_keep
            ):
                final = await handler._execute("abort-upload", volume, upload.key, upload=upload.uploadId)
                aborted += final.response is not None and final.response.head.status == 204
                self._log.info("upload_expired", volume=volume, key=upload.key, upload=upload.uploadId)
        except (S3Error, RequestError, ClientDisconnectedError) as error:
            self._log.warning(
                "upload_expiry_failed", volume=volume, error=str(error)
            )  # retried at the next sweep
        return aborted

    async def _respond_error(self, handler: RequestHandler, error: S3Error) -> None:
        connection = handler.connection
        handler.outcome = (
            "refused" if error.code == "SlowDown" else "failed" if error.status >= 500 else "served"
        )
        handler.code = error.code
        if connection.disconnected or not connection.codec.can_respond:
            connection.close_after_response = True
            return
        body = xml.error_document(
            error.code,
            error.text,
            handler.head.target.partition(b"?")[0].decode("latin-1"),
            handler.request_id,
        )
        headers: Headers = [
            (b"content-type", b"application/xml"),
            (b"content-length", str(len(body)).encode()),
        ]
        if error.retry_after_ms is not None:
            headers.append((b"retry-after", str(max(1, round(error.retry_after_ms / 1000 + 0.49))).encode()))
        if error.status == 304:
            headers, body = [], b""
        await connection.respond(error.status, headers, b"" if handler.head.method == "HEAD" else body)


class RequestHandler:
    """Handles one S3 request.

    A method ``_NAME`` handles the operation NAME of S3.

    Attributes:
        rights: The rights of the request's access key.
        verified: The result of verifying the signature.
        record: Attempts and nodes of all operations, for the access log.
        outcome: The outcome for metrics: "served", "refused" or "failed".
        code: The S3 error code; empty: none.
        who: The owner of the access key, for the access log.
        deadline: The deadline of all operations, on the service's clock; set by the first one.
        body_reader: Reads the request's body; None if it has none or is not read.
    """

    def __init__(
        self, s3: S3Service, connection: ClientConnection, head: RequestHead, request_id: str
    ) -> None:
        self.s3, self.connection, self.head, self.request_id = s3, connection, head, request_id
        self.service = s3.service
        self.snapshot: ConfigSnapshot = s3.service.snapshot
        self.started_at, self._operation_count = self.service.clock(), 0
        self.parsed: ParsedRequest | None = None
        self.rights: list[Right] = []
        self.verified = sigv4.VerifiedRequest("", sigv4.UNSIGNED_PAYLOAD)
        self.record = AccessLogRecord(config_version=self.snapshot.version)
        self.outcome, self.code, self.who = "served", "", ""
        self.deadline = float("inf")
        self.body_reader: VerifiedBodyReader | None = None

    async def run(self) -> None:
        """Authorizes the request, and responds to it."""
        parsed = self.parsed = requests.parse(self.head, self.s3.settings.domain)
        self._authorize(parsed)
        if parsed.bucket and self.snapshot.volume(parsed.bucket) is None:
            raise S3Error("NoSuchBucket", f"no volume {parsed.bucket!r} is configured")
        handle: Callable[[ParsedRequest], Awaitable[None]] = getattr(self, "_" + parsed.operation.name)
        await handle(parsed)

    def release(self) -> None:
        """Releases the memory of the request's body."""
        if self.body_reader is not None:
            self.body_reader.release()

    def report_end(self) -> None:
        """Reports the finished request to the service's callback and the access log."""
        parsed = self.parsed
        if parsed is not None and parsed.bucket and self.service.on_request_end is not None:
            shard = self.record.request.shard if self.record.request is not None else -1
            self.service.on_request_end(
                parsed.bucket, shard, self.outcome, self.service.clock() - self.started_at
            )
        structlog.get_logger("access").info(
            "s3", request=self.request_id, who=self.who, operation=parsed.operation.name if parsed else None,
            bucket=parsed.bucket if parsed else None, status=self.connection.response_status, code=self.code,
            attempts=self.record.attempt_count, nodes=self.record.endpoints, total_ms=round(self.service.clock() - self.started_at, 2),
        )  # fmt: skip

    # Authentication and authorization

    def _authorize(self, parsed: ParsedRequest) -> None:
        head, now = self.head, self.s3.wall_clock()
        request = sigv4.SignableRequest(head.method, parsed.path, parsed.raw_query, tuple(head.headers))
        if "AWSAccessKeyId" in parsed.query or (head.get(b"authorization") or "").startswith("AWS "):
            raise S3Error(
                "InvalidRequest",
                "signature version 2 is not supported; configure the client for version 4 (s3v4)",
            )
        if not sigv4.is_signed(request):
            policy = self.s3.settings.unsigned
            if policy == "all" or (policy == "read" and parsed.operation.required_right in ("read", "list")):
                self.rights, self.who = ALL_RIGHTS, "anyone"
                if head.get(b"x-amz-content-sha256") in AWS_CHUNKED_PAYLOADS:
                    self.verified.payload_hash = sigv4.STREAMING_UNSIGNED_PAYLOAD_TRAILER
                return
            raise S3Error("AccessDenied", "the request is not signed")
        access_keys = self.s3.access_keys
        identity: list[tuple[list[Right], str]] = []

        def find_secret(access_key_id: str) -> str | None:
            if access_keys is None:
                return None
            try:
                key = access_keys.find(access_key_id, now * 1000)
            except AccessKeyFileError as error:
                self.s3._log.error("keys", error=str(error))
                raise S3Error(
                    "ServiceUnavailable", "the access keys cannot be read; see the gateway's log"
                ) from error
            if key is None:
                return None
            identity[:] = [(key[0].rights, key[0].who)]
            return key[1]

        try:
            self.verified = sigv4.verify(request, find_secret, now)
        except sigv4.AuthError as error:
            raise S3Error(error.code, error.text, error.status) from error
        self.rights, self.who = identity[0]
        right = parsed.operation.required_right
        if right != "own" and parsed.operation.level != "service":
            key_or_prefix = (
                parsed.key if parsed.operation.level == "object" else parsed.query.get("prefix", "")
            )
            if parsed.operation.name == "DeleteObjects":
                return  # the rights are checked for each key
            needs_any_right = parsed.operation.level == "bucket" and parsed.operation.name.startswith(
                ("Head", "Create", "GetBucket")
            )
            allowed = (
                has_rights_in(self.rights, parsed.bucket)
                if needs_any_right
                else is_allowed(self.rights, right, parsed.bucket, key_or_prefix)
            )
            if not allowed:
                raise S3Error("AccessDenied", f"this access key has no right to {right} here")

    # Operations on stores

    async def _execute(
        self,
        operation_name: str,
        volume: str,
        key: str = "",
        source: BodySource | None = None,
        sink: object = None,
        **options: object,
    ) -> FinalResponse:
        """Executes one operation of the object API within the remaining time.

        Raises:
            ClientDisconnectedError: The client disconnected.
        """
        self._operation_count += 1
        operation_id = (
            self.request_id if self._operation_count == 1 else f"{self.request_id}.{self._operation_count}"
        )
        now = self.service.clock()
        time_left_ms = None if self.deadline == float("inf") else max(1.0, self.deadline - now)
        client_request = routes.client_request(self.head)
        operation = routes.Operation(
            operation_name, volume, key, time_left_ms=time_left_ms, client_request=client_request, **options  # type: ignore[arg-type]
        )  # fmt: skip
        length = source.length if source is not None else 0
        head = RequestHead(operation.store_method, operation.target(), self.head.headers, length)
        record = AccessLogRecord(config_version=self.snapshot.version)
        try:
            request_class, final = await self.service.execute(
                self.connection, head, operation, operation_id, record, self.snapshot, source or BodySource(_read_nothing, 0),
                sink if sink is not None else BufferSink(),  # type: ignore[arg-type]
            )  # fmt: skip
        finally:
            self.record.attempt_count += record.attempt_count
            self.record.endpoints += record.endpoints
            self.record.request = self.record.request or record.request
        if self._operation_count == 1:
            self.deadline = self.started_at + request_class.rules.deadline_ms
        if final.outcome == "gone":
            raise ClientDisconnectedError
        return final

    @asynccontextmanager
    async def _queue_slot(
        self, queues: KeyQueues, queue_key: str, operation_name: str
    ) -> AsyncIterator[None]:
        """Holds a slot of a queue; waits for it at most until the deadline of the operation's request class.

        Raises:
            S3Error: No slot became free before the deadline (SlowDown).
        """
        ready = anyio.Event()
        request_class = self.snapshot.config.kind_for(operation_name, None)
        if request_class is not None:
            self.deadline = min(self.deadline, self.started_at + request_class.rules.deadline_ms)
        if not queues.acquire(queue_key, ready.set):
            remaining_s = max(0.0, self.deadline - self.service.clock()) / 1000
            with anyio.move_on_after(remaining_s) as timeout:
                await ready.wait()
            if timeout.cancelled_caught and queues.cancel_wait(queue_key, ready.set):
                raise S3Error("SlowDown", "too many parts or ranges of this object at once", 503, 1000.0)
        try:
            yield
        finally:
            queues.release(queue_key)

    def _successful_head(self, final: FinalResponse, not_found_code: str = "NoSuchKey") -> ResponseHead:
        """The head of a complete, successful response of a store.

        Raises:
            S3Error: The store responded with an error, or no store responded.
            ClientDisconnectedError: The response has already been streamed to the client.
        """
        if final.streamed:
            self.outcome = final.outcome
            if final.outcome != "served":
                self.connection.close_after_response = True
            raise ClientDisconnectedError  # the response has already been sent
        if final.response is None:
            self.outcome = final.outcome
            raise from_final_response(
                final.status, final.outcome, final.reason, final.text, final.retry_after_ms
            )
        head = final.response.head
        if head.status < 300:
            return head
        code = {404: not_found_code, 412: "PreconditionFailed", 416: "InvalidRange", 304: "NotModified"}.get(
            head.status
        )
        if code is None:
            raise S3Error("InvalidRequest", f"the store responded with status {head.status}", 400)
        raise S3Error(code, _MESSAGES.get(code, code), head.status)

    async def _complete_body(self, final: FinalResponse, sink: BufferSink, not_found_code: str) -> bytes:
        """The complete body of a response, whether it was streamed into the sink or not."""
        if final.streamed and final.outcome == "served" and sink.head is not None:
            return bytes(sink.buffer)
        if final.streamed:
            raise S3Error("InternalError", "a store's response was cut off or is too large")
        self._successful_head(final, not_found_code)
        assert final.response is not None
        return final.response.body

    async def _respond(self, status: int, body: bytes = b"", headers: Headers = []) -> None:  # noqa: B006
        all_headers: Headers = [*headers]
        if status != 204:
            all_headers.append((b"content-length", str(len(body)).encode()))
        if body:
            all_headers.append((b"content-type", b"application/xml"))
        await self.connection.respond(status, all_headers, b"" if self.head.method == "HEAD" else body)

    def _etag(self, head: ResponseHead) -> str:
        return head.get(b"etag") or ""

    # Bodies

    def _verified_body(self) -> tuple[BodySource, BodyVerifier]:
        """The source of the client's body, which decodes and verifies it, and its verifier."""
        expected = declared_body(self.head, self.verified)
        verifier = BodyVerifier(expected)
        self.body_reader = VerifiedBodyReader(
            self.connection.read_body,
            verifier,
            self.service.config.limits.object_bytes,
            self.s3.chunk_memory,
        )
        return BodySource(self.body_reader.read, expected.length), verifier

    async def _read_document(self) -> bytes:
        """Reads and verifies the XML document in the request's body."""
        source, _ = self._verified_body()
        document = bytearray()
        if (source.length or 0) > xml.MAX_DOCUMENT_BYTES:
            raise S3Error(
                "EntityTooLarge", f"an XML document may have at most {xml.MAX_DOCUMENT_BYTES} bytes"
            )
        # Guards against a client that sends a document one byte at a time: the deadline of the request class
        # does not apply yet.
        with anyio.move_on_after(self.service.config.limits.stream_idle / 1000) as timeout:
            while data := await _read_unwrapped(source.read):
                document += data
                if len(document) > xml.MAX_DOCUMENT_BYTES:
                    raise S3Error(
                        "EntityTooLarge", f"an XML document may have at most {xml.MAX_DOCUMENT_BYTES} bytes"
                    )
        if timeout.cancelled_caught:
            self.connection.close_after_response = True
            raise S3Error("RequestTimeout", "the document was not received in time")
        return bytes(document)

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
        await self._respond(
            200, xml.document("ListAllMyBucketsResult", {"Owner": owner, "Buckets": {"Bucket": buckets}})
        )

    async def _HeadBucket(self, _: ParsedRequest) -> None:
        await self._respond(200, b"", [(b"x-amz-bucket-region", b"us-east-1")])

    async def _CreateBucket(self, parsed: ParsedRequest) -> None:
        await self._read_document()
        await self._respond(200, b"", [(b"location", f"/{parsed.bucket}".encode())])

    async def _DeleteBucket(self, _: ParsedRequest) -> None:
        raise S3Error("AccessDenied", "buckets are created and deleted only in the gateway's settings")

    async def _GetBucketLocation(self, _: ParsedRequest) -> None:
        await self._respond(200, xml.document("LocationConstraint", {}))

    async def _GetBucketVersioning(self, _: ParsedRequest) -> None:
        await self._respond(200, xml.document("VersioningConfiguration", {}))

    # Objects

    async def _GetObject(self, parsed: ParsedRequest) -> None:
        overrides: Headers = []
        for name, header in requests.RESPONSE_HEADER_PARAMETERS.items():
            if name in parsed.query:
                if not self.verified.access_key_id and self.s3.settings.unsigned != "all":
                    raise S3Error(
                        "InvalidRequest", "parameters that override response headers require a signed request"
                    )
                value = parsed.query[name]
                if not value.isprintable() or not value.isascii():
                    raise S3Error("InvalidArgument", f"{name} is not a valid header value")
                overrides.append((header, value.encode()))
        sink = RelaySink(self.connection, overrides)
        name = "head" if self.head.method == "HEAD" else "get"
        byte_range = ranges.parse(self.head.get(b"range")) if name == "get" else None
        forwarded_headers = requests.conditional_headers(self.head)
        part_number = parsed.integer("partNumber", requests.MAX_PART_NUMBER, 0, 1)
        if part_number and byte_range is not None:
            raise S3Error("InvalidRequest", "Range and partNumber cannot be combined")
        if byte_range is None:
            final = await self._execute(
                name,
                parsed.bucket,
                parsed.key,
                sink=sink,
                forwarded_headers=forwarded_headers,
                part=part_number,
            )
        else:
            async with self._queue_slot(self.s3.range_queues, f"{parsed.bucket}/{parsed.key}", name):
                final = await self._execute(
                    name,
                    parsed.bucket,
                    parsed.key,
                    sink=sink,
                    forwarded_headers=forwarded_headers,
                    range=byte_range,
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
        self._successful_head(final)
        assert final.response is not None
        response_head = sink.apply_overrides(final.response.head)
        await self.connection.respond(
            response_head.status, store_protocol.client_headers(response_head.headers), final.response.body
        )

    _HeadObject = _GetObject

    async def _PutObject(self, parsed: ParsedRequest) -> None:
        if self.head.length is None and self.head.get(b"x-amz-decoded-content-length") is None:
            raise S3Error("MissingContentLength", "Content-Length is missing", 411)
        source, body = self._verified_body()
        forwarded_headers = requests.stored_headers(self.head) + requests.conditional_headers(self.head)
        final = await self._execute_with_body("put", parsed, source, forwarded_headers=forwarded_headers)
        await self._respond_to_put(final, body, "NoSuchBucket")

    async def _execute_with_body(
        self, operation_name: str, parsed: ParsedRequest, source: BodySource, **options: object
    ) -> FinalResponse:
        errors: list[S3Error] = []
        read = source.read

        async def read_recording_errors() -> Bytes:
            try:
                return await read()
            except BodyVerificationError as error:
                errors.append(error.error)
                raise

        final = await self._execute(
            operation_name,
            parsed.bucket,
            parsed.key,
            BodySource(read_recording_errors, source.length),
            **options,
        )
        if errors:
            raise errors[0]
        return final

    async def _respond_to_put(self, final: FinalResponse, body: BodyVerifier, not_found_code: str) -> None:
        head = self._successful_head(final, not_found_code)
        headers: Headers = [(b"etag", self._etag(head).encode())]
        for name, value in body.running_checksums.items():
            headers.append(
                ((checksums.PREFIX + name).encode(), checksums.encode_base64(value.digest()).encode())
            )
        await self._respond(200, b"", headers)

    async def _DeleteObject(self, parsed: ParsedRequest) -> None:
        final = await self._execute(
            "delete", parsed.bucket, parsed.key, forwarded_headers=requests.conditional_headers(self.head)
        )
        if final.response is None or final.response.head.status != 404:  # deleting a missing object succeeds
            self._successful_head(final)
        await self._respond(204)

    async def _DeleteObjects(self, parsed: ParsedRequest) -> None:
        keys, quiet = xml.parse_deletion(await self._read_document())
        results: dict[str, S3Error | None] = {}
        limiter = anyio.CapacityLimiter(MAX_CONCURRENT_DELETES)

        async def delete(key: str) -> None:
            async with limiter:
                try:
                    if not is_allowed(self.rights, "delete", parsed.bucket, key):
                        raise S3Error("AccessDenied", "this access key has no right to delete here")
                    volume, parsed_key = routes.volume_and_key(
                        f"/{parsed.bucket}/{requests.url_encoded(key)}"
                    )
                    final = await self._execute("delete", volume, parsed_key)
                    if final.response is None or final.response.head.status != 404:
                        self._successful_head(final)
                    results[key] = None
                except S3Error as error:
                    results[key] = error
                except RequestError as error:
                    results[key] = S3Error("InvalidArgument", str(error))

        async with anyio.create_task_group() as group:
            for key in dict.fromkeys(keys):
                group.start_soon(delete, key)
        values: dict[str, xml.Value] = {
            "Deleted": [{"Key": key} for key in keys if results[key] is None and not quiet],
            "Error": [
                {"Key": key, "Code": error.code, "Message": error.text}
                for key in keys for error in [results[key]] if error is not None
            ],
        }  # fmt: skip
        await self._respond(200, xml.document("DeleteResult", values))

    async def _copy(
        self, put: Callable[[BodySource, ResponseHead], Awaitable[FinalResponse]]
    ) -> FinalResponse:
        """Streams the source of the copy from its store into the body of ``put``."""
        bucket, key, byte_range = requests.copy_source(self.head)
        if self.snapshot.volume(bucket) is None:
            raise S3Error("NoSuchBucket", f"no volume {bucket!r} is configured")
        if not is_allowed(self.rights, "read", bucket, key):
            raise S3Error("AccessDenied", "this access key has no right to read the source")
        header_names = {
            b"x-amz-copy-source-if-match": b"if-match", b"x-amz-copy-source-if-none-match": b"if-none-match",
            b"x-amz-copy-source-if-modified-since": b"if-modified-since",
            b"x-amz-copy-source-if-unmodified-since": b"if-unmodified-since",
        }  # fmt: skip
        forwarded_headers = tuple(
            (header_names[name], value) for name, value in self.head.headers if name in header_names
        )
        pipe, finals = CopyPipe(), list[FinalResponse]()

        async def get() -> None:
            try:
                finals.append(
                    await self._execute(
                        "get", bucket, key, sink=pipe, forwarded_headers=forwarded_headers, range=byte_range
                    )
                )
            finally:
                pipe.close()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(get)
                await pipe.started.wait()
                if pipe.head.status == 0:  # a small source that was not streamed, or an error
                    head = (
                        self._successful_head(finals[0])
                        if finals[0].response is None or finals[0].response.head.status != 304
                        else None
                    )
                    if head is None:
                        raise S3Error("PreconditionFailed", "the source does not satisfy the copy conditions")
                    assert finals[0].response is not None
                    return await put(_in_memory_body(finals[0].response.body), head)
                final = await put(BodySource(pipe.read, pipe.head.length), pipe.head)
                if not pipe.complete:
                    group.cancel_scope.cancel()
                return final
        except BaseExceptionGroup as group_error:
            found = group_error.subgroup(S3Error)
            while isinstance(found, BaseExceptionGroup):
                found = found.exceptions[0]  # type: ignore[assignment]
            if isinstance(found, S3Error):
                raise found from None
            raise
        raise AssertionError("a copy ends with a response or an error")

    async def _CopyObject(self, parsed: ParsedRequest) -> None:
        directive = self.head.get(b"x-amz-metadata-directive") or "COPY"
        if directive not in ("COPY", "REPLACE"):
            raise S3Error(
                "InvalidArgument", f"x-amz-metadata-directive must be COPY or REPLACE, not {directive!r}"
            )
        if requests.copy_source(self.head)[:2] == (parsed.bucket, parsed.key) and directive == "COPY":
            raise S3Error(
                "InvalidRequest",
                "an object can be copied onto itself only with x-amz-metadata-directive: REPLACE",
            )

        async def put(source: BodySource, head: ResponseHead) -> FinalResponse:
            stored = (
                requests.stored_headers(self.head) if directive == "REPLACE" else _stored_headers_of(head)
            )
            return await self._execute("put", parsed.bucket, parsed.key, source, forwarded_headers=stored)

        head = self._successful_head(await self._copy(put), "NoSuchBucket")
        values: dict[str, xml.Value] = {
            "ETag": self._etag(head),
            "LastModified": _timestamp(self.s3.wall_clock()),
        }
        await self._respond(200, xml.document("CopyObjectResult", values))

    # Listings

    async def _fetch_page(self, volume: str, prefix: str, after: str, limit: int) -> native.Page:
        sink = BufferSink()
        final = await self._execute("list", volume, sink=sink, prefix=prefix, after=after, limit=limit)
        body = await self._complete_body(final, sink, "NoSuchBucket")
        return msgspec.json.decode(body, type=native.Page)

    async def _list_objects(self, parsed: ParsedRequest, after: str) -> listing.ObjectListing:
        query = parsed.query
        prefix, delimiter = query.get("prefix", ""), query.get("delimiter", "")
        max_keys = parsed.integer("max-keys", requests.MAX_LISTED_ITEMS, requests.MAX_LISTED_ITEMS)
        result = listing.ObjectListing(prefix, delimiter, max_keys, after)
        if max_keys == 0:
            return result
        for _ in range(MAX_LISTING_ROUNDS):
            page = await self._fetch_page(
                parsed.bucket,
                prefix,
                result.after,
                min(requests.MAX_LISTED_ITEMS, max_keys - result.count + 1),
            )
            skipped = result.add(page.objects)
            if result.truncated or (page.next is None and not skipped):
                return result
            if not skipped and page.next is not None:
                result.after = max(result.after, page.next)
        result.truncated = True  # the client continues from here
        return result

    def _listing_values(self, parsed: ParsedRequest, result: listing.ObjectListing) -> dict[str, xml.Value]:
        encode = requests.url_encoded if parsed.query.get("encoding-type") == "url" else str
        if parsed.query.get("encoding-type") not in (None, "url"):
            raise S3Error("InvalidArgument", "encoding-type must be url")
        return {
            "Name": parsed.bucket, "Prefix": encode(result.prefix),
            "Delimiter": encode(result.delimiter) if result.delimiter else None,
            "MaxKeys": result.max_items, "EncodingType": parsed.query.get("encoding-type"), "IsTruncated": result.truncated,
            "Contents": [
                {
                    "Key": encode(entry.key), "LastModified": _iso_8601(entry.modified), "ETag": entry.etag, "Size": entry.size,
                    "StorageClass": "STANDARD",
                }
                for entry in result.objects
            ],
            "CommonPrefixes": [{"Prefix": encode(prefix)} for prefix in result.common_prefixes],
        }  # fmt: skip

    async def _ListObjectsV2(self, parsed: ParsedRequest) -> None:
        token, start_after = parsed.query.get("continuation-token"), parsed.query.get("start-after", "")
        after = listing.decode_token(token) if token else start_after
        if token:
            after = listing.resume_after(
                after, parsed.query.get("delimiter", ""), parsed.query.get("prefix", "")
            )
        result = await self._list_objects(parsed, after)
        values = self._listing_values(parsed, result)
        values |= {
            "KeyCount": result.count, "ContinuationToken": token, "StartAfter": start_after or None,
            "NextContinuationToken": listing.encode_token(result.last_name or after) if result.truncated else None,
        }  # fmt: skip
        await self._respond(200, xml.document("ListBucketResult", values))

    async def _ListObjects(self, parsed: ParsedRequest) -> None:
        marker, delimiter = parsed.query.get("marker", ""), parsed.query.get("delimiter", "")
        result = await self._list_objects(
            parsed, listing.resume_after(marker, delimiter, parsed.query.get("prefix", ""))
        )
        values = self._listing_values(parsed, result) | {
            "Marker": marker,
            "NextMarker": result.last_name if result.truncated else None,
        }
        await self._respond(200, xml.document("ListBucketResult", values))

    # Multipart uploads

    async def _CreateMultipartUpload(self, parsed: ParsedRequest) -> None:
        self.s3._upload_volumes.add(parsed.bucket)
        final = await self._execute(
            "start-upload", parsed.bucket, parsed.key, forwarded_headers=requests.stored_headers(self.head)
        )
        self._successful_head(final, "NoSuchBucket")
        assert final.response is not None
        upload_id = msgspec.json.decode(final.response.body)["uploadId"]
        values: dict[str, xml.Value] = {"Bucket": parsed.bucket, "Key": parsed.key, "UploadId": upload_id}
        await self._respond(200, xml.document("InitiateMultipartUploadResult", values))

    def _valid_upload_id(self, parsed: ParsedRequest) -> str:
        if not routes.is_valid_upload_id(parsed.upload_id):
            raise S3Error("NoSuchUpload", "the upload does not exist")
        return parsed.upload_id

    async def _UploadPart(self, parsed: ParsedRequest) -> None:
        part_number, upload_id = (
            parsed.integer("partNumber", requests.MAX_PART_NUMBER, 0, 1),
            self._valid_upload_id(parsed),
        )
        source, body = self._verified_body()
        async with self._queue_slot(self.s3.part_queues, upload_id, "put-part"):
            final = await self._execute_with_body(
                "put-part", parsed, source, upload=upload_id, part=part_number
            )
        await self._respond_to_put(final, body, "NoSuchUpload")

    async def _UploadPartCopy(self, parsed: ParsedRequest) -> None:
        part_number, upload_id = (
            parsed.integer("partNumber", requests.MAX_PART_NUMBER, 0, 1),
            self._valid_upload_id(parsed),
        )

        async def put(source: BodySource, _: ResponseHead) -> FinalResponse:
            return await self._execute(
                "put-part", parsed.bucket, parsed.key, source, upload=upload_id, part=part_number
            )

        head = self._successful_head(await self._copy(put), "NoSuchUpload")
        values: dict[str, xml.Value] = {
            "ETag": self._etag(head),
            "LastModified": _timestamp(self.s3.wall_clock()),
        }
        await self._respond(200, xml.document("CopyPartResult", values))

    async def _list_stored_parts(self, parsed: ParsedRequest, upload_id: str) -> list[multipart.StoredPart]:
        sink = BufferSink()
        final = await self._execute("list-parts", parsed.bucket, parsed.key, sink=sink, upload=upload_id)
        return msgspec.json.decode(
            await self._complete_body(final, sink, "NoSuchUpload"), type=multipart.StoredParts
        ).parts

    async def _ListParts(self, parsed: ParsedRequest) -> None:
        upload_id = self._valid_upload_id(parsed)
        max_parts, after = (
            parsed.integer("max-parts", 1000, 1000),
            parsed.integer("part-number-marker", requests.MAX_PART_NUMBER, 0),
        )
        parts = [part for part in await self._list_stored_parts(parsed, upload_id) if part.partNumber > after]
        page = parts[:max_parts]
        values: dict[str, xml.Value] = {
            "Bucket": parsed.bucket, "Key": parsed.key, "UploadId": upload_id, "PartNumberMarker": after, "MaxParts": max_parts,
            "NextPartNumberMarker": page[-1].partNumber if page else after, "IsTruncated": len(parts) > len(page),
            "Part": [{"PartNumber": part.partNumber, "ETag": part.etag, "Size": part.size} for part in page],
        }  # fmt: skip
        await self._respond(200, xml.document("ListPartsResult", values))

    async def _ListMultipartUploads(self, parsed: ParsedRequest) -> None:
        prefix, marker = parsed.query.get("prefix", ""), parsed.query.get("key-marker", "")
        upload_marker = parsed.query.get("upload-id-marker", "")
        max_uploads = parsed.integer("max-uploads", 1000, 1000)
        matching = [
            upload for upload in await self.uploads(parsed.bucket)
            if upload.key.startswith(prefix)
            and ((upload.key, upload.uploadId) > (marker, upload_marker) if upload_marker else upload.key > marker)
        ]  # fmt: skip
        matching.sort(key=lambda upload: (upload.key, upload.uploadId))
        page = matching[:max_uploads]
        values: dict[str, xml.Value] = {
            "Bucket": parsed.bucket, "KeyMarker": marker, "UploadIdMarker": upload_marker, "MaxUploads": max_uploads,
            "IsTruncated": len(matching) > len(page), "Prefix": prefix,
            "NextKeyMarker": page[-1].key if len(matching) > len(page) else None,
            "NextUploadIdMarker": page[-1].uploadId if len(matching) > len(page) else None,
            "Upload": [
                {"Key": upload.key, "UploadId": upload.uploadId, "Initiated": _timestamp(upload.since_ms / 1000)} for upload in page
            ],
        }  # fmt: skip
        await self._respond(200, xml.document("ListMultipartUploadsResult", values))

    async def uploads(self, volume: str) -> list[multipart.Upload]:
        """The uploads in progress of a volume, from all its shards."""
        final = await self._execute("list-uploads", volume)
        if final.shard_bodies is None:
            self._successful_head(final, "NoSuchBucket")
            raise S3Error("InternalError", "the stores returned no list of uploads")
        return [
            upload for body in final.shard_bodies for upload in msgspec.json.decode(body, type=multipart.Uploads).uploads
        ]  # fmt: skip

    async def _AbortMultipartUpload(self, parsed: ParsedRequest) -> None:
        self._successful_head(
            await self._execute(
                "abort-upload", parsed.bucket, parsed.key, upload=self._valid_upload_id(parsed)
            ),
            "NoSuchUpload",
        )
        await self._respond(204)

    async def _CompleteMultipartUpload(self, parsed: ParsedRequest) -> None:
        upload_id = self._valid_upload_id(parsed)
        requested = xml.parse_completion(await self._read_document())
        try:
            parts = await self._list_stored_parts(parsed, upload_id)
        except S3Error as error:
            if error.code != "NoSuchUpload":
                raise
            parts = None  # the upload may be complete already; the store then repeats its first response
        if parts is not None:
            multipart.validate_completion(requested, parts, self.s3.settings.part_least)
        body = msgspec.json.encode(
            {"parts": [{"partNumber": part.number, "etag": part.etag} for part in requested]}
        )
        forwarded_headers = requests.conditional_headers(self.head)
        final = await self._execute(
            "complete-upload",
            parsed.bucket,
            parsed.key,
            _in_memory_body(body),
            upload=upload_id,
            forwarded_headers=forwarded_headers,
        )
        if final.response is not None and final.response.head.status == 400:
            raise S3Error("InvalidPart", "a part was uploaded again during the completion")
        head = self._successful_head(final, "NoSuchUpload")
        values: dict[str, xml.Value] = {
            "Location": f"/{parsed.bucket}/{requests.url_encoded(parsed.key)}", "Bucket": parsed.bucket, "Key": parsed.key,
            "ETag": self._etag(head),
        }  # fmt: skip
        await self._respond(200, xml.document("CompleteMultipartUploadResult", values))


_MESSAGES = {
    "NoSuchKey": "The specified key does not exist.", "NoSuchUpload": "the upload does not exist",
    "PreconditionFailed": "a precondition of the request is not satisfied", "InvalidRange": "the range is outside the object",
}  # fmt: skip


async def _read_unwrapped(read: Callable[[], Awaitable[Bytes]]) -> Bytes:
    try:
        return await read()
    except BodyVerificationError as error:
        raise error.error from None


async def _read_nothing() -> bytes:
    return b""


def _in_memory_body(data: bytes) -> BodySource:
    remaining = [data] if data else []

    async def read() -> bytes:
        return remaining.pop() if remaining else b""

    return BodySource(read, len(data))


def _stored_headers_of(head: ResponseHead) -> tuple[tuple[bytes, bytes], ...]:
    return tuple(
        (name, value)
        for name, value in head.headers
        if name in requests.STORED_HEADERS or name.startswith(b"x-amz-meta-")
    )


def _iso_8601(text: str) -> str:
    with contextlib.suppress(ValueError, TypeError):
        return parsedate_to_datetime(text).strftime("%Y-%m-%dT%H:%M:%S.000Z")
    return "1970-01-01T00:00:00.000Z"


def _timestamp(unix_s: float) -> str:
    return time.strftime("%Y-%m-%dT%H:%M:%S.000Z", time.gmtime(unix_s))
