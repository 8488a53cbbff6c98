"""TLS contexts for listeners and for connections to stores.

The certificate of a listener is reloaded when its files change. Each handshake uses the current context; open connections
keep theirs. If a new certificate can't be used, the error is logged and the previous certificate stays in use.
"""

from __future__ import annotations

import os
import ssl
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

import structlog
from cryptography import x509

from winchdyke.config.model import Tls as Settings

TLS_VERSIONS = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
FILE_CHECK_INTERVAL_SECONDS = 1.0
EXPIRY_WARNING_DAYS = 14

FileStamp = tuple[int, int, int]  # modification time in ns, inode, size in bytes
MISSING_FILE: FileStamp = (0, 0, 0)


class TlsError(Exception):
    """A certificate or key can't be used; the text gives the reason and the setting to check."""


def load_server_context(settings: Settings, now_s: float) -> ssl.SSLContext:
    """Load a listener's context from the configured files.

    Args:
        settings: The ``tls`` settings.
        now_s: Unix time at which the certificate has to be valid.

    Raises:
        TlsError: A file can't be used.
    """
    path = Path(settings.certificate)
    certificate = _read_certificate(path)
    _check_validity(certificate, path, datetime.fromtimestamp(now_s, UTC))
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = TLS_VERSIONS[settings.least]
    context.set_alpn_protocols(["http/1.1"])
    try:
        context.load_cert_chain(settings.certificate, settings.key)
    except ssl.SSLError as error:
        raise TlsError(f"{settings.key} is not the key of {path}: {error.reason}; see tls, key") from error
    except OSError as error:
        raise TlsError(f"{settings.key} can't be read: {error.strerror}; see tls, key") from error
    if settings.clients:
        _require_client_certificates(context, settings.clients)
    return context


def _read_certificate(path: Path) -> x509.Certificate:
    try:
        return x509.load_pem_x509_certificates(path.read_bytes())[0]
    except OSError as error:
        raise TlsError(f"{path} can't be read: {error.strerror}; see tls, certificate") from error
    except ValueError as error:
        raise TlsError(f"{path} holds no certificate in PEM; see tls, certificate") from error


def _check_validity(certificate: x509.Certificate, path: Path, now: datetime) -> None:
    end = certificate.not_valid_after_utc
    start = certificate.not_valid_before_utc
    if end <= now:
        raise TlsError(f"{path}: the certificate expired at {end:%Y-%m-%d %H:%M}; get a new one")
    if start > now:
        raise TlsError(f"{path}: the certificate is not valid before {start:%Y-%m-%d %H:%M}")
    days_left = (end - now).days
    if days_left < EXPIRY_WARNING_DAYS:
        structlog.get_logger("tls").warning(
            "tls_certificate_expires_soon", certificate=str(path), days_left=days_left
        )


def _require_client_certificates(context: ssl.SSLContext, path: str) -> None:
    try:
        context.load_verify_locations(path)
    except (ssl.SSLError, OSError) as error:
        raise TlsError(f"{path} holds no certificates of clients' issuers; see tls, clients") from error
    context.verify_mode = ssl.CERT_REQUIRED


def load_store_context(path: str) -> ssl.SSLContext:
    """Load a context for connections to stores, whose certificates must be valid for the address that is connected to.

    Args:
        path: A PEM file with the certificates of the trusted issuers.

    Raises:
        TlsError: The file can't be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(path)
    except (ssl.SSLError, OSError) as error:
        raise TlsError(f"{path} holds no certificates of stores' issuers; see tls, stores") from error
    return context


class CertificateReloader:
    """The current context of a listener, reloaded when its files change.

    Args:
        settings: The ``tls`` settings.
        unix_time: Returns the Unix time in seconds.

    Attributes:
        load_count: Number of contexts loaded so far.

    Raises:
        TlsError: The files can't be used at the start.
    """

    def __init__(self, settings: Settings, unix_time: Callable[[], float] = time.time) -> None:
        self._settings = settings
        self._unix_time = unix_time
        self._context = load_server_context(settings, unix_time())
        self._loaded_stamps = self._file_stamps()
        self._checked_at_seconds = time.monotonic()
        self.load_count = 1

    def _file_stamps(self) -> tuple[FileStamp, ...]:
        files = (self._settings.certificate, self._settings.key, self._settings.clients)
        return tuple(_file_stamp(name) for name in files)

    def current_context(self) -> ssl.SSLContext:
        """Return the context for one handshake; checks the files at most once per ``FILE_CHECK_INTERVAL_SECONDS``."""
        now = time.monotonic()
        if now >= self._checked_at_seconds + FILE_CHECK_INTERVAL_SECONDS:
            self._checked_at_seconds = now
            self._reload_if_changed()
        return self._context

    def _reload_if_changed(self) -> None:
        stamps = self._file_stamps()
        if stamps == self._loaded_stamps:
            return
        self._loaded_stamps = stamps
        log = structlog.get_logger("tls")
        try:
            self._context = load_server_context(self._settings, self._unix_time())
        except TlsError as error:
            log.error("tls_certificate_reload_failed", error=str(error))
            return
        self.load_count += 1
        log.info("tls_certificate_reloaded", certificate=self._settings.certificate)


def _file_stamp(name: str) -> FileStamp:
    if not name:
        return MISSING_FILE
    try:
        status = os.stat(name)
    except OSError:
        return MISSING_FILE
    return status.st_mtime_ns, status.st_ino, status.st_size
