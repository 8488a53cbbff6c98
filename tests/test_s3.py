"""The S3 dialect: unmodified client libraries against a running gateway, faults, fairness and limits."""

from __future__ import annotations

import base64
import contextlib
import dataclasses
import io
import os
import time
import urllib.error
import urllib.request
import zlib
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import anyio.to_thread
import boto3
import botocore.exceptions
import minio
import pytest
from boto3.s3.transfer import TransferConfig
from botocore.config import Config as BotoConfig
from click.testing import CliRunner
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st
from rig import Rig, rig, run_async, settings

from winchdyke.auth.keys import Right, add_master_key, create_key, write_keys
from winchdyke.cli.main import main
from winchdyke.config.model import S3, Listen
from winchdyke.gateway.daemon import Gateway
from winchdyke.s3.lanes import KeyQueues

MIB = 1 << 20
ALL_RIGHTS = [Right("*", "", ["list", "read", "write", "delete"])]


class AccessKeys:
    """A file of access keys that contains one key."""

    def __init__(self, folder, rights: list[Right] | None = None) -> None:
        self.master, self.path = folder / "master", folder / "keys"
        if not self.master.exists():
            add_master_key(self.master)
        self.key, self.secret = create_key("ann", rights or ALL_RIGHTS, self.master, 0.0)
        write_keys(self.path, [self.key])


def s3_settings(keys: AccessKeys, **options: Any):
    s3 = S3(Listen("127.0.0.1", 0), keys=str(keys.path), master=str(keys.master), **options)
    default = settings(limits__object_bytes="200MiB")
    # The stand-in stores may run on a busy machine: the deadlines leave time for tens of MiB.
    kinds = tuple(
        dataclasses.replace(
            kind, rules=dataclasses.replace(kind.rules, deadline_ms=20_000.0, latency_objective_ms=10_000.0)
        )
        for kind in default.kinds
    )
    return dataclasses.replace(default, s3=s3, kinds=kinds)


def s3_url(it: Rig) -> str:
    host, port = it.gateway.addresses[-1]
    return f"http://{host}:{port}"


def boto_client(it: Rig, keys: AccessKeys, **options: Any) -> Any:
    return boto3.client(
        "s3", endpoint_url=s3_url(it), aws_access_key_id=keys.key.id, aws_secret_access_key=keys.secret,
        region_name="us-east-1",
        config=BotoConfig(
            signature_version="s3v4", s3={"addressing_style": "path"}, retries={"max_attempts": 8, "mode": "standard"}, **options,
        ),
    )  # fmt: skip


async def in_thread(call: Callable[[], Any]) -> Any:
    return await anyio.to_thread.run_sync(call)


def error_code(call: Callable[[], Any]) -> tuple[str, int]:
    with pytest.raises(botocore.exceptions.ClientError) as error:
        call()
    response = error.value.response
    return response["Error"]["Code"], response["ResponseMetadata"]["HTTPStatusCode"]


def test_unmodified_boto3_works(tmp_path):
    keys = AccessKeys(tmp_path)
    data = os.urandom(300_000)

    def calls(s3: Any) -> None:
        assert s3.list_buckets()["Buckets"] == []
        s3.head_bucket(Bucket="school-1")
        s3.create_bucket(Bucket="school-1")
        assert error_code(lambda: s3.delete_bucket(Bucket="school-1")) == ("AccessDenied", 403)
        assert "LocationConstraint" in s3.get_bucket_location(Bucket="school-1")
        put = s3.put_object(
            Bucket="school-1",
            Key="a b/ü+c",
            Body=data,
            ContentType="text/x",
            Metadata={"who": "ann"},
            CacheControl="no-cache",
        )
        got = s3.get_object(Bucket="school-1", Key="a b/ü+c")
        assert got["Body"].read() == data and got["ETag"] == put["ETag"]
        assert (got["ContentType"], got["Metadata"], got["CacheControl"]) == (
            "text/x",
            {"who": "ann"},
            "no-cache",
        )
        head = s3.head_object(Bucket="school-1", Key="a b/ü+c")
        assert head["ContentLength"] == len(data) and head["LastModified"].year > 2000
        piece = s3.get_object(Bucket="school-1", Key="a b/ü+c", Range="bytes=1000-1999")
        assert piece["Body"].read() == data[1000:2000] and piece["ContentRange"] == "bytes 1000-1999/300000"
        assert s3.get_object(Bucket="school-1", Key="a b/ü+c", Range="bytes=-5")["Body"].read() == data[-5:]
        overridden = s3.get_object(Bucket="school-1", Key="a b/ü+c", ResponseContentType="x/y")
        assert overridden["ContentType"] == "x/y"
        assert error_code(lambda: s3.get_object(Bucket="school-1", Key="a b/ü+c", Range="bytes=400000-")) == (
            "InvalidRange",
            416,
        )
        assert error_code(lambda: s3.get_object(Bucket="school-1", Key="none")) == ("NoSuchKey", 404)
        assert error_code(lambda: s3.head_object(Bucket="school-1", Key="none")) == ("404", 404)
        refused = error_code(
            lambda: s3.put_object(Bucket="school-1", Key="a b/ü+c", Body=b"x", IfNoneMatch="*")
        )
        assert refused == ("PreconditionFailed", 412)
        assert (
            error_code(lambda: s3.get_object(Bucket="school-1", Key="a b/ü+c", IfNoneMatch=put["ETag"]))[1]
            == 304
        )
        assert error_code(lambda: s3.get_object(Bucket="school-1", Key="a b/ü+c", IfMatch='"x"')) == (
            "PreconditionFailed",
            412,
        )
        for size in (0, 1):
            s3.put_object(Bucket="school-1", Key="tiny", Body=b"x" * size)
            assert s3.get_object(Bucket="school-1", Key="tiny")["Body"].read() == b"x" * size
        for algorithm in ("CRC32", "SHA1", "SHA256"):
            s3.put_object(Bucket="school-1", Key=algorithm, Body=data, ChecksumAlgorithm=algorithm)
        copied = s3.copy_object(
            Bucket="contest-1", Key="copy", CopySource={"Bucket": "school-1", "Key": "a b/ü+c"}
        )
        assert copied["CopyObjectResult"]["ETag"] == put["ETag"]
        got = s3.get_object(Bucket="contest-1", Key="copy")
        assert got["Body"].read() == data and got["Metadata"] == {"who": "ann"}
        s3.copy_object(
            Bucket="contest-1",
            Key="copy",
            CopySource="contest-1/copy",
            MetadataDirective="REPLACE",
            Metadata={"b": "c"},
        )
        assert s3.head_object(Bucket="contest-1", Key="copy")["Metadata"] == {"b": "c"}
        assert error_code(lambda: s3.get_object(Bucket="-", Key="x"))[1] == 400
        assert error_code(lambda: s3.get_object_acl(Bucket="school-1", Key="tiny")) == ("NotImplemented", 501)
        s3.delete_object(Bucket="school-1", Key="tiny")
        s3.delete_object(Bucket="school-1", Key="tiny")
        deleted = s3.delete_objects(
            Bucket="school-1", Delete={"Objects": [{"Key": "CRC32"}, {"Key": "SHA1"}, {"Key": "no"}]}
        )
        assert len(deleted["Deleted"]) == 3 and "Errors" not in deleted
        keys = [each["Key"] for each in s3.list_objects_v2(Bucket="school-1")["Contents"]]
        assert keys == ["SHA256", "a b/ü+c"]

    @run_async
    async def run():
        async with rig(s3_settings(keys), unit_ms=0.2) as it:
            await in_thread(lambda: calls(boto_client(it, keys)))

    run()


def test_listings_with_pages_and_delimiters(tmp_path):
    keys = AccessKeys(tmp_path)
    names = sorted([f"d{d}/f{f}" for d in range(6) for f in range(4)] + ["a", "b", "z", "d3x", "d3/sub/x"])

    def calls(s3: Any) -> None:
        for name in names:
            s3.put_object(Bucket="school-1", Key=name, Body=name.encode())

        def list_all(size: int, **parameters: Any) -> tuple[list[str], list[str]]:
            listed, common_prefixes = [], []
            pages = s3.get_paginator("list_objects_v2").paginate(
                Bucket="school-1", PaginationConfig={"PageSize": size}, **parameters
            )
            for page in pages:
                assert page["KeyCount"] <= size
                listed += [each["Key"] for each in page.get("Contents", [])]
                common_prefixes += [each["Prefix"] for each in page.get("CommonPrefixes", [])]
            return listed, common_prefixes

        for size in (1, 2, 3, 7, 1000):
            assert list_all(size) == (names, [])
            top_level = sorted(name for name in names if "/" not in name), [f"d{d}/" for d in range(6)]
            assert list_all(size, Delimiter="/") == top_level
            assert list_all(size, Prefix="d3/", Delimiter="/") == (
                [f"d3/f{f}" for f in range(4)],
                ["d3/sub/"],
            )
            assert list_all(size, StartAfter="d4/f1")[0] == [name for name in names if name > "d4/f1"]
            listed_v1 = [
                each["Key"]
                for page in s3.get_paginator("list_objects").paginate(
                    Bucket="school-1", PaginationConfig={"PageSize": size}
                )
                for each in page.get("Contents", [])
            ]
            assert listed_v1 == names
        assert s3.list_objects_v2(Bucket="school-1", MaxKeys=0)["KeyCount"] == 0
        assert error_code(lambda: s3.list_objects_v2(Bucket="school-1", ContinuationToken="/w==")) == (
            "InvalidArgument",
            400,
        )

    @run_async
    async def run():
        async with rig(s3_settings(keys), unit_ms=0.05) as it:
            await in_thread(lambda: calls(boto_client(it, keys)))

    run()


def test_boto3_multipart_transfers_and_invalid_parts(tmp_path):
    keys = AccessKeys(tmp_path)
    data = os.urandom(11 * MIB + 123)

    def calls(s3: Any) -> None:
        config = TransferConfig(multipart_threshold=MIB, multipart_chunksize=5 * MIB, max_concurrency=3)
        s3.upload_fileobj(
            io.BytesIO(data), "school-1", "big", ExtraArgs={"Metadata": {"n": "1"}}, Config=config
        )
        assert s3.head_object(Bucket="school-1", Key="big")["Metadata"] == {"n": "1"}
        assert s3.head_object(Bucket="school-1", Key="big")["ETag"].endswith('-3"')
        pieces = []
        for number in (1, 2, 3):
            piece = s3.get_object(Bucket="school-1", Key="big", PartNumber=number)
            assert piece["PartsCount"] == 3 and piece["ResponseMetadata"]["HTTPStatusCode"] == 206
            pieces.append(piece["Body"].read())
        assert b"".join(pieces) == data and len(pieces[0]) == 5 * MIB
        assert error_code(lambda: s3.get_object(Bucket="school-1", Key="big", PartNumber=4)) == (
            "InvalidRange",
            416,
        )
        got = io.BytesIO()
        s3.download_fileobj("school-1", "big", got, Config=config)
        assert got.getvalue() == data
        s3.copy({"Bucket": "school-1", "Key": "big"}, "contest-1", "copied", Config=config)
        assert s3.get_object(Bucket="contest-1", Key="copied")["Body"].read() == data
        target = {"Bucket": "school-1", "Key": "parts"}
        upload = s3.create_multipart_upload(**target)["UploadId"]
        tags = {}
        for number in (1, 2, 4):
            tags[number] = s3.upload_part(**target, UploadId=upload, PartNumber=number, Body=data[: 5 * MIB])[
                "ETag"
            ]
        listed = s3.list_parts(**target, UploadId=upload, MaxParts=2)
        assert [part["PartNumber"] for part in listed["Parts"]] == [1, 2] and listed["IsTruncated"]
        rest = s3.list_parts(**target, UploadId=upload, PartNumberMarker=2)
        assert [part["PartNumber"] for part in rest["Parts"]] == [4]
        uploads = s3.list_multipart_uploads(Bucket="school-1")["Uploads"]
        assert [(each["Key"], each["UploadId"]) for each in uploads] == [("parts", upload)]

        def complete(*parts: tuple[int, str]) -> Any:
            listed_parts = {"Parts": [{"PartNumber": number, "ETag": tag} for number, tag in parts]}
            return s3.complete_multipart_upload(**target, UploadId=upload, MultipartUpload=listed_parts)

        assert error_code(lambda: complete((1, tags[1]), (3, tags[1]))) == ("InvalidPart", 400)
        assert error_code(lambda: complete((2, tags[2]), (1, tags[1]))) == ("InvalidPartOrder", 400)
        assert error_code(lambda: complete((1, '"00"'))) == ("InvalidPart", 400)
        tags[2] = s3.upload_part(**target, UploadId=upload, PartNumber=2, Body=b"small")["ETag"]
        assert error_code(lambda: complete((1, tags[1]), (2, tags[2]), (4, tags[4]))) == (
            "EntityTooSmall",
            400,
        )
        assert error_code(lambda: s3.get_object(**target)) == ("NoSuchKey", 404), (
            "the object exists before the upload is complete"
        )
        first = complete((1, tags[1]), (2, tags[2]))
        assert s3.get_object(**target)["Body"].read() == data[: 5 * MIB] + b"small"
        assert complete((1, tags[1]), (2, tags[2]))["ETag"] == first["ETag"], (
            "a repeated completion must get the first response"
        )
        assert error_code(lambda: s3.upload_part(**target, UploadId=upload, PartNumber=1, Body=b"x")) == (
            "NoSuchUpload",
            404,
        )
        other = s3.create_multipart_upload(**target)["UploadId"]
        s3.upload_part(**target, UploadId=other, PartNumber=1, Body=b"")
        s3.abort_multipart_upload(**target, UploadId=other)
        assert error_code(lambda: s3.abort_multipart_upload(**target, UploadId=other)) == (
            "NoSuchUpload",
            404,
        )
        assert "Uploads" not in s3.list_multipart_uploads(Bucket="school-1")
        assert error_code(lambda: s3.upload_part(**target, UploadId="no/such", PartNumber=1, Body=b"x")) == (
            "NoSuchUpload",
            404,
        )
        assert error_code(
            lambda: s3.upload_part(**target, UploadId=upload, PartNumber=10_001, Body=b"x")
        ) == (
            "InvalidArgument",
            400,
        )

    @run_async
    async def run():
        async with rig(s3_settings(keys), unit_ms=0.02) as it:
            await in_thread(lambda: calls(boto_client(it, keys)))

    run()


def test_unmodified_minio_client_works(tmp_path):
    keys = AccessKeys(tmp_path)
    data = os.urandom(6 * MIB)

    def calls(it: Rig) -> None:
        s3 = minio.Minio(
            s3_url(it).removeprefix("http://"), access_key=keys.key.id, secret_key=keys.secret, secure=False,
            region="us-east-1",
        )  # fmt: skip
        assert s3.bucket_exists(bucket_name="school-1")
        s3.put_object(
            bucket_name="school-1",
            object_name="m/a",
            data=io.BytesIO(b"hello"),
            length=5,
            metadata={"x": "y"},
        )
        s3.put_object(
            bucket_name="school-1", object_name="m/big", data=io.BytesIO(data), length=-1, part_size=5 * MIB
        )
        assert s3.get_object(bucket_name="school-1", object_name="m/big").read() == data
        got = s3.get_object(bucket_name="school-1", object_name="m/big", offset=100, length=50).read()
        assert got == data[100:150]
        assert s3.stat_object(bucket_name="school-1", object_name="m/a").size == 5
        listed = [
            each.object_name for each in s3.list_objects(bucket_name="school-1", prefix="m/", recursive=True)
        ]
        assert listed == ["m/a", "m/big"]
        url = s3.presigned_get_object(bucket_name="school-1", object_name="m/a")
        assert urllib.request.urlopen(url).read() == b"hello"
        s3.remove_object(bucket_name="school-1", object_name="m/a")
        from minio.deleteobjects import DeleteObject

        errors = s3.remove_objects(bucket_name="school-1", delete_object_list=[DeleteObject("m/big")])
        assert list(errors) == []

    @run_async
    async def run():
        async with rig(s3_settings(keys), unit_ms=0.02) as it:
            await in_thread(lambda: calls(it))

    run()


# Faults and invalid requests


def signed_request(
    it: Rig, keys: AccessKeys, method: str, path: str, body: bytes = b"", **headers: str
) -> bytes:
    """The head of a signed request, as sent, for clients that do not follow the protocol."""
    from botocore.auth import S3SigV4Auth
    from botocore.awsrequest import AWSRequest
    from botocore.credentials import Credentials

    extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    request = AWSRequest(method, s3_url(it) + path, data=body, headers=extra_headers)
    S3SigV4Auth(Credentials(keys.key.id, keys.secret), "s3", "us-east-1").add_auth(request)
    lines = [f"{method} {path} HTTP/1.1", f"host: {s3_url(it)[7:]}", f"content-length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in request.headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def send_raw(it: Rig, data: bytes, disconnect: bool = False) -> bytes:
    """Sends bytes to the S3 listener, and returns the response; nothing if the client disconnects first."""
    host, port = it.gateway.addresses[-1]
    stream = await anyio.connect_tcp(host, port)
    received = b""
    await stream.send(data)
    if disconnect:
        await anyio.sleep(0.1)
        await anyio.aclose_forcefully(stream)
        return b""
    with anyio.move_on_after(3), contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
        while b"</Error>" not in received and b"\r\n\r\n" not in received:
            received += await stream.receive()
    await anyio.aclose_forcefully(stream)
    return received


def test_bodies_that_fail_verification_store_nothing(tmp_path):
    keys = AccessKeys(tmp_path)

    @run_async
    async def run():
        async with rig(s3_settings(keys)) as it:
            data = os.urandom(200_000)
            for path in ("/school-1/x", "/school-1/y?partNumber=1&uploadId=u0-1"):
                head = signed_request(it, keys, "PUT", path, data)
                assert b"XAmzContentSHA256Mismatch" in await send_raw(it, head + data[:-1] + b"?")
            s3 = boto_client(it, keys)
            for bad_checksum in ({"ChecksumCRC32": "AAAAAA=="}, {"ContentMD5": "AAAAAAAAAAAAAAAAAAAAAA=="}):
                put = partial(s3.put_object, Bucket="school-1", Key="w", Body=data, **bad_checksum)
                assert (await in_thread(partial(error_code, put)))[0] == "BadDigest"
            for store in it.stores:
                assert not store.object_store.objects and not any(
                    parts for *_, parts in store.object_store.uploads.values()
                )

    run()


def test_signatures_and_rights_of_access_keys_are_enforced(tmp_path):
    keys = AccessKeys(tmp_path, [Right("school-*", "7b/", ["read", "list", "write"])])

    def calls(it: Rig) -> None:
        s3 = boto_client(it, keys)
        s3.put_object(Bucket="school-1", Key="7b/ann", Body=b"x")
        assert s3.list_objects_v2(Bucket="school-1", Prefix="7b/")["KeyCount"] == 1
        for call in (
            lambda: s3.put_object(Bucket="school-1", Key="7c/ann", Body=b"x"),
            lambda: s3.put_object(Bucket="contest-1", Key="7b/ann", Body=b"x"),
            lambda: s3.list_objects_v2(Bucket="school-1"),
            lambda: s3.delete_object(Bucket="school-1", Key="7b/ann"),
            lambda: s3.copy_object(Bucket="school-1", Key="7b/x", CopySource="school-1/7c/ann"),
            lambda: s3.head_bucket(Bucket="contest-1"),
        ):
            assert error_code(call)[1] == 403
        deleted = s3.delete_objects(Bucket="school-1", Delete={"Objects": [{"Key": "7b/ann"}]})
        assert deleted["Errors"][0]["Code"] == "AccessDenied"
        url = s3.generate_presigned_url(
            "get_object", Params={"Bucket": "school-1", "Key": "7b/ann"}, ExpiresIn=60
        )
        assert urllib.request.urlopen(url).read() == b"x"

        def status(url: str, method: str = "GET", data: bytes | None = None) -> int:
            try:
                return urllib.request.urlopen(urllib.request.Request(url, data, method=method)).status
            except urllib.error.HTTPError as error:
                return error.code

        assert status(url, "PUT", b"y") == 403, "signed for another method"
        assert status(url.replace("7b/ann", "7b/bob")) == 403
        assert status(url + "&response-content-type=x") == 403
        assert status(url.replace("Expires=60", "Expires=61")) == 403
        short_lived = s3.generate_presigned_url(
            "get_object", Params={"Bucket": "school-1", "Key": "7b/ann"}, ExpiresIn=1
        )
        time.sleep(2.1)
        assert status(short_lived) == 403
        put = s3.generate_presigned_url(
            "put_object", Params={"Bucket": "school-1", "Key": "7b/new"}, ExpiresIn=60
        )
        assert status(put, "PUT", b"hello") == 200
        assert status(f"{s3_url(it)}/school-1/7b/new") == 403, "not signed"
        other = boto3.client(
            "s3",
            endpoint_url=s3_url(it),
            aws_access_key_id="WDNOBODY",
            aws_secret_access_key="x",
            region_name="us-east-1",
        )
        assert error_code(lambda: other.get_object(Bucket="school-1", Key="7b/ann")) == (
            "InvalidAccessKeyId",
            403,
        )
        write_keys(keys.path, [])
        assert error_code(lambda: s3.get_object(Bucket="school-1", Key="7b/ann")) == (
            "InvalidAccessKeyId",
            403,
        ), "the key was removed from the file"

    @run_async
    async def run():
        async with rig(s3_settings(keys), unit_ms=0.2) as it:
            await in_thread(lambda: calls(it))

    run()


def test_unsigned_access_follows_the_settings(tmp_path):
    def status(url: str, method: str = "GET") -> int:
        try:
            return urllib.request.urlopen(urllib.request.Request(url, method=method)).status
        except urllib.error.HTTPError as error:
            return error.code

    @run_async
    async def run():
        for policy, reads, writes in (("none", 403, 403), ("read", 404, 403), ("all", 404, 200)):
            async with rig(s3_settings(AccessKeys(tmp_path), unsigned=policy)) as it:
                assert await in_thread(lambda: status(s3_url(it) + "/school-1/k")) == reads
                assert await in_thread(lambda: status(s3_url(it) + "/school-1/k", "PUT")) == writes

    run()


def test_disconnects_during_and_between_parts_lose_no_complete_part_and_expired_uploads_are_aborted(
    tmp_path,
):
    keys = AccessKeys(tmp_path)
    data = os.urandom(5 * MIB)
    target = {"Bucket": "school-1", "Key": "k"}

    @run_async
    async def run():
        async with rig(s3_settings(keys, upload_keep=60_000.0), unit_ms=0.02) as it:
            s3 = boto_client(it, keys)
            upload = (await in_thread(lambda: s3.create_multipart_upload(**target)))["UploadId"]
            first = await in_thread(
                lambda: s3.upload_part(**target, UploadId=upload, PartNumber=1, Body=data)
            )
            head = signed_request(it, keys, "PUT", f"/school-1/k?partNumber=2&uploadId={upload}", data)
            await send_raw(it, head + data[: 2 * MIB], disconnect=True)
            listed = await in_thread(lambda: s3.list_parts(**target, UploadId=upload))
            assert [part["PartNumber"] for part in listed["Parts"]] == [1], "an incomplete part is not stored"
            assert await it.gateway.s3.abort_expired_uploads("school-1") == 0, (
                "the upload was active just now"
            )
            second = await in_thread(
                lambda: s3.upload_part(**target, UploadId=upload, PartNumber=2, Body=b"end")
            )
            parts = [{"PartNumber": 1, "ETag": first["ETag"]}, {"PartNumber": 2, "ETag": second["ETag"]}]
            await in_thread(
                lambda: s3.complete_multipart_upload(
                    **target, UploadId=upload, MultipartUpload={"Parts": parts}
                )
            )
            assert (await in_thread(lambda: s3.get_object(**target)["Body"].read())) == data + b"end"
            left = (await in_thread(lambda: s3.create_multipart_upload(**target)))["UploadId"]
            await in_thread(lambda: s3.upload_part(**target, UploadId=left, PartNumber=1, Body=b"x"))
            wall_clock = it.gateway.s3.wall_clock
            it.gateway.s3.wall_clock = lambda: wall_clock() + 61
            assert await it.gateway.s3.abort_expired_uploads("school-1") == 1
            assert not any(store.object_store.uploads for store in it.stores)
            it.gateway.s3.wall_clock = wall_clock
            assert (await in_thread(lambda: error_code(lambda: s3.list_parts(**target, UploadId=left)))) == (
                "NoSuchUpload",
                404,
            )

    run()


@pytest.mark.parametrize("trick", ["silence", "reset-after-run", "die-mid-request", "shed"])
def test_a_part_is_retried_after_a_store_fault_and_stored_once(tmp_path, trick):
    keys = AccessKeys(tmp_path)
    target = {"Bucket": "school-1", "Key": "k"}

    @run_async
    async def run():
        config = s3_settings(keys)
        kinds = tuple(
            dataclasses.replace(
                kind, rules=dataclasses.replace(kind.rules, latency_objective_ms=300.0, deadline_ms=3000.0)
            )
            for kind in config.kinds
        )
        async with rig(dataclasses.replace(config, kinds=kinds), unit_ms=0.1) as it:
            s3 = boto_client(it, keys)
            upload = (await in_thread(lambda: s3.create_multipart_upload(**target)))["UploadId"]
            store = it.store_of("/school-1/k")
            store.tricks.append(trick)
            tag = (
                await in_thread(
                    lambda: s3.upload_part(**target, UploadId=upload, PartNumber=1, Body=b"x" * 100_000)
                )
            )["ETag"]
            assert store.object_store.uploads[upload][2] == {1: b"x" * 100_000}
            store.tricks.append(trick)
            parts = {"Parts": [{"PartNumber": 1, "ETag": tag}]}
            completed = await in_thread(
                lambda: s3.complete_multipart_upload(**target, UploadId=upload, MultipartUpload=parts)
            )
            got = await in_thread(lambda: s3.get_object(**target))
            assert got["ETag"] == completed["ETag"] and got["ContentLength"] == 100_000

    run()


def test_two_gateways_complete_one_upload_and_a_part_replaced_meanwhile_is_reported(tmp_path):
    keys = AccessKeys(tmp_path)
    target = {"Bucket": "school-1", "Key": "k"}

    @run_async
    async def run():
        async with rig(s3_settings(keys), unit_ms=1.0) as it:
            other = Gateway(dataclasses.replace(s3_settings(keys), nodes=it.gateway.config.nodes))
            ready = anyio.Event()
            it.group.start_soon(other.run, ready.set)
            await ready.wait()
            await it.wait_until(lambda: len(other.scheduler_loop.endpoints) == 8)
            one = boto_client(it, keys)
            host, port = other.addresses[-1]
            two = boto3.client(
                "s3", endpoint_url=f"http://{host}:{port}", aws_access_key_id=keys.key.id, aws_secret_access_key=keys.secret,
                region_name="us-east-1",
            )  # fmt: skip
            upload = (await in_thread(lambda: one.create_multipart_upload(**target)))["UploadId"]
            tag = (
                await in_thread(
                    lambda: two.upload_part(**target, UploadId=upload, PartNumber=1, Body=b"a" * 1000)
                )
            )["ETag"]
            listed = {"Parts": [{"PartNumber": 1, "ETag": tag}]}
            etags: list[str] = []

            async def complete(s3: Any) -> None:
                completed = await in_thread(
                    lambda: s3.complete_multipart_upload(**target, UploadId=upload, MultipartUpload=listed)
                )
                etags.append(completed["ETag"])

            async with anyio.create_task_group() as group:
                for s3 in (one, two, one, two):
                    group.start_soon(complete, s3)
            assert len(etags) == 4 and len(set(etags)) == 1
            effects = [
                s
                for s in it.record.entries
                if s["what"] == "effect" and "uploadId" in s["query"] and s["method"] == "POST"
            ]
            assert (
                effects and (await in_thread(lambda: one.get_object(**target)["Body"].read())) == b"a" * 1000
            )
            # The part is replaced between the list of the parts and the completion: the store rejects the
            # completion, and the object stays unchanged.
            upload = (await in_thread(lambda: one.create_multipart_upload(**target)))["UploadId"]
            tag = (
                await in_thread(
                    lambda: one.upload_part(**target, UploadId=upload, PartNumber=1, Body=b"b" * 1000)
                )
            )["ETag"]
            store = it.store_of("/school-1/k")
            apply = store._multipart

            def changed(request: Any, job: Any) -> None:
                if request.method == "POST" and "uploadId" in request.query:
                    store.object_store.uploads[upload][2][1] = b"other"
                apply(request, job)

            store._multipart = changed
            listed = {"Parts": [{"PartNumber": 1, "ETag": tag}]}
            call = lambda: one.complete_multipart_upload(**target, UploadId=upload, MultipartUpload=listed)  # noqa: E731
            assert (await in_thread(lambda: error_code(call)))[0] == "InvalidPart"
            assert (await in_thread(lambda: one.get_object(**target)["Body"].read())) == b"a" * 1000

    run()


def test_a_refusal_is_slow_down_with_retry_after_and_boto3_retries(tmp_path):
    keys = AccessKeys(tmp_path)

    @run_async
    async def run():
        text = "\n[plan small]\nusual_rate = 5\nlimit = 8\nlimit_burst = 8\n"
        config = s3_settings(keys)
        with_small_plan = settings(text)
        small = next(plan for plan in with_small_plan.plans if plan.name == "small")
        volumes = tuple(
            dataclasses.replace(rule, plan="small") if rule.pattern == "school-*" else rule
            for rule in config.volumes
        )
        kinds = tuple(
            dataclasses.replace(
                kind, rules=dataclasses.replace(kind.rules, deadline_ms=400.0, latency_objective_ms=200.0)
            )
            for kind in config.kinds
        )
        config = dataclasses.replace(config, plans=(*config.plans, small), volumes=volumes, kinds=kinds)
        async with rig(config, unit_ms=1.0) as it:
            responses: list[bytes] = []

            async def get(number: int) -> None:
                responses.append(await send_raw(it, signed_request(it, keys, "GET", f"/school-1/k{number}")))

            async with anyio.create_task_group() as group:
                for number in range(24):
                    group.start_soon(get, number)
            refusals = [each for each in responses if b"SlowDown" in each]
            assert refusals and all(b"503" in each and b"retry-after: " in each.lower() for each in refusals)
            s3 = boto_client(it, keys)
            await in_thread(lambda: s3.put_object(Bucket="school-1", Key="k", Body=b"x"))
            assert await in_thread(lambda: s3.get_object(Bucket="school-1", Key="k")["Body"].read()) == b"x"

    run()


def test_malformed_and_unsafe_xml_documents_are_rejected(tmp_path):
    keys = AccessKeys(tmp_path)
    bomb = (
        b'<?xml version="1.0"?><!DOCTYPE x [<!ENTITY a "b">]><Delete><Object><Key>&a;</Key></Object></Delete>'
    )

    @run_async
    async def run():
        async with rig(s3_settings(keys)) as it:
            for body in (b"no xml", bomb, b"<Other/>", b"<Delete></Delete>", b"<Delete><Object/></Delete>"):
                assert b"MalformedXML" in await send_raw(
                    it, signed_request(it, keys, "POST", "/school-1?delete", body) + body
                )
            upload = "/school-1/k?uploadId=u0-1"
            for body in (
                b"<CompleteMultipartUpload/>",
                b"<CompleteMultipartUpload><Part/></CompleteMultipartUpload>",
            ):
                assert b"MalformedXML" in await send_raw(
                    it, signed_request(it, keys, "POST", upload, body) + body
                )

    run()


def test_bucket_names_in_the_host_name(tmp_path):
    keys = AccessKeys(tmp_path)

    @run_async
    async def run():
        async with rig(s3_settings(keys, domain="s3.test", unsigned="all")) as it:
            put = b"PUT /k HTTP/1.1\r\nhost: school-1.s3.test:99\r\ncontent-length: 1\r\n\r\nx"
            assert b"200" in await send_raw(it, put)
            assert ("school-1", "k") in it.store_of("/school-1/k").object_store.objects

    run()


# Fairness


@given(
    st.lists(st.tuples(st.sampled_from(["enter", "leave", "give up"]), st.integers(0, 2)), max_size=60),
    st.integers(1, 3),
)
@examples(max_examples=300)
def test_key_queues_limit_active_requests_and_serve_waiting_ones_in_order_of_arrival(steps, limit):
    queues = KeyQueues(limit)
    active: dict[int, list[object]] = {0: [], 1: [], 2: []}
    waiting: dict[int, list[object]] = {0: [], 1: [], 2: []}
    for action, key in steps:
        if action == "enter":
            token = object()

            def on_ready(token: object = token, key: int = key) -> None:
                assert waiting[key].pop(0) is token, "requests must get slots in order of arrival"
                active[key].append(token)

            if queues.acquire(str(key), on_ready):
                assert not waiting[key]
                active[key].append(token)
            else:
                waiting[key].append(token)
        elif action == "leave" and active[key]:
            active[key].pop()
            queues.release(str(key))
        assert all(len(each) <= limit for each in active.values())
        assert all(not waiting[n] or len(active[n]) == limit for n in active), (
            "a slot is free while a request waits"
        )
        assert [queues.waiting_count(str(n)) for n in active] == [len(waiting[n]) for n in active]
    assert len(queues) == sum(bool(active[n]) for n in active)


def test_a_large_upload_leaves_capacity_for_other_requests_of_its_volume(tmp_path):
    """Guards against an upload that fills its volume's share, so that other requests wait for all its parts.

    Sixteen parts of one object are sent at once; with one part at a time, other requests wait far less.
    """
    keys = AccessKeys(tmp_path)
    target = {"Bucket": "school-1", "Key": "big"}
    longest_wait_s: dict[int, float] = {}

    async def wait_during_an_upload(parts_at_once: int) -> float:
        async with rig(
            s3_settings(keys, parts_at_once=parts_at_once, part_least=1), unit_ms=12.0, cores=1
        ) as it:
            s3 = boto_client(it, keys, max_pool_connections=40)
            upload = (await in_thread(lambda: s3.create_multipart_upload(**target)))["UploadId"]
            store = it.store_of("/school-1/big")
            name = next(f"k{n}" for n in range(100) if it.store_of(f"/school-1/k{n}") is store)
            waits_s = []

            async def part(number: int) -> None:
                data = b"x" * 400_000
                await in_thread(
                    lambda: s3.upload_part(**target, UploadId=upload, PartNumber=number, Body=data)
                )

            async def put_others() -> None:
                for _ in range(3):
                    began = time.perf_counter()
                    await in_thread(lambda: s3.put_object(Bucket="school-1", Key=name, Body=b"x"))
                    waits_s.append(time.perf_counter() - began)

            async with anyio.create_task_group() as group:
                for number in range(1, 17):
                    group.start_soon(part, number)
                await anyio.sleep(0.1)
                group.start_soon(put_others)
            assert len(store.object_store.uploads[upload][2]) == 16
            return max(waits_s)

    @run_async
    async def run():
        for parts_at_once in (1, 64):
            longest_wait_s[parts_at_once] = await wait_during_an_upload(parts_at_once)

    run()
    assert longest_wait_s[1] < longest_wait_s[64] / 2, longest_wait_s


def test_uploads_during_store_faults_and_gateway_kills_are_complete_or_absent():
    """A short run of benchmarks/uploads.py, which runs ten seeds of 100 uploads and 20 kills."""
    from benchmarks import uploads

    run = uploads.run_seed(3, 8, 1)
    assert run.violations == [] and run.counts["kills"] == 1 and run.counts["objects"] >= 4
    assert run.counts["objects"] + run.counts["aborted"] == 8


def test_large_parts_count_towards_the_limit_of_their_volume(tmp_path):
    """Guards against parts that pay only for the units known to the scheduler.

    The scheduler gets at most 8 units for each request: twelve parts of 64 units would cost 96, not 768.
    """
    keys = AccessKeys(tmp_path)

    @run_async
    async def run():
        with_small_plan = settings("\n[plan small]\nusual_rate = 5\nlimit = 400\nlimit_burst = 100\n")
        small = next(plan for plan in with_small_plan.plans if plan.name == "small")
        config = s3_settings(keys, part_least=1)
        volumes = tuple(
            dataclasses.replace(rule, plan="small") if rule.pattern == "school-*" else rule
            for rule in config.volumes
        )
        config = dataclasses.replace(config, plans=(*config.plans, small), volumes=volumes)
        async with rig(config, unit_ms=0.02) as it:
            s3 = boto_client(it, keys, max_pool_connections=20)
            target = {"Bucket": "school-1", "Key": "big"}
            upload = (await in_thread(lambda: s3.create_multipart_upload(**target)))["UploadId"]
            unit = it.gateway.config.kind_for("put-part", None).unit_bytes
            data = b"x" * (64 * unit)
            began = time.perf_counter()

            async def part(number: int) -> None:
                await in_thread(
                    lambda: s3.upload_part(**target, UploadId=upload, PartNumber=number, Body=data)
                )

            async with anyio.create_task_group() as group:
                for number in range(1, 13):
                    group.start_soon(part, number)
            took = time.perf_counter() - began
            assert took > (12 * 64 - 100 - 64) / 400 * 0.9, (
                "the parts exceeded the limit by more than a burst and one part"
            )
            assert len(it.store_of("/school-1/big").object_store.uploads[upload][2]) == 12

    run()


def test_the_documentation_has_the_current_table_of_operations():
    table = CliRunner().invoke(main, ["s3", "spoken"]).output
    page = (Path(__file__).parent.parent / "docs/s3.md").read_text()
    assert table in page, "docs/s3.md is out of date: run winchdyke s3 spoken"


def test_ranges_read_while_an_object_is_overwritten_each_come_from_one_version(tmp_path):
    keys = AccessKeys(tmp_path)

    @run_async
    async def run():
        async with rig(s3_settings(keys), unit_ms=0.05) as it:
            s3 = boto_client(it, keys, max_pool_connections=12)
            versions = [bytes([65 + n]) * 300_000 for n in range(5)]
            await in_thread(lambda: s3.put_object(Bucket="school-1", Key="k", Body=versions[0]))
            stop, ranges_read = False, 0

            async def read_ranges(number: int) -> None:
                nonlocal ranges_read
                while not stop:
                    byte_range = f"bytes={number * 1000}-{number * 1000 + 150_000}"
                    got = await in_thread(
                        partial(s3.get_object, Bucket="school-1", Key="k", Range=byte_range)
                    )
                    body = await in_thread(got["Body"].read)
                    assert len(body) == 150_001 and len(set(body)) == 1, "bytes of two versions"
                    ranges_read += 1

            async with anyio.create_task_group() as group:
                for number in range(4):
                    group.start_soon(read_ranges, number)
                for version in versions[1:]:
                    await in_thread(partial(s3.put_object, Bucket="school-1", Key="k", Body=version))
                await anyio.sleep(0.2)
                stop = True
            assert ranges_read > 8

    run()


def test_slow_clients_time_out_at_each_step_and_delay_no_other_request(tmp_path):
    keys = AccessKeys(tmp_path)

    @run_async
    async def run():
        config = s3_settings(keys)
        limits = dataclasses.replace(config.limits, header_timeout=400.0, stream_idle=600.0)
        kinds = tuple(
            dataclasses.replace(
                kind, rules=dataclasses.replace(kind.rules, deadline_ms=1500.0, latency_objective_ms=500.0)
            )
            for kind in config.kinds
        )
        async with rig(dataclasses.replace(config, limits=limits, kinds=kinds)) as it:
            host, port = it.gateway.addresses[-1]

            async def send_slowly(first: bytes, trickle: bytes) -> bytes:
                stream, got = await anyio.connect_tcp(host, port), b""
                await stream.send(first)
                disconnected = (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError)
                with anyio.fail_after(6):
                    async with anyio.create_task_group() as group:

                        async def send() -> None:
                            with contextlib.suppress(*disconnected):
                                while True:
                                    await stream.send(trickle)
                                    await anyio.sleep(0.1)

                        group.start_soon(send)
                        with contextlib.suppress(*disconnected):
                            while b"</Error>" not in got:
                                got += await stream.receive()
                        group.cancel_scope.cancel()
                await anyio.aclose_forcefully(stream)
                return got

            data = b"x" * 50_000
            put = signed_request(it, keys, "PUT", "/school-1/k", data)
            responses: list[bytes] = []

            async def run_slow_client(first: bytes, trickle: bytes) -> None:
                responses.append(await send_slowly(first, trickle))

            async with anyio.create_task_group() as group:
                group.start_soon(run_slow_client, b"GET /school-1/k HTTP/1.1\r\n", b"x-a: b\r\n")
                group.start_soon(run_slow_client, put + b"x", b"x")
                group.start_soon(
                    run_slow_client, signed_request(it, keys, "POST", "/school-1?delete", data) + b"<", b" "
                )
                began = time.perf_counter()
                s3 = boto_client(it, keys)
                await in_thread(lambda: s3.put_object(Bucket="school-1", Key="other", Body=b"x"))
                assert time.perf_counter() - began < 2
            assert len(responses) == 3
            assert ("school-1", "k") not in it.store_of("/school-1/k").object_store.objects

    run()


def test_ten_thousand_parts_and_one_too_many():
    from winchdyke.s3 import multipart, xml

    listed = "".join(
        f"<Part><PartNumber>{n}</PartNumber><ETag>&quot;t{n}&quot;</ETag></Part>" for n in range(1, 10_001)
    )
    parts = xml.parse_completion(f"<CompleteMultipartUpload>{listed}</CompleteMultipartUpload>".encode())
    stored = [multipart.StoredPart(n, 5 * MIB, f'"t{n}"') for n in range(1, 10_001)]
    assert multipart.validate_completion(parts, stored) == 10_000 * 5 * MIB
    with pytest.raises(Exception, match="was not uploaded"):
        multipart.validate_completion([*parts, xml.CompletedPart(10_001, "x")], stored)


def test_a_body_is_stored_only_with_a_correct_trailing_checksum(tmp_path):
    keys, data = AccessKeys(tmp_path), os.urandom(200_000)
    correct = base64.b64encode(zlib.crc32(data).to_bytes(4, "big"))

    @run_async
    async def run():
        async with rig(s3_settings(keys, unsigned="all")) as it:
            for name, trailer, expected in (
                ("wrong", b"x-amz-checksum-crc32:AAAAAA==\r\n", b"BadDigest"),
                ("none", b"", b"BadDigest"),
                ("right", b"x-amz-checksum-crc32:" + correct + b"\r\n", b"200 OK"),
            ):
                body = b"%x\r\n%s\r\n0\r\n%s\r\n" % (len(data), data, trailer)
                head = (
                    f"PUT /school-1/{name} HTTP/1.1\r\nhost: x\r\ncontent-length: {len(body)}\r\n"
                    "x-amz-content-sha256: STREAMING-UNSIGNED-PAYLOAD-TRAILER\r\ncontent-encoding: aws-chunked\r\n"
                    f"x-amz-decoded-content-length: {len(data)}\r\nx-amz-trailer: x-amz-checksum-crc32\r\n\r\n"
                )
                assert expected in await send_raw(it, head.encode() + body), name
            stored = [key for store in it.stores for _, key in store.object_store.objects]
            assert stored == ["right"]
            assert it.store_of("/school-1/right").object_store.objects["school-1", "right"][0] == data

    run()


def test_two_uploads_of_one_key_do_not_mix(tmp_path):
    keys = AccessKeys(tmp_path)
    target = {"Bucket": "school-1", "Key": "k"}

    @run_async
    async def run():
        async with rig(s3_settings(keys, part_least=1), unit_ms=0.1) as it:
            s3 = boto_client(it, keys)

            def calls() -> None:
                ids = [s3.create_multipart_upload(**target)["UploadId"] for _ in range(2)]
                parts: list[list[dict[str, Any]]] = [[], []]
                for number in (1, 2):
                    for index in (0, 1):
                        body = bytes([65 + index]) * 1000
                        tag = s3.upload_part(**target, UploadId=ids[index], PartNumber=number, Body=body)[
                            "ETag"
                        ]
                        parts[index].append({"PartNumber": number, "ETag": tag})
                for index in (1, 0):
                    s3.complete_multipart_upload(
                        **target, UploadId=ids[index], MultipartUpload={"Parts": parts[index]}
                    )
                    assert s3.get_object(**target)["Body"].read() == bytes([65 + index]) * 2000

            await in_thread(calls)

    run()
