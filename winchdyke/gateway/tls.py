"""Certificates of listeners: read at the start, read anew when their files change, without a connection dropped.

Each handshake takes the context that counts then; connections that are open keep theirs. A certificate that can't be read, does not
fit its key, or is out of its time is told in the log, and the one before stays.
"""

from __future__ import annotations

import ssl
import time
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path

import structlog
from cryptography import x509

from winchdyke.config.model import Tls as Settings

LEAST = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
LOOK_S = 1.0  # between looks at the files
SOON_DAYS = 14  # before its end from which on a certificate is told of at each load


class TlsError(Exception):
    """A certificate that can't be used; says why and what to do."""


def load(settings: Settings, now_s: float) -> ssl.SSLContext:
    """A context from the files that settings name. TlsError."""
    path = Path(settings.certificate)
    try:
        certificates = x509.load_pem_x509_certificates(path.read_bytes())
    except OSError as error:
        raise TlsError(f"{path} can't be read: {error.strerror}; see tls, certificate") from error
    except ValueError as error:
        raise TlsError(f"{path} holds no certificate in PEM; see tls, certificate") from error
    now = datetime.fromtimestamp(now_s, UTC)
    first = certificates[0]
    if first.not_valid_after_utc <= now:
        raise TlsError(
            f"{path}: the certificate is over since {first.not_valid_after_utc:%Y-%m-%d %H:%M}; get a new one"
        )
    if first.not_valid_before_utc > now:
        raise TlsError(
            f"{path}: the certificate counts from {first.not_valid_before_utc:%Y-%m-%d %H:%M} on only"
        )
    if (left := first.not_valid_after_utc - now).days < SOON_DAYS:
        structlog.get_logger("tls").warning("tls", certificate=str(path), ends_in_days=left.days)
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = LEAST[settings.least]
    context.set_alpn_protocols(["http/1.1"])
    try:
        context.load_cert_chain(settings.certificate, settings.key)
    except ssl.SSLError as error:
        raise TlsError(f"{settings.key} is not the key of {path}: {error.reason}; see tls, key") from error
    except OSError as error:
        raise TlsError(f"{settings.key} can't be read: {error.strerror}; see tls, key") from error
    if settings.clients:
        try:
            context.load_verify_locations(settings.clients)
        except (ssl.SSLError, OSError) as error:
            raise TlsError(
                f"{settings.clients} holds no certificates of clients' issuers; see tls, clients"
            ) from error
        context.verify_mode = ssl.CERT_REQUIRED
    return context


def load_stores(path: str) -> ssl.SSLContext:
    """A context for dialling stores: their certificates must be of these issuers, for the address that is dialled. TlsError."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_verify_locations(path)
    except (ssl.SSLError, OSError) as error:
        raise TlsError(f"{path} holds no certificates of stores' issuers; see tls, stores") from error
    return context


class Certificates:
    """The context that counts, by the files as they are."""

    def __init__(self, settings: Settings, now: Callable[[], float] = time.time) -> None:
        self._settings, self._now = settings, now
        self._context, self._stamp = load(settings, now()), self._stamps()
        self._looked = time.monotonic()
        self.loads = 1

    def _stamps(self) -> tuple[tuple[int, int, int], ...]:
        found = []
        for name in (self._settings.certificate, self._settings.key, self._settings.clients):
            try:
                at = Path(name).stat() if name else None
            except OSError:
                at = None
            found.append((at.st_mtime_ns, at.st_ino, at.st_size) if at is not None else (0, 0, 0))
        return tuple(found)

    def context(self) -> ssl.SSLContext:
        """For one handshake."""
        now = time.monotonic()
        if now >= self._looked + LOOK_S:
            self._looked = now
            if (stamp := self._stamps()) != self._stamp:
                self._stamp = stamp
                try:
                    self._context = load(self._settings, self._now())
                    self.loads += 1
                    structlog.get_logger("tls").info("tls", loaded=self._settings.certificate)
                except TlsError as error:
                    structlog.get_logger("tls").error("tls", kept="the one before", trouble=str(error))
        return self._context
