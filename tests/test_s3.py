"""The S3 dialect: unchanged client libraries against the running gateway, and what goes wrong on the way."""

from __future__ import annotations

import dataclasses
import io
import os
import threading
import urllib.error
import urllib.request
from collections.abc import Callable
from typing import Any

import anyio
import anyio.to_thread
import boto3
import botocore.exceptions
import minio
import pytest
from boto3.s3.transfer import TransferConfig
from botocore.config import Config as BotoConfig
from rig import Rig, played, rig, settings

from winchdyke.auth.keys import Right, made, new_master, write
from winchdyke.config.model import S3, Listen

MIB = 1 << 20
ALL = [Right("*", "", ["list", "read", "write", "delete"])]


class Keys:
    """A file of access keys with one key in it."""

    def __init__(self, folder, rights: list[Right] | None = None) -> None:
        self.master, self.path = folder / "master", folder / "keys"
        if not self.master.exists():
            new_master(self.master)
        self.key, self.secret = made("ann", rights or ALL, self.master, 0.0)
        write(self.path, [self.key])


def with_s3(keys: Keys, **more: Any):
    s3 = S3(Listen("127.0.0.1", 0), keys=str(keys.path), master=str(keys.master), **more)
    base = settings(limits__object_bytes="200MiB")
    # Stand-ins on a busy machine: a class whose deadline leaves time for tens of MiB.
    kinds = tuple(
        dataclasses.replace(
            kind, rules=dataclasses.replace(kind.rules, deadline_ms=20_000.0, aim_ms=10_000.0)
        )
        for kind in base.kinds
    )
    return dataclasses.replace(base, s3=s3, kinds=kinds)


def address(it: Rig) -> str:
    host, port = it.gateway.addresses[-1]
    return f"http://{host}:{port}"


def boto(it: Rig, keys: Keys, **more: Any) -> Any:
    return boto3.client(
        "s3", endpoint_url=address(it), aws_access_key_id=keys.key.id, aws_secret_access_key=keys.secret,
        region_name="us-east-1",
        config=BotoConfig(s3={"addressing_style": "path"}, retries={"max_attempts": 8, "mode": "standard"}, **more),
    )  # fmt: skip


async def off(call: Callable[[], Any]) -> Any:
    return await anyio.to_thread.run_sync(call)


def code(call: Callable[[], Any]) -> tuple[str, int]:
    with pytest.raises(botocore.exceptions.ClientError) as error:
        call()
    found = error.value.response
    return found["Error"]["Code"], found["ResponseMetadata"]["HTTPStatusCode"]


def test_boto3_speaks_to_it_unchanged(tmp_path):
    keys = Keys(tmp_path)
    data = os.urandom(300_000)

    def calls(s3: Any) -> None:
        assert s3.list_buckets()["Buckets"] == []
        s3.head_bucket(Bucket="school-1")
        s3.create_bucket(Bucket="school-1")
        assert code(lambda: s3.delete_bucket(Bucket="school-1")) == ("AccessDenied", 403)
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
        part = s3.get_object(Bucket="school-1", Key="a b/ü+c", Range="bytes=1000-1999")
        assert part["Body"].read() == data[1000:2000] and part["ContentRange"] == "bytes 1000-1999/300000"
        assert s3.get_object(Bucket="school-1", Key="a b/ü+c", Range="bytes=-5")["Body"].read() == data[-5:]
        over = s3.get_object(Bucket="school-1", Key="a b/ü+c", ResponseContentType="x/y")
        assert over["ContentType"] == "x/y"
        assert code(lambda: s3.get_object(Bucket="school-1", Key="a b/ü+c", Range="bytes=400000-")) == (
            "InvalidRange",
            416,
        )
        assert code(lambda: s3.get_object(Bucket="school-1", Key="none")) == ("NoSuchKey", 404)
        assert code(lambda: s3.head_object(Bucket="school-1", Key="none")) == ("404", 404)
        refused = code(lambda: s3.put_object(Bucket="school-1", Key="a b/ü+c", Body=b"x", IfNoneMatch="*"))
        assert refused == ("PreconditionFailed", 412)
        assert (
            code(lambda: s3.get_object(Bucket="school-1", Key="a b/ü+c", IfNoneMatch=put["ETag"]))[1] == 304
        )
        assert code(lambda: s3.get_object(Bucket="school-1", Key="a b/ü+c", IfMatch='"x"')) == (
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
        assert code(lambda: s3.get_object(Bucket="-", Key="x"))[1] == 400
        assert code(lambda: s3.get_object_acl(Bucket="school-1", Key="tiny")) == ("NotImplemented", 501)
        s3.delete_object(Bucket="school-1", Key="tiny")
        s3.delete_object(Bucket="school-1", Key="tiny")
        gone = s3.delete_objects(
            Bucket="school-1", Delete={"Objects": [{"Key": "CRC32"}, {"Key": "SHA1"}, {"Key": "no"}]}
        )
        assert len(gone["Deleted"]) == 3 and "Errors" not in gone
        keys = [each["Key"] for each in s3.list_objects_v2(Bucket="school-1")["Contents"]]
        assert keys == ["SHA256", "a b/ü+c"]

    @played
    async def run():
        async with rig(with_s3(keys), unit_ms=0.2) as it:
            await off(lambda: calls(boto(it, keys)))

    run()


def test_listings_with_pages_and_delimiters(tmp_path):
    keys = Keys(tmp_path)
    names = sorted([f"d{d}/f{f}" for d in range(6) for f in range(4)] + ["a", "b", "z", "d3x", "d3/sub/x"])

    def calls(s3: Any) -> None:
        for name in names:
            s3.put_object(Bucket="school-1", Key=name, Body=name.encode())

        def paged(size: int, **asked: Any) -> tuple[list[str], list[str]]:
            found, folded = [], []
            pages = s3.get_paginator("list_objects_v2").paginate(
                Bucket="school-1", PaginationConfig={"PageSize": size}, **asked
            )
            for page in pages:
                assert page["KeyCount"] <= size
                found += [each["Key"] for each in page.get("Contents", [])]
                folded += [each["Prefix"] for each in page.get("CommonPrefixes", [])]
            return found, folded

        for size in (1, 2, 3, 7, 1000):
            assert paged(size) == (names, [])
            top = sorted(name for name in names if "/" not in name), [f"d{d}/" for d in range(6)]
            assert paged(size, Delimiter="/") == top
            assert paged(size, Prefix="d3/", Delimiter="/") == ([f"d3/f{f}" for f in range(4)], ["d3/sub/"])
            assert paged(size, StartAfter="d4/f1")[0] == [name for name in names if name > "d4/f1"]
            old = [
                each["Key"]
                for page in s3.get_paginator("list_objects").paginate(
                    Bucket="school-1", PaginationConfig={"PageSize": size}
                )
                for each in page.get("Contents", [])
            ]
            assert old == names
        assert s3.list_objects_v2(Bucket="school-1", MaxKeys=0)["KeyCount"] == 0
        assert code(lambda: s3.list_objects_v2(Bucket="school-1", ContinuationToken="/w==")) == (
            "InvalidArgument",
            400,
        )

    @played
    async def run():
        async with rig(with_s3(keys), unit_ms=0.05) as it:
            await off(lambda: calls(boto(it, keys)))

    run()


def test_boto3s_transfers_in_parts_and_what_is_wrong_with_parts(tmp_path):
    keys = Keys(tmp_path)
    data = os.urandom(11 * MIB + 123)

    def calls(s3: Any) -> None:
        config = TransferConfig(multipart_threshold=MIB, multipart_chunksize=5 * MIB, max_concurrency=3)
        s3.upload_fileobj(
            io.BytesIO(data), "school-1", "big", ExtraArgs={"Metadata": {"n": "1"}}, Config=config
        )
        assert s3.head_object(Bucket="school-1", Key="big")["Metadata"] == {"n": "1"}
        assert s3.head_object(Bucket="school-1", Key="big")["ETag"].endswith('-3"')
        got = io.BytesIO()
        s3.download_fileobj("school-1", "big", got, Config=config)
        assert got.getvalue() == data
        s3.copy({"Bucket": "school-1", "Key": "big"}, "contest-1", "copied", Config=config)
        assert s3.get_object(Bucket="contest-1", Key="copied")["Body"].read() == data
        where = {"Bucket": "school-1", "Key": "parts"}
        upload = s3.create_multipart_upload(**where)["UploadId"]
        tags = {}
        for number in (1, 2, 4):
            tags[number] = s3.upload_part(**where, UploadId=upload, PartNumber=number, Body=data[: 5 * MIB])[
                "ETag"
            ]
        listed = s3.list_parts(**where, UploadId=upload, MaxParts=2)
        assert [part["PartNumber"] for part in listed["Parts"]] == [1, 2] and listed["IsTruncated"]
        rest = s3.list_parts(**where, UploadId=upload, PartNumberMarker=2)
        assert [part["PartNumber"] for part in rest["Parts"]] == [4]
        uploads = s3.list_multipart_uploads(Bucket="school-1")["Uploads"]
        assert [(each["Key"], each["UploadId"]) for each in uploads] == [("parts", upload)]

        def complete(*parts: tuple[int, str]) -> Any:
            named = {"Parts": [{"PartNumber": number, "ETag": tag} for number, tag in parts]}
            return s3.complete_multipart_upload(**where, UploadId=upload, MultipartUpload=named)

        assert code(lambda: complete((1, tags[1]), (3, tags[1]))) == ("InvalidPart", 400)
        assert code(lambda: complete((2, tags[2]), (1, tags[1]))) == ("InvalidPartOrder", 400)
        assert code(lambda: complete((1, '"00"'))) == ("InvalidPart", 400)
        tags[2] = s3.upload_part(**where, UploadId=upload, PartNumber=2, Body=b"small")["ETag"]
        assert code(lambda: complete((1, tags[1]), (2, tags[2]), (4, tags[4]))) == ("EntityTooSmall", 400)
        assert code(lambda: s3.get_object(**where)) == ("NoSuchKey", 404), (
            "nothing is there before it is complete"
        )
        first = complete((1, tags[1]), (2, tags[2]))
        assert s3.get_object(**where)["Body"].read() == data[: 5 * MIB] + b"small"
        assert complete((1, tags[1]), (2, tags[2]))["ETag"] == first["ETag"], (
            "a repeat has the first one's answer"
        )
        assert code(lambda: s3.upload_part(**where, UploadId=upload, PartNumber=1, Body=b"x")) == (
            "NoSuchUpload",
            404,
        )
        other = s3.create_multipart_upload(**where)["UploadId"]
        s3.upload_part(**where, UploadId=other, PartNumber=1, Body=b"")
        s3.abort_multipart_upload(**where, UploadId=other)
        assert code(lambda: s3.abort_multipart_upload(**where, UploadId=other)) == ("NoSuchUpload", 404)
        assert "Uploads" not in s3.list_multipart_uploads(Bucket="school-1")
        assert code(lambda: s3.upload_part(**where, UploadId="no/such", PartNumber=1, Body=b"x")) == (
            "NoSuchUpload",
            404,
        )
        assert code(lambda: s3.upload_part(**where, UploadId=upload, PartNumber=10_001, Body=b"x")) == (
            "InvalidArgument",
            400,
        )

    @played
    async def run():
        async with rig(with_s3(keys), unit_ms=0.02) as it:
            await off(lambda: calls(boto(it, keys)))

    run()


def test_minios_client_speaks_to_it_unchanged(tmp_path):
    keys = Keys(tmp_path)
    data = os.urandom(6 * MIB)

    def calls(it: Rig) -> None:
        s3 = minio.Minio(
            address(it).removeprefix("http://"), access_key=keys.key.id, secret_key=keys.secret, secure=False,
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

    @played
    async def run():
        async with rig(with_s3(keys), unit_ms=0.02) as it:
            await off(lambda: calls(it))

    run()


_ = threading
