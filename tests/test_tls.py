"""TLS on the S3 listener and to stores: verification, stalled handshakes, reloads, expiry, client certificates."""

from __future__ import annotations

import dataclasses
import datetime
import ipaddress
import ssl
import time
from pathlib import Path

import anyio
import anyio.streams.tls
import anyio.to_thread
import boto3
import pytest
from botocore.config import Config as BotoConfig
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID
from rig import rig, run_async
from test_s3 import AccessKeys, s3_settings

from winchdyke.config.model import Tls
from winchdyke.gateway import tls
from winchdyke.gateway.tls import CertificateReloader, TlsError, load_server_context

DAY = datetime.timedelta(days=1)


class Issuer:
    """A test certificate authority."""

    def __init__(self, folder: Path, name: str = "test issuer") -> None:
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        self.certificate = self._sign(self.name, self.key.public_key(), True)
        self.path = folder / f"{name.replace(' ', '-')}.pem"
        self.path.write_bytes(self.certificate.public_bytes(serialization.Encoding.PEM))

    def _sign(self, subject, key, authority, start=-DAY, end=30 * DAY):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now + start)
            .not_valid_after(now + end)
            .add_extension(x509.BasicConstraints(ca=authority, path_length=None), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key), critical=False)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(self.key.public_key()), critical=False
            )
        )
        if authority:
            usage = x509.KeyUsage(False, False, False, False, False, True, True, False, False)
            builder = builder.add_extension(usage, critical=True)
        else:
            names = [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
            builder = builder.add_extension(x509.SubjectAlternativeName(names), critical=False)
        return builder.sign(self.key, hashes.SHA256())

    def issue(self, folder: Path, name: str, start=-DAY, end=20 * DAY) -> tuple[Path, Path]:
        """Issue a server certificate and write it and its key to a folder."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
        made = self._sign(subject, key.public_key(), False, start, end)
        certificate, private = folder / "server.pem", folder / "server.key"
        certificate.write_bytes(made.public_bytes(serialization.Encoding.PEM))
        private.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
            )
        )
        return certificate, private


def settings_of(certificate: Path, key: Path, **changes: str) -> Tls:
    return Tls(str(certificate), str(key), **changes)


def test_boto3_over_tls_with_a_stalled_handshake_and_a_certificate_reloaded_in_service(tmp_path, monkeypatch):
    monkeypatch.setattr(tls, "FILE_CHECK_INTERVAL_SECONDS", 0.0)
    keys, issuer = AccessKeys(tmp_path), Issuer(tmp_path)
    certificate, key = issuer.issue(tmp_path, "first")

    @run_async
    async def run():
        config = s3_settings(keys)
        limits = dataclasses.replace(config.limits, header_timeout=700.0)
        async with rig(
            dataclasses.replace(config, tls=settings_of(certificate, key), limits=limits), unit_ms=0.2
        ) as it:
            host, port = it.gateway.addresses[-1]

            def client():
                return boto3.client(
                    "s3", endpoint_url=f"https://{host}:{port}", aws_access_key_id=keys.key.id,
                    aws_secret_access_key=keys.secret, region_name="us-east-1", verify=str(issuer.path),
                    config=BotoConfig(s3={"addressing_style": "path"}),
                )  # fmt: skip

            s3 = client()
            data = b"x" * 300_000
            await anyio.to_thread.run_sync(lambda: s3.put_object(Bucket="school-1", Key="k", Body=data))
            got = await anyio.to_thread.run_sync(
                lambda: s3.get_object(Bucket="school-1", Key="k")["Body"].read()
            )
            assert got == data

            async def presented_subject(context: ssl.SSLContext | None = None) -> str:
                context = context or ssl.create_default_context(cafile=str(issuer.path))
                async with await anyio.connect_tcp(
                    host, port, tls=True, ssl_context=context, tls_standard_compatible=False
                ) as s:
                    der = s.extra(anyio.streams.tls.TLSAttribute.peer_certificate_binary)
                    return x509.load_der_x509_certificate(der).subject.rfc4514_string()

            assert await presented_subject() == "CN=first"
            # A connection whose handshake stalls is closed, and delays no other connection.
            stalled = await anyio.connect_tcp(host, port)
            await stalled.send(b"\x16\x03\x01")
            assert await presented_subject() == "CN=first"
            with anyio.fail_after(3), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    await stalled.receive()
            plain = await anyio.connect_tcp(host, port)
            await plain.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
            with anyio.fail_after(3), pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    await plain.receive()
            # An open connection survives a change of the certificate; new connections get the new one.
            context = ssl.create_default_context(cafile=str(issuer.path))
            open_connection = await anyio.connect_tcp(
                host, port, tls=True, ssl_context=context, tls_standard_compatible=False
            )
            issuer.issue(tmp_path, "second")
            assert await presented_subject() == "CN=second"
            await open_connection.send(b"GET /school-1/k HTTP/1.1\r\nhost: x\r\n\r\n")
            assert b"403" in await open_connection.receive()
            await open_connection.aclose()
            # An expired certificate and an invalid file are not used: the previous certificate stays in use.
            issuer.issue(tmp_path, "over", start=-3 * DAY, end=-DAY)
            assert await presented_subject() == "CN=second"
            certificate.write_text("no certificate")
            assert await presented_subject() == "CN=second"
            issuer.issue(tmp_path, "third")
            assert await presented_subject() == "CN=third"
            old = ssl.create_default_context(cafile=str(issuer.path))
            old.minimum_version = old.maximum_version = ssl.TLSVersion.TLSv1_2
            assert await presented_subject(old) == "CN=third"

    run()


def test_client_certificates_and_the_minimum_tls_version_are_enforced(tmp_path):
    keys, issuer = AccessKeys(tmp_path), Issuer(tmp_path)
    certificate, key = issuer.issue(tmp_path, "server")
    client_issuer = Issuer(tmp_path, "people")
    (tmp_path / "ann").mkdir()
    client_certificate, client_key = client_issuer.issue(tmp_path / "ann", "ann")

    @run_async
    async def run():
        tls_settings = settings_of(certificate, key, least="1.3", clients=str(client_issuer.path))
        async with rig(dataclasses.replace(s3_settings(keys), tls=tls_settings)) as it:
            host, port = it.gateway.addresses[-1]

            async def status(context: ssl.SSLContext) -> bytes:
                async with await anyio.connect_tcp(
                    host, port, tls=True, ssl_context=context, tls_standard_compatible=False
                ) as s:
                    await s.send(b"GET /school-1/k HTTP/1.1\r\nhost: x\r\n\r\n")
                    return await s.receive()

            with_certificate = ssl.create_default_context(cafile=str(issuer.path))
            with_certificate.load_cert_chain(client_certificate, client_key)
            assert b"403" in await status(with_certificate)
            rejection_errors = (anyio.EndOfStream, anyio.BrokenResourceError, ssl.SSLError)
            with pytest.raises(rejection_errors):
                await status(ssl.create_default_context(cafile=str(issuer.path)))
            with_certificate.maximum_version = ssl.TLSVersion.TLSv1_2
            with pytest.raises(rejection_errors):
                await status(with_certificate)

    run()


def test_unusable_certificates_are_errors_at_the_start(tmp_path):
    issuer = Issuer(tmp_path)
    certificate, key = issuer.issue(tmp_path, "one")
    now = time.time()
    assert CertificateReloader(settings_of(certificate, key)).current_context()
    for settings, now_s, message in [
        (settings_of(tmp_path / "none", key), now, "can't be read"),
        (settings_of(key, key), now, "no certificate in PEM"),
        (settings_of(certificate, tmp_path / "none"), now, "can't be read"),
        (settings_of(issuer.path, key), now, "is not the key of"),
        (settings_of(certificate, key), now + 40 * 24 * 3600, "the certificate expired at"),
        (settings_of(certificate, key), now - 40 * 24 * 3600, "is not valid before"),
        (settings_of(certificate, key, clients=str(key)), now, "issuers"),
    ]:
        with pytest.raises(TlsError, match=message):
            load_server_context(settings, now_s)


def test_tls_to_stores_and_a_store_with_an_untrusted_certificate(tmp_path):
    keys, issuer = AccessKeys(tmp_path), Issuer(tmp_path)
    certificate, key = issuer.issue(tmp_path, "store")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(certificate, key)
    data = b"x" * 300_000

    @run_async
    async def run():
        config = dataclasses.replace(s3_settings(keys), tls=Tls(stores=str(issuer.path)))
        async with rig(config, unit_ms=0.2, tls_context=context) as it:
            for _ in range(3):
                assert (await it.request("PUT", "/school-1/k", data)).status in (200, 201)
                assert (await it.request("GET", "/school-1/k")).body == data
            assert it.gateway.pool.connections_reused >= 4, "idle connections are reused"
        other_issuer = Issuer(tmp_path, "others")
        config = dataclasses.replace(config, tls=Tls(stores=str(other_issuer.path)))
        async with rig(config, unit_ms=0.2, tls_context=context) as it:
            answer = await it.request("GET", "/school-1/k", winchdyke_time_left="500ms")
            assert answer.status == 503 and it.record.entries, (
                "nothing is sent to a store with an untrusted certificate"
            )
            assert not [seen for seen in it.record.entries if seen["what"] == "head"]

    run()
    with pytest.raises(TlsError, match="stores' issuers"):
        tls.load_store_context(str(key))
